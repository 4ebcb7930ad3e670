//! Metrics as an operator reads them.

use std::io::Write;
use std::time::Duration;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawTarget;
use super::raw_target::write_text;

/// Responds with three events, 200 ms apart.
fn streaming_target() -> RawTarget {
    RawTarget::spawn(|request, stream| {
        write_text(stream, &request.stream_head());
        for id in 1..=3 {
            let event = format!("id: {id}\ndata: x\n\n");
            let size = event.len();
            write!(stream, "{size:x}\r\n{event}\r\n").unwrap();
            std::thread::sleep(Duration::from_millis(200));
        }
        write_text(stream, "0\r\n\r\n");
        true
    })
}

/// Returns the value of the single line that contains all of `parts`.
fn value(text: &str, parts: &[&str]) -> f64 {
    let mut lines = text.lines();
    let line = lines.find(|line| parts.iter().all(|part| line.contains(part)));
    let line = line.unwrap_or_else(|| panic!("no {parts:?} in {text}"));
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Time to the first event and pauses between events are recorded by route and account.
#[test]
fn a_stream_is_counted_under_its_route_and_account() {
    let host = EdgeFixture::open(&[streaming_target()]);

    let answer = host.call(&request_for("/stream/x", "id1"));

    assert_eq!(status_of(&answer), 200);
    let text = host.metrics();
    let of = |name: &str| {
        let labels = [name, "account=\"acme\"", "class=\"/stream/\"", "tier=\"0\""];
        value(&text, &labels)
    };
    assert_eq!(of("queue_time_seconds_count"), 1.0);
    assert_eq!(of("first_token_time_seconds_count"), 1.0);
    assert_eq!(of("whole_time_seconds_count"), 1.0);
    assert!(of("token_gap_seconds_count") >= 2.0);
    assert!(of("token_gap_seconds_sum") >= 0.05);
    assert_eq!(
        value(&text, &["answers_total", "done", "in_time=\"true\""]),
        1.0
    );
}

/// If all targets fail and the last error response is forwarded, it must be counted as an
/// answer with the known outcome.
#[test]
fn a_forwarded_error_response_is_counted() {
    let failing = RawTarget::spawn(|request, stream| {
        write_text(stream, &request.answer("500 Failed", "no"));
        true
    });
    let host = EdgeFixture::open(&[failing.clone(), failing]);

    let answer = host.call(&request_for("/again/x", "id1"));

    assert_eq!(status_of(&answer), 500);
    let unknown = ["answers_total", "class=\"/again/\"", "outcome=\"unknown\""];
    assert_eq!(value(&host.metrics(), &unknown), 1.0);
}

/// Requests without a response from a target are counted with their known outcome.
#[test]
fn a_refusal_is_counted_by_kind_tier_and_outcome() {
    let mut gone = streaming_target();
    gone.address = ([127, 0, 0, 1], 9).into();
    let host = EdgeFixture::open(&[gone]);

    host.call(&request_for("/once/x", "id1"));
    host.call(&request_for("/nowhere/x", "id2"));

    let text = host.metrics();
    let not_run = ["answers_total", "class=\"/once/\"", "outcome=\"not-run\""];
    assert_eq!(value(&text, &not_run), 1.0);
    let unknown = ["errors_total", "kind=\"unknown-class\"", "tier=\"none\""];
    assert_eq!(value(&text, &unknown), 1.0);
    let no_room = ["errors_total", "kind=\"overloaded\"", "tier=\"0\""];
    assert_eq!(value(&text, &no_room), 1.0);
}
