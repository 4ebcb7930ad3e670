//! Slow, pipelined and closing connections, and `HEAD` and `Expect` requests.

use crate::fixture::assert_healthy;
use crate::fixture::booking_head;
use crate::fixture::small_fleet;
use crate::fixture::with_id;
use crate::support::RawCaller;
use crate::support::TOKEN;
use crate::support::booking_body;
use crate::support::send_raw;
use standins::new_request_id;

/// Guards against exhaustion of connections by callers that send half a head and stay
/// connected: each is refused after five seconds, and others are served meanwhile.
#[async_std::test]
async fn slow_head_is_refused_while_others_are_served() {
    let fleet = small_fleet().await;
    let mut slow = RawCaller::open(fleet.caller_address(0)).await;
    slow.send(b"POST /v1/bookings HTTP/1.1\r\nHost").await;

    assert_healthy(&fleet).await;
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

/// Guards against answers that are assigned to the wrong requests: if the refusal of a
/// `HEAD` request has a body (RFC 9110 section 9.3.2 forbids it), the caller reads the body
/// as the head of the next answer, and every later answer on the connection is shifted.
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

/// Guards against a hanging request: a caller that sends `Expect: 100-continue` (as curl
/// does with large bodies) waits for the interim answer before it sends the body.
#[async_std::test]
async fn expect_continue_gets_an_interim_answer() {
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
async fn expect_continue_of_an_unknown_account_is_refused_at_once() {
    let fleet = small_fleet().await;
    let lines = "Expect: 100-continue\r\nContent-Length: 1000\r\n";
    let request = booking_head(&new_request_id(), lines).replace(TOKEN, "other");

    let answer = send_raw(fleet.caller_address(0), request.as_bytes()).await;

    assert_eq!(answer.unwrap().status, 401);
}

#[async_std::test]
async fn connection_with_the_close_option_is_closed() {
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
