//! Cost of metrics and configuration: time of a record and of a lookup, and time and
//! size of documents and metric series by the number of accounts and targets.
//!
//! Run with `cargo bench --bench config_cost`.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use cardamomgw::fleet::FleetDocument;
use cardamomgw::fleet::FleetView;
use cardamomgw::fleet::parse_document;
use cardamomgw::metrics::RequestMetrics;

const SAMPLE: &str = include_str!("../resources/fleet-sample.json");

/// Iterations of a cheap step.
const ITERATIONS: u32 = 1_000_000;

fn main() {
    let metrics = RequestMetrics::open().expect("metrics can be opened");
    let series = metrics.series(0, "weather-check", "dispatch-north");
    print_mean_time("record of a bound histogram", ITERATIONS, || {
        series.record_token_gap(black_box(Duration::from_millis(41)));
    });
    print_mean_time("lookup of a series", ITERATIONS, || {
        black_box(metrics.series(0, "weather-check", "dispatch-north"));
    });
    for accounts in [5, 100, 500, 2100] {
        print_accounts(accounts);
    }
    for targets in [15, 60, 150, 600] {
        print_targets(targets);
    }
    for accounts in [50, 200, 800] {
        print_series(accounts);
    }
}

fn print_mean_time(name: &str, iterations: u32, mut step: impl FnMut()) {
    let start = Instant::now();
    for _ in 0..iterations {
        step();
    }
    let each = start.elapsed() / iterations;
    println!("{name}: {each:?} each");
}

fn print_accounts(accounts: usize) {
    let document = document_with(accounts);
    let text = serde_json::to_string(&document).expect("a document is JSON");
    let start = Instant::now();
    let parsed = parse_document(&text).expect("the document is well-formed");
    let parse_time = start.elapsed();
    let start = Instant::now();
    let view = FleetView::compile(parsed).expect("the document is sound");
    let compile_time = start.elapsed();
    println!(
        "{accounts} accounts: {} bytes, parse {parse_time:?}, compile {compile_time:?}",
        text.len()
    );
    print_mean_time("  account by token", 10_000, || {
        black_box(view.account_by_token(black_box("crews-token")));
    });
    let class = view.class("weather-check").expect("the class exists");
    let account = view.account("account-3").expect("the account exists");
    print_mean_time("  allowed targets", ITERATIONS, || {
        black_box(view.allowed_targets(class, account));
    });
}

fn print_targets(targets: usize) {
    let mut document = parse_document(SAMPLE).expect("the sample is well-formed");
    let first = document.targets[0].clone();
    document.targets = (0..targets)
        .map(|index| {
            let mut target = first.clone();
            target.name = format!("engine-{index:04}");
            target.address.set_port(7_000 + index as u16);
            target
        })
        .collect();
    let text = serde_json::to_string(&document).expect("a document is JSON");
    let start = Instant::now();
    let parsed = parse_document(&text).expect("the document is well-formed");
    let parse_time = start.elapsed();
    let start = Instant::now();
    // The service classes of the sample then match no target, which is only a warning.
    let compiled = FleetView::compile(parsed).is_ok();
    println!(
        "{targets} targets: {} bytes, parse {parse_time:?}, compile {:?}, valid {compiled}",
        text.len(),
        start.elapsed()
    );
}

fn document_with(accounts: usize) -> FleetDocument {
    let mut document = parse_document(SAMPLE).expect("the sample is well-formed");
    let first = document.accounts[0].clone();
    document.accounts = (0..accounts)
        .map(|index| {
            let mut account = first.clone();
            account.name = format!("account-{index}");
            account.token_sha256 = format!("{index:064x}");
            account
        })
        .collect();
    document
}

fn print_series(accounts: usize) {
    let before = resident_bytes();
    let metrics = RequestMetrics::open().expect("metrics can be opened");
    for index in 0..accounts {
        let series = metrics.series(0, "weather-check", &format!("account-{index}"));
        series.record_queue_time(Duration::from_millis(1));
        series.record_token_gap(Duration::from_millis(1));
        series.record_first_token(Duration::from_millis(1));
        series.record_answer(
            cardamomgw::errors::RequestOutcome::Done,
            Duration::from_millis(1),
            true,
        );
    }
    let held = resident_bytes().saturating_sub(before);
    let start = Instant::now();
    let text = metrics.text().expect("the text is written");
    println!(
        "{accounts} series: {held} bytes resident, text {} bytes in {:?}",
        text.len(),
        start.elapsed()
    );
}

/// Returns the resident memory of this process; 0 if it cannot be read.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<usize> = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
