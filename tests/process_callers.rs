//! Callers of real processes: each gets its own complete answer from every host.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use standins::ExpectedAnswer;
use standins::LoadPlan;
use standins::LoadRun;
use standins::check_answer;
use standins::new_request_id;
use support::FleetPlan;
use support::TOKEN;
use support::TestFleet;
use support::booking;
use support::booking_body;
use support::call;
use support::generate;

#[async_std::test]
async fn a_stream_is_complete_through_each_host() {
    let fleet = TestFleet::start(FleetPlan::default()).await;

    for host in fleet.caller_addresses() {
        let id = new_request_id();
        let answer = call(host, &generate(&id, "briefing", 20)).await.unwrap();

        assert_eq!(answer.outcome(), "done", "{}", answer.text());
        assert_eq!(
            check_answer(&answer, &id, &ExpectedAnswer::Stream(20)),
            Ok(())
        );
        assert_eq!(fleet.execution_count(&id), 1);
    }
}

#[async_std::test]
async fn a_booking_runs_once_and_its_resends_get_the_same_answer() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let id = new_request_id();
    let expected = ExpectedAnswer::Echo(booking_body(&id).into_bytes());

    for host in fleet.caller_addresses() {
        let answer = call(host, &booking(&id)).await.unwrap();

        assert_eq!(answer.outcome(), "done", "{}", answer.text());
        assert_eq!(check_answer(&answer, &id, &expected), Ok(()));
    }

    assert_eq!(fleet.execution_count(&id), 1);
}

#[async_std::test]
async fn many_callers_each_get_their_own_answers() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let plan = LoadPlan {
        gateways: fleet.caller_addresses(),
        token: TOKEN.to_owned(),
        class: Some("briefing".to_owned()),
        callers: 12,
        requests: 10,
        stream: true,
        ..LoadPlan::default()
    };

    let report = LoadRun::spawn(plan).finish().await;

    assert_eq!(report.done, 120, "{report}");
    fleet.assert_no_duplicate_executions();
}
