//! How many seats may fail, and how long a restarted one cannot vote.

use std::time::Instant;

use standins::new_request_id;

use crate::SLOTS;
use crate::latency_samples::LatencySamples;
use crate::start_fleet;
use crate::support::booking;
use crate::support::call;
use crate::support::wait_until;

/// Number of restarts of a seat.
const RESTARTS: usize = 5;

/// Prints how many hosts can be killed, starting with the last one, while the first still serves.
pub(crate) async fn print_tolerated_failures() {
    for hosts in [3, 5, 7, 8] {
        let mut fleet = start_fleet(hosts, SLOTS).await;
        let mut lost = 0;
        loop {
            fleet.hosts[hosts - 1 - lost].process.kill();
            let answer = call(fleet.caller_address(0), &booking(&new_request_id())).await;
            if answer.unwrap().outcome() != "done" {
                break;
            }
            lost += 1;
        }
        println!("| failed seats that claims tolerate | {hosts} | {lost} | |");
    }
}

/// Prints the time from the start of a restarted seat's process until it may vote again.
pub(crate) async fn print_time_to_vote() {
    for hosts in [3, 8] {
        let mut fleet = start_fleet(hosts, SLOTS).await;
        let mut times = LatencySamples::default();
        for _ in 0..RESTARTS {
            let last = hosts - 1;
            fleet.hosts[last].process.kill();
            let began = Instant::now();
            fleet.restart_host(last);
            let process = &fleet.hosts[last].process;
            wait_until("the restarted seat to vote", || async {
                process.status().await["roster"]["voiced"] == true
            })
            .await;
            times.record(began.elapsed());
            fleet.wait_ready().await;
        }
        times.print_millis("restarted seat may vote again", hosts);
    }
}
