//! Resource usage of a fleet of real processes: CPU time and memory of an idle host by
//! the number of hosts, targets and accounts; the bytes of a load poll; and the CPU time
//! of requests by rate.
//!
//! Run with `cargo bench --bench cell_cost`; the arguments `idle`, `polls` and `requests`
//! after `--` select parts of it. Each line of the idle part is a separate fleet.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use cardamomgw::fleet::ClientAccount;
use cardamomgw::fleet::FleetDocument;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::spawn_call;

/// Measurement time of each fleet.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB: f64 = 1024.0;

/// Numbers of hosts, engines and accounts.
const FLEET_SIZES: [(usize, usize, usize); 8] = [
    (1, 1, 1),
    (4, 1, 1),
    (8, 1, 1),
    (4, 15, 1),
    (4, 60, 1),
    (4, 150, 1),
    (4, 1, 500),
    (4, 1, 2_100),
];

/// Requests per second to the entire fleet.
const RATES: [u32; 4] = [0, 20, 40, 80];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let selected = |argument: &str| {
        let arguments = arguments
            .iter()
            .filter(|argument| !argument.starts_with("--"));
        let mut arguments = arguments.peekable();
        arguments.peek().is_none() || arguments.any(|other| other == argument)
    };
    task::block_on(async {
        if selected("idle") {
            for (hosts, engines, accounts) in FLEET_SIZES {
                measure_idle(hosts, engines, accounts).await;
            }
        }
        if selected("polls") {
            measure_polls().await;
        }
        if selected("requests") {
            measure_requests().await;
        }
    });
}

/// Sends bookings to a fleet of 8 hosts, round robin.
async fn measure_requests() {
    let fleet = TestFleet::start(FleetPlan {
        hosts: 8,
        services: 2,
        slots: 64,
        ..FleetPlan::default()
    })
    .await;
    for rate in RATES {
        let before = cpu_time(&fleet);
        let began = Instant::now();
        let mut calls = Vec::new();
        while began.elapsed() < MEASUREMENT_TIME {
            if rate > 0 {
                let host = fleet.caller_address(calls.len() % fleet.hosts.len());
                calls.push(spawn_call(host, &booking(&new_request_id())));
            }
            let next =
                MEASUREMENT_TIME.min(Duration::from_secs(1) * calls.len() as u32 / rate.max(1));
            let pause = if rate == 0 { MEASUREMENT_TIME } else { next };
            task::sleep(pause.saturating_sub(began.elapsed())).await;
        }
        let count = calls.len();
        let mut done = 0;
        for call in calls {
            done += usize::from(call.await.is_ok_and(|answer| answer.outcome() == "done"));
        }
        let used = cpu_time(&fleet) - before;
        println!(
            "8 hosts, {count} bookings in {MEASUREMENT_TIME:?}, {done} done: {:.0} ms CPU time, \
             all hosts",
            used * 1e3
        );
    }
}

/// Load polls received by a target.
#[derive(Default)]
struct PollCounts {
    polls: AtomicU64,
    bytes: AtomicU64,
}

/// Counts the bytes of one host's load polls at a target that answers like an engine.
async fn measure_polls() {
    let mut fleet = TestFleet::start(FleetPlan {
        hosts: 1,
        ..FleetPlan::default()
    })
    .await;
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = listener.await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let counts = Arc::<PollCounts>::default();
    task::spawn(answer_polls(listener, counts.clone()));
    fleet.edit(|document| document.targets[0].address = address);
    task::sleep(MEASUREMENT_TIME).await;
    let polls = counts.polls.load(Ordering::Relaxed);
    let bytes = counts.bytes.load(Ordering::Relaxed);
    println!(
        "polls: {polls} in {MEASUREMENT_TIME:?}, {} bytes of HTTP in both directions \
         each, one connection per poll",
        bytes.checked_div(polls).unwrap_or_default()
    );
}

async fn answer_polls(listener: TcpListener, counts: Arc<PollCounts>) {
    let body = r#"{"taken_ms":1764000000000,"running":7,"waiting":1,"state":"live"}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = vec![0; 4096];
        // A head of this size arrives in one read on loopback.
        let read = stream.read(&mut head).await.unwrap_or_default();
        if stream.write_all(answer.as_bytes()).await.is_ok() {
            counts.polls.fetch_add(1, Ordering::Relaxed);
            let bytes = (read + answer.len()) as u64;
            counts.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

async fn measure_idle(hosts: usize, engines: usize, accounts: usize) {
    let mut fleet = TestFleet::start(FleetPlan {
        hosts,
        engines,
        ..FleetPlan::default()
    })
    .await;
    fleet.edit(|document| add_accounts(document, accounts));
    for index in 0..hosts {
        fleet.wait_for_version(index, 2).await;
    }
    let before = cpu_time(&fleet);
    task::sleep(MEASUREMENT_TIME).await;
    let used = cpu_time(&fleet) - before;
    let share = 100.0 * used / MEASUREMENT_TIME.as_secs_f64() / hosts as f64;
    let memory = resident_mib(&fleet) / hosts as f64;
    println!(
        "{hosts} hosts, {engines} engines, 1 service, {accounts} accounts: {share:.2}% of a core \
         and {memory:.1} MiB per host"
    );
}

fn add_accounts(document: &mut FleetDocument, count: usize) {
    let first = document.accounts[0].clone();
    let more = (1..count).map(|index| ClientAccount {
        name: format!("account-{index}"),
        token_sha256: format!("{index:064x}"),
        ..first.clone()
    });
    document.accounts.extend(more);
}

/// Returns the CPU time of all hosts, in seconds.
fn cpu_time(fleet: &TestFleet) -> f64 {
    let ticks: f64 = fleet
        .hosts
        .iter()
        .map(|host| {
            let stat = read_proc(host.process.process_id(), "stat");
            let fields: Vec<&str> = stat.split_whitespace().collect();
            [13, 14]
                .iter()
                .filter_map(|index| fields.get(*index)?.parse::<f64>().ok())
                .sum::<f64>()
        })
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of all hosts, in MiB.
fn resident_mib(fleet: &TestFleet) -> f64 {
    let kib: f64 = fleet
        .hosts
        .iter()
        .filter_map(|host| {
            let status = read_proc(host.process.process_id(), "status");
            let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        })
        .sum();
    kib / KIB
}

fn read_proc(process: u32, file: &str) -> String {
    std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default()
}
