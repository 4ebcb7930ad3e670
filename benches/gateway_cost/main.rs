//! Latency that the gateway adds to a short call and to a streamed token, compared with
//! calling the stand-in directly in the same run, and its memory usage by the number of
//! idle connections.
//!
//! Run with `cargo bench --bench gateway_cost`, which builds in release.

#![allow(clippy::unwrap_used, reason = "the benchmark fails by panicking")]

#[path = "../../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use standins::EngineSettings;
use standins::LoadPlan;
use standins::LoadReport;
use standins::LoadRun;
use standins::ServiceSettings;
use support::FleetPlan;
use support::TOKEN;
use support::TestFleet;

/// Numbers of concurrent callers.
const CALLERS: [usize; 3] = [1, 32, 256];
/// Number of requests that each caller sends.
const REQUESTS_PER_CALLER: usize = 20;
/// Execution time of a call in the service.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Pause of a caller between two calls, so that the benchmark shows the added latency
/// and not the gateway's capacity.
const PAUSE: Duration = Duration::from_millis(200);
/// Tokens in a stream, and the engine's decoding speed.
const TOKENS: u32 = 20;
const TOKENS_PER_SECOND: f64 = 50.0;
/// Enough slots for all callers on each host.
const SLOTS: u32 = 3 * 512;
/// Numbers of idle connections for the memory usage.
const IDLE_CONNECTIONS: [usize; 4] = [0, 250, 500, 1000];

fn main() {
    task::block_on(async {
        let fleet = TestFleet::start(plan()).await;
        println!(
            "| Measure | Callers | Direct p50 / p99 ms | Gateway p50 / p99 ms | Added p50 ms | Ratio p50 |"
        );
        println!("|---|---|---|---|---|---|");
        for callers in CALLERS {
            compare_calls(&fleet, callers).await;
        }
        for callers in CALLERS {
            compare_streams(&fleet, callers).await;
        }
        print_memory(&fleet).await;
    });
}

fn plan() -> FleetPlan {
    FleetPlan {
        engines: 1,
        slots: SLOTS,
        engine: EngineSettings {
            slots: SLOTS,
            tokens_per_second: TOKENS_PER_SECOND,
            ..EngineSettings::default()
        },
        service: ServiceSettings {
            delay: SERVICE_TIME,
            ..ServiceSettings::default()
        },
        ..FleetPlan::default()
    }
}

async fn compare_calls(fleet: &TestFleet, callers: usize) {
    let load = LoadPlan {
        path: "/v1/bookings".to_owned(),
        class: Some("slot".to_owned()),
        ..base_plan(callers)
    };
    let (direct, gateway) =
        run_direct_and_gateway(fleet, &load, target_address(fleet, "service-1")).await;
    print_row(
        "call, last byte",
        callers,
        &direct,
        &gateway,
        LoadReport::last_byte,
    );
}

async fn compare_streams(fleet: &TestFleet, callers: usize) {
    let load = LoadPlan {
        class: Some("briefing".to_owned()),
        stream: true,
        max_tokens: TOKENS,
        ..base_plan(callers)
    };
    let (direct, gateway) =
        run_direct_and_gateway(fleet, &load, target_address(fleet, "engine-1")).await;
    print_row(
        "stream, first byte",
        callers,
        &direct,
        &gateway,
        LoadReport::first_byte,
    );
    print_row(
        "stream, token gap",
        callers,
        &direct,
        &gateway,
        LoadReport::token_gap,
    );
}

fn base_plan(callers: usize) -> LoadPlan {
    LoadPlan {
        token: TOKEN.to_owned(),
        callers,
        requests: REQUESTS_PER_CALLER,
        pause: PAUSE,
        ..LoadPlan::default()
    }
}

async fn run_direct_and_gateway(
    fleet: &TestFleet,
    load: &LoadPlan,
    target: SocketAddr,
) -> (LoadReport, LoadReport) {
    let direct = LoadPlan {
        gateways: vec![target],
        ..load.clone()
    };
    let gateway = LoadPlan {
        gateways: fleet.caller_addresses(),
        ..load.clone()
    };
    let direct = LoadRun::spawn(direct).finish().await;
    let gateway = LoadRun::spawn(gateway).finish().await;
    assert_eq!(gateway.done, gateway.total(), "{gateway}");
    (direct, gateway)
}

fn target_address(fleet: &TestFleet, name: &str) -> SocketAddr {
    let targets = &fleet.document.targets;
    targets
        .iter()
        .find(|target| target.name == name)
        .unwrap()
        .address
}

fn print_row(
    measure: &str,
    callers: usize,
    direct: &LoadReport,
    gateway: &LoadReport,
    quantile: impl Fn(&LoadReport, f64) -> Duration,
) {
    let millis = |report, part| quantile(report, part).as_secs_f64() * 1e3;
    let (from, to) = (millis(direct, 0.5), millis(gateway, 0.5));
    println!(
        "| {measure} | {callers} | {from:.2} / {:.2} | {to:.2} / {:.2} | {:.2} | {:.3} |",
        millis(direct, 0.99),
        millis(gateway, 0.99),
        to - from,
        to / from
    );
}

async fn print_memory(fleet: &TestFleet) {
    let host = &fleet.hosts[0].process;
    let mut open = Vec::new();
    for count in IDLE_CONNECTIONS {
        while open.len() < count {
            open.push(TcpStream::connect(host.caller_address()).await.unwrap());
        }
        task::sleep(Duration::from_secs(1)).await;
        println!(
            "| memory with {count} idle connections | | | {} KiB | | |",
            resident_kib(host.process_id())
        );
    }
}

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
