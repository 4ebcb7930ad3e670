//! The complete path of a request through real processes: caller, host, target.

mod support;

use standins::ExpectedAnswer;
use standins::check_answer;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::booking_body;
use support::call;
use support::generate;

#[async_std::test]
async fn booking_and_stream_are_served_end_to_end() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let (slot, briefing) = (new_request_id(), new_request_id());

    let booked = call(fleet.caller_address(0), &booking(&slot))
        .await
        .unwrap();
    let streamed = call(
        fleet.caller_address(1),
        &generate(&briefing, "briefing", 20),
    )
    .await
    .unwrap();

    assert_eq!((booked.status, booked.outcome()), (200, "done"));
    let echo = ExpectedAnswer::Echo(booking_body(&slot).into_bytes());
    assert_eq!(check_answer(&booked, &slot, &echo), Ok(()));
    assert_eq!((streamed.status, streamed.outcome()), (200, "done"));
    assert_eq!(
        check_answer(&streamed, &briefing, &ExpectedAnswer::Stream(20)),
        Ok(())
    );
    assert_eq!(fleet.execution_count(&slot), 1);
    assert_eq!(fleet.execution_count(&briefing), 1);
}

/// A caller resends its booking to another host, which must not run it a second time but
/// return the answer of the first run.
#[async_std::test]
async fn resend_to_another_host_gets_the_same_answer() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let id = new_request_id();

    let first = call(fleet.caller_address(0), &booking(&id)).await.unwrap();
    let second = call(fleet.caller_address(1), &booking(&id)).await.unwrap();

    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(second.text(), first.text());
    assert_eq!(fleet.execution_count(&id), 1);
}
