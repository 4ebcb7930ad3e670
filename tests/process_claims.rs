//! Concurrent sends of one request id that compete for its claim on several hosts.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::spawn_call;

/// How many bookings are sent twice concurrently; one in a few splits the seats' votes.
const RACES: usize = 40;

/// Two sends of one booking reach two hosts concurrently while the third host is dead. Each
/// host's own seat grants its own send, so neither gets a majority, and each takes the other
/// for the holder, since the dead seat may have granted that one too. Guards against both
/// hosts waiting for each other's answer, so that both callers hang forever.
#[async_std::test]
async fn sends_that_split_the_votes_are_both_answered_truthfully() {
    let mut fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;
    fleet.hosts[2].process.kill();
    let ids: Vec<String> = (0..RACES).map(|_| new_request_id()).collect();

    let mut answers = Vec::new();
    for id in &ids {
        let sends = [0, 1].map(|host| spawn_call(fleet.caller_address(host), &booking(id)));
        for send in sends {
            answers.push((id, send.await.unwrap()));
        }
    }

    fleet.assert_no_duplicate_executions();
    for (id, answer) in answers {
        let runs = fleet.execution_count(id);
        match answer.outcome() {
            "done" => assert_eq!(runs, 1, "{id}"),
            "not-run" => assert_eq!(runs, 0, "{id}: {}", answer.text()),
            outcome => assert_eq!(outcome, "unknown", "{id}"),
        }
    }
}
