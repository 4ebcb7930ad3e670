//! Connections that are slow, shared by several messages, or about to close.

use crate::fixture::assert_serves;
use crate::fixture::booking_head;
use crate::fixture::small_fleet;
use crate::fixture::with_id;
use crate::support::RawCaller;
use crate::support::TOKEN;
use crate::support::booking_body;
use crate::support::send_raw;
use standins::new_request_id;

/// A host has no connections left: callers send half a head and stay. Each gets
/// its refusal after five seconds, and others are served meanwhile.
#[async_std::test]
async fn slow_head_is_refused_while_others_are_served() {
    let fleet = small_fleet().await;
    let mut slow = RawCaller::open(fleet.caller_address(0)).await;
    slow.send(b"POST /v1/bookings HTTP/1.1\r\nHost").await;

    assert_serves(&fleet).await;
    let answer = slow.read_answer().await.unwrap();

    assert_eq!(
        (answer.status, answer.kind().as_str()),
        (408, "slow-caller")
    );
    assert_eq!(slow.read_to_end().await, b"");
}

#[async_std::test]
async fn pipelined_requests_are_answered_in_their_order() {
    let fleet = small_fleet().await;
    let ids = [new_request_id(), new_request_id(), new_request_id()];
    let mut bytes = String::new();
    for id in &ids {
        let body = booking_body(id);
        bytes += &booking_head(id, &format!("Content-Length: {}\r\n", body.len()));
        bytes += &body;
    }
    bytes += "nonsense\r\n\r\n";

    let mut caller = RawCaller::open(fleet.caller_address(0)).await;
    caller.send(bytes.as_bytes()).await;

    for id in &ids {
        let answer = caller.read_answer().await.unwrap();
        assert_eq!(
            (answer.status, answer.header("request-id")),
            (200, id.as_str())
        );
        assert!(answer.body.contains(id.as_str()));
    }
    assert_eq!(
        caller.read_answer().await.unwrap().kind(),
        "malformed-message"
    );
    assert_eq!(caller.read_to_end().await, b"");
}

/// A caller reads the refusal of its `HEAD` request as the head of its next
/// answer, and from then on each caller behind that connection gets another's
/// answer: a body came where none may be (RFC 9110 section 9.3.2).
#[async_std::test]
async fn answer_to_head_has_no_body() {
    let fleet = small_fleet().await;
    let id = new_request_id();
    let request = with_id(&id).replace("POST", "HEAD");

    let mut caller = RawCaller::open(fleet.caller_address(0)).await;
    caller.send(request.as_bytes()).await;
    let head = caller.read_head().await.unwrap();
    let rest = caller.read_to_end().await;

    assert!(head.starts_with("HTTP/1.1 404"), "{head}");
    assert_eq!(String::from_utf8(rest).unwrap(), "");
}

/// A client that asks first (as curl does with large bodies) never sends its
/// body: it waits for a word that does not come.
#[async_std::test]
async fn caller_that_asks_first_is_told_to_go_on() {
    let fleet = small_fleet().await;
    let id = new_request_id();
    let body = booking_body(&id);
    let lines = format!("Expect: 100-continue\r\nContent-Length: {}\r\n", body.len());

    let mut caller = RawCaller::open(fleet.caller_address(0)).await;
    caller.send(booking_head(&id, &lines).as_bytes()).await;
    let interim = caller.read_head().await.unwrap();
    caller.send(body.as_bytes()).await;
    let answer = caller.read_answer().await.unwrap();

    assert!(interim.starts_with("HTTP/1.1 100"), "{interim}");
    assert_eq!(
        (answer.status, answer.header("request-outcome")),
        (200, "done")
    );
}

#[async_std::test]
async fn stranger_that_asks_first_is_refused_at_once() {
    let fleet = small_fleet().await;
    let lines = "Expect: 100-continue\r\nContent-Length: 1000\r\n";
    let request = booking_head(&new_request_id(), lines).replace(TOKEN, "other");

    let answer = send_raw(fleet.caller_address(0), request.as_bytes()).await;

    assert_eq!(answer.unwrap().status, 401);
}

#[async_std::test]
async fn connection_that_is_to_close_is_closed() {
    let fleet = small_fleet().await;
    let id = new_request_id();
    let request = booking_head(
        &id,
        "Connection: keep-alive, Close\r\nContent-Length: 2\r\n",
    ) + "{}";

    let mut caller = RawCaller::open(fleet.caller_address(0)).await;
    caller.send(request.as_bytes()).await;
    let answer = caller.read_answer().await.unwrap();

    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    assert_eq!(caller.read_to_end().await, b"");
}
