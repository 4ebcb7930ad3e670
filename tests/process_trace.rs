//! A host records a trace, and `replay` replays it.

mod support;

use cardamomgw::replay::ReplayOptions;
use cardamomgw::replay::replay_file;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::call;
use support::generate;
use support::wait_for;

/// How many requests of each kind are sent.
const REQUESTS: usize = 5;

#[async_std::test]
async fn a_recorded_trace_can_be_replayed() {
    let fleet = TestFleet::start(FleetPlan {
        records_traces: true,
        ..FleetPlan::default()
    })
    .await;
    let host = fleet.caller_address(0);

    for _ in 0..REQUESTS {
        let streamed = call(host, &generate(&new_request_id(), "briefing", 20)).await;
        let booked = call(host, &booking(&new_request_id())).await;
        assert_eq!(streamed.unwrap().status, 200);
        assert_eq!(booked.unwrap().status, 200);
    }

    let path = fleet.hosts[0].process.settings.trace_file.clone().unwrap();
    let lines = || {
        std::fs::read_to_string(&path)
            .unwrap_or_default()
            .lines()
            .count()
    };
    wait_for("the trace", || lines() == 1 + 2 * REQUESTS).await;
    let report = replay_file(path.as_ref(), &ReplayOptions::default()).unwrap();
    let own = &report.policies[0];
    let offered: usize = own.tiers.iter().map(|tier| tier.offered).sum();
    let useful: usize = own.tiers.iter().map(|tier| tier.useful).sum();
    assert_eq!((offered, useful), (2 * REQUESTS, 2 * REQUESTS));
}
