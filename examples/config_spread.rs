//! Measures how fast a new configuration is in force on all hosts of a fleet.
//!
//! `cargo run --release --example config_spread` starts 8 hosts in one process, of which only one
//! can reach the platform, publishes a sequence of documents and prints the time until each
//! is in force on the last host.

#[path = "../tests/config_support/mod.rs"]
mod config_support;

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use config_support::FleetMember;
use config_support::bind_members;
use config_support::document;
use config_support::no_platform;
use config_support::open_platform;
use config_support::publish;

const HOST_NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const CHANGES: u64 = 100;
/// Longer than a host's exchange period, so that each change is propagated separately.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

async fn wait_for(version: u64, members: &[FleetMember]) {
    while members.iter().any(|member| member.version() < version) {
        task::sleep(Duration::from_millis(1)).await;
    }
}

async fn measure() {
    let platform = open_platform().await;
    let members = bind_members(&HOST_NAMES).await;
    publish(&platform, &document(1, &members));
    members[0].start(platform.address(), &[]);
    for member in &members[1..] {
        member.start(no_platform(), &[&members[0]]);
    }
    wait_for(1, &members).await;
    let mut times = Vec::new();
    for version in 2..2 + CHANGES {
        task::sleep(CHANGE_INTERVAL).await;
        let began = Instant::now();
        publish(&platform, &document(version, &members));
        wait_for(version, &members).await;
        times.push(began.elapsed());
    }
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!(
        "{CHANGES} changes, {} hosts, {} without access to the platform: in force on all hosts \
         after median {:?}, p99 {:?}, worst {:?}",
        HOST_NAMES.len(),
        HOST_NAMES.len() - 1,
        at(50),
        at(99),
        at(100)
    );
}

fn main() {
    task::block_on(measure());
}
