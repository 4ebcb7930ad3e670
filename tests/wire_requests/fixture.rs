//! Test cases of raw requests, and the assertions on their refusals.

use crate::support::FleetPlan;
use crate::support::RawAnswer;
use crate::support::RawCaller;
use crate::support::TOKEN;
use crate::support::TestFleet;
use crate::support::booking;
use crate::support::booking_body;
use crate::support::call;
use standins::ExpectedAnswer;
use standins::check_answer;
use standins::new_request_id;

/// A request and its expected refusal.
pub(crate) struct WireCase {
    pub(crate) name: &'static str,
    pub(crate) bytes: Vec<u8>,
    /// Whether the caller shuts down its write side after these bytes.
    pub(crate) shuts_down: bool,
    pub(crate) status: u16,
    pub(crate) kind: &'static str,
}

pub(crate) async fn small_fleet() -> TestFleet {
    let plan = FleetPlan {
        hosts: 1,
        engines: 1,
        ..FleetPlan::default()
    };
    TestFleet::start(plan).await
}

pub(crate) fn case(
    name: &'static str,
    bytes: impl Into<Vec<u8>>,
    status: u16,
    kind: &'static str,
) -> WireCase {
    WireCase {
        name,
        bytes: bytes.into(),
        shuts_down: false,
        status,
        kind,
    }
}

/// A request after which the caller shuts down its write side.
pub(crate) fn truncated_case(
    name: &'static str,
    bytes: String,
    status: u16,
    kind: &'static str,
) -> WireCase {
    WireCase {
        shuts_down: true,
        ..case(name, bytes, status, kind)
    }
}

/// The head of a booking with additional lines, each with its line end.
pub(crate) fn booking_head(id: &str, lines: &str) -> String {
    format!(
        "POST /v1/bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TOKEN}\r\n\
         Request-Id: {id}\r\n{lines}\r\n"
    )
}

pub(crate) fn with_id(id: &str) -> String {
    booking_head(id, "Content-Length: 2\r\n") + "{}"
}

pub(crate) fn with_line(line: &str) -> String {
    booking_head(
        &new_request_id(),
        &format!("{line}\r\nContent-Length: 2\r\n"),
    ) + "{}"
}

/// A UUIDv7 with the given timestamp, in milliseconds since the Unix epoch.
pub(crate) fn id_at(time: u64) -> String {
    let digits = format!("{time:012x}");
    format!("{}-{}-7000-8000-000000000000", &digits[..8], &digits[8..])
}

pub(crate) fn now() -> u64 {
    cardamomgw::clock::unix_now()
}

pub(crate) async fn send_case(fleet: &TestFleet, case: &WireCase) -> RawAnswer {
    let mut caller = RawCaller::open(fleet.caller_address(0)).await;
    caller.send(&case.bytes).await;
    if case.shuts_down {
        caller.shutdown_write();
    }
    let answer = caller.read_answer().await;
    answer.expect(case.name)
}

/// Asserts that each case gets its refusal, that no request ran, and that a valid request
/// is still answered.
pub(crate) async fn assert_refused(cases: Vec<WireCase>) {
    let fleet = small_fleet().await;
    for case in &cases {
        let answer = send_case(&fleet, case).await;
        let actual = (answer.status, answer.kind());
        assert_eq!(actual, (case.status, case.kind.to_owned()), "{}", case.name);
        assert_eq!(answer.header("content-type"), "application/json");
        assert!(
            !answer.header("request-outcome").is_empty(),
            "{}",
            case.name
        );
    }
    assert_eq!(fleet.executions().len(), 0);
    assert_healthy(&fleet).await;
}

pub(crate) async fn assert_healthy(fleet: &TestFleet) {
    let id = new_request_id();
    let answer = call(fleet.caller_address(0), &booking(&id))
        .await
        .expect("answer to another request");
    let echo = ExpectedAnswer::Echo(booking_body(&id).into_bytes());
    assert_eq!(check_answer(&answer, &id, &echo), Ok(()));
    let log = fleet.hosts[0].process.log();
    assert!(!log.contains("panicked"), "{log}");
}
