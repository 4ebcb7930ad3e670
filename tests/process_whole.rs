//! Complete answers: a target's fault never reaches a caller as a valid answer.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use standins::CallerAnswer;
use standins::EngineFaults;
use standins::ExpectedAnswer;
use standins::ServiceFaults;
use standins::check_answer;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::booking_body;
use support::call;
use support::generate;
use support::spawn_call;
use support::wait_for;

const TOKENS: u32 = 40;

/// Requests a stream from one engine with these faults.
async fn stream_with(faults: EngineFaults) -> (String, CallerAnswer, TestFleet) {
    let fleet = TestFleet::start(FleetPlan {
        engines: 1,
        services: 0,
        ..FleetPlan::default()
    })
    .await;
    fleet.engine(0).set_faults(faults);
    let id = new_request_id();
    let request = generate(&id, "briefing", TOKENS);
    let answer = call(fleet.caller_address(0), &request).await.unwrap();
    (id, answer, fleet)
}

/// Requests a booking from one service with these faults.
async fn booking_with(faults: ServiceFaults) -> (String, CallerAnswer, TestFleet) {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;
    fleet.service(0).set_faults(faults);
    let id = new_request_id();
    let answer = call(fleet.caller_address(0), &booking(&id)).await.unwrap();
    (id, answer, fleet)
}

/// Asserts that the answer is an error or incomplete, and that the call ran once.
fn assert_not_passed_on(id: &str, answer: &CallerAnswer, fleet: &TestFleet) {
    assert!(answer.status >= 500 || !answer.is_complete, "{answer:?}");
    assert_ne!(answer.outcome(), "not-run");
    assert_eq!(fleet.execution_count(id), 1);
}

/// The engine's connection is cut in the middle of a stream that the engine can resume: the
/// caller gets the complete stream, and the prompt is processed only once.
#[async_std::test]
async fn a_cut_stream_is_resumed() {
    let (id, answer, fleet) = stream_with(EngineFaults {
        cut_after: Some(7),
        ..EngineFaults::default()
    })
    .await;

    assert_eq!(
        check_answer(&answer, &id, &ExpectedAnswer::Stream(TOKENS)),
        Ok(())
    );
    assert_eq!(fleet.execution_count(&id), 1);
}

/// The engine's connection goes silent in the middle of a stream, while new ones work.
#[async_std::test]
async fn a_silent_stream_is_resumed() {
    let (id, answer, fleet) = stream_with(EngineFaults {
        silent_after: Some(7),
        ..EngineFaults::default()
    })
    .await;

    assert_eq!(
        check_answer(&answer, &id, &ExpectedAnswer::Stream(TOKENS)),
        Ok(())
    );
    assert_eq!(fleet.execution_count(&id), 1);
}

/// A resumed stream repeats tokens that the caller already has.
#[async_std::test]
async fn an_overlap_of_a_resumed_stream_is_not_passed_on() {
    let (id, answer, _fleet) = stream_with(EngineFaults {
        cut_after: Some(7),
        overlap: 3,
        ..EngineFaults::default()
    })
    .await;

    assert_eq!(
        check_answer(&answer, &id, &ExpectedAnswer::Stream(TOKENS)),
        Ok(())
    );
}

/// A resumed stream leaves out tokens; it must not look complete to the caller.
#[async_std::test]
async fn a_gap_of_a_resumed_stream_never_looks_complete() {
    let (_id, answer, _fleet) = stream_with(EngineFaults {
        cut_after: Some(7),
        gap: 2,
        ..EngineFaults::default()
    })
    .await;

    assert!(!answer.is_complete, "{}", answer.text());
}

/// An engine answers with another request's id; no caller may get that answer.
#[async_std::test]
async fn a_foreign_stream_is_not_passed_on() {
    let (id, answer, fleet) = stream_with(EngineFaults {
        wrong_id: true,
        ..EngineFaults::default()
    })
    .await;

    assert_not_passed_on(&id, &answer, &fleet);
    assert!(!answer.text().contains("\"offset\""));
}

/// A service answers with another booking's id; no caller may get that answer.
#[async_std::test]
async fn a_foreign_booking_is_not_passed_on() {
    let (id, answer, fleet) = booking_with(ServiceFaults {
        wrong_id: true,
        ..ServiceFaults::default()
    })
    .await;

    assert_not_passed_on(&id, &answer, &fleet);
    assert!(!answer.text().contains("echo"));
}

/// A service's connection is closed in the middle of the body.
#[async_std::test]
async fn a_cut_booking_is_not_passed_on() {
    let (id, answer, fleet) = booking_with(ServiceFaults {
        cut: true,
        ..ServiceFaults::default()
    })
    .await;

    assert_not_passed_on(&id, &answer, &fleet);
}

/// The control for the tests above: the same call without a fault.
#[async_std::test]
async fn a_booking_without_faults_is_complete() {
    let (id, answer, fleet) = booking_with(ServiceFaults::default()).await;

    let expected = ExpectedAnswer::Echo(booking_body(&id).into_bytes());
    assert_eq!(check_answer(&answer, &id, &expected), Ok(()));
    assert_eq!(fleet.execution_count(&id), 1);
}

/// A service restarts before it has answered a booking. Guards against a host that asks it
/// for the rest of a stream, as it asks engines: a service would run that as another call.
#[async_std::test]
async fn a_restarted_service_gets_no_resume_request() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let id = new_request_id();
    fleet.service(0).set_faults(ServiceFaults {
        never_answers: true,
        ..ServiceFaults::default()
    });
    let booked = spawn_call(fleet.caller_address(0), &booking(&id));
    wait_for("the booking", || fleet.execution_count(&id) == 1).await;

    fleet.service(0).set_faults(ServiceFaults::default());
    fleet.service(0).crash();
    fleet.service(0).restart().await.unwrap();
    let answer = booked.await.unwrap();

    assert_eq!(answer.outcome(), "unknown");
    let runs = fleet.service(0).executions();
    assert_eq!(runs.len(), 1, "{runs:?}");
}
