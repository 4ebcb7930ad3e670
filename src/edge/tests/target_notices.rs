//! Targets that state in their answers that they are leaving, or that they need a pause.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::super::target_notices::requested_pause;
use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::write_text;
use crate::wire::InputBuffer;
use crate::wire::ResponseMessage;

/// Pause between two requests of the caller.
const CALL_PERIOD: Duration = Duration::from_millis(25);
/// Time within which a host no longer sends to a target that said it is leaving.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Length of the pause that a target asks for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after a rejection at which the pause must be in force.
const PAUSE_DELAY: Duration = Duration::from_millis(500);
/// Requests that may still reach a target during its pause.
const MAX_IN_PAUSE: usize = 2;

type ArrivalTimes = Arc<Mutex<Vec<Instant>>>;

/// Returns a complete response with another header.
fn answer_with(request: &RawRequest, status: &str, header: &str) -> String {
    let answer = request.answer(status, "text");
    answer.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

fn healthy_target() -> RawTarget {
    RawTarget::spawn(|request, stream| {
        write_text(stream, &request.answer("200 OK", "fine"));
        true
    })
}

/// Starts a target that records when requests arrive and writes what `answer` returns.
fn recording_target(
    arrivals: &ArrivalTimes,
    answer: impl Fn(&RawRequest) -> String + Send + Sync + 'static,
) -> RawTarget {
    let arrivals = Arc::clone(arrivals);
    RawTarget::spawn(move |request, stream| {
        arrivals.lock().unwrap().push(Instant::now());
        write_text(stream, &answer(request));
        true
    })
}

/// Sends requests for `length`, and returns when they arrived at the target of `arrivals`.
fn call_for(
    host: &EdgeFixture,
    path: &str,
    length: Duration,
    arrivals: &ArrivalTimes,
) -> Vec<Instant> {
    let started_at = Instant::now();
    for number in 0.. {
        if started_at.elapsed() >= length {
            break;
        }
        host.call(&request_for(path, &format!("id{number}")));
        thread::sleep(CALL_PERIOD);
    }
    arrivals.lock().unwrap().clone()
}

/// Counts the requests that reach a target later than the bound after an answer in which it
/// says that it is leaving.
fn late_arrivals(
    path: &str,
    answer: impl Fn(&RawRequest) -> String + Send + Sync + 'static,
) -> usize {
    let arrivals = ArrivalTimes::default();
    let targets = [recording_target(&arrivals, answer), healthy_target()];
    let host = EdgeFixture::open(&targets);

    let length = DRAIN_BOUND + Duration::from_secs(1);
    let arrivals = call_for(&host, path, length, &arrivals);

    let first = *arrivals.first().expect("the target was never used");
    let late = |at: &&Instant| **at > first + DRAIN_BOUND;
    arrivals.iter().filter(late).count()
}

/// Guards against new requests to a target that says it is leaving in a success, a failure, a
/// rejection or the head of a stream.
#[test]
fn a_target_that_answers_that_it_is_leaving_receives_no_new_requests() {
    let success = |request: &RawRequest| answer_with(request, "200 OK", "X-Leaving: 1");
    let failure = |request: &RawRequest| answer_with(request, "500 Failed", "X-Leaving: 1");
    let rejection =
        |request: &RawRequest| answer_with(request, "503 Leaving", "X-Not-Run: 1\r\nX-Leaving: 1");
    let stream = |request: &RawRequest| {
        let head = request.stream_head();
        let head = head.replacen("\r\n", "\r\nX-Leaving: 1\r\n", 1);
        format!("{head}{}0\r\n\r\n", event_chunk(1))
    };

    let late = [
        late_arrivals("/once/x", success),
        late_arrivals("/again/x", failure),
        late_arrivals("/again/x", rejection),
        late_arrivals("/stream/x", stream),
    ];

    assert_eq!(late, [0; 4]);
}

/// Guards against requests to a target within the time that its `Retry-After` states.
#[test]
fn a_target_that_asks_for_a_pause_is_left_alone_until_its_end() {
    let arrivals = ArrivalTimes::default();
    let header = format!("X-Not-Run: 1\r\nRetry-After: {}", PAUSE.as_secs());
    let answer = move |request: &RawRequest| answer_with(request, "503 Busy", &header);
    let targets = [recording_target(&arrivals, answer), healthy_target()];
    let host = EdgeFixture::open(&targets);

    let arrivals = call_for(&host, "/again/x", PAUSE, &arrivals);

    let first = *arrivals.first().expect("the target was never used");
    let in_pause = |at: &&Instant| **at > first + PAUSE_DELAY && **at < first + PAUSE;
    let count = arrivals.iter().filter(in_pause).count();
    assert!(count <= MAX_IN_PAUSE, "{count} requests in the pause");
}

/// Guards against callers that wait in vain, or are told to return too early, while the only
/// target of their pool wants no requests.
#[test]
fn a_caller_is_told_to_return_after_the_pause_of_the_only_target() {
    let arrivals = ArrivalTimes::default();
    let header = format!("X-Not-Run: 1\r\nRetry-After: {}", PAUSE.as_secs());
    let answer = move |request: &RawRequest| answer_with(request, "503 Busy", &header);
    let targets = [recording_target(&arrivals, answer)];
    let host = EdgeFixture::open(&targets);
    host.call(&request_for("/again/x", "first"));

    let started_at = Instant::now();
    let answer = host.call(&request_for("/again/x", "second"));

    let delay = answer
        .lines()
        .find_map(|line| line.strip_prefix("Retry-After: "));
    let delay: f64 = delay.unwrap().parse().unwrap();
    assert_eq!(
        (status_of(&answer), arrivals.lock().unwrap().len()),
        (503, 1)
    );
    assert!(delay > 2.0 && started_at.elapsed() < PAUSE_DELAY, "{delay}");
}

/// Guards against a malformed or foreign header that takes a target out of use.
#[test]
fn only_a_positive_number_of_seconds_with_a_503_is_a_pause() {
    let pause_of = |status: &str, value: &str| {
        let mut input = InputBuffer::default();
        let text = format!("HTTP/1.1 {status} x\r\nRetry-After: {value}\r\n\r\n");
        input.append(text.as_bytes());
        let head = ResponseMessage::take(&mut input).unwrap().unwrap();
        requested_pause(&head).map(|pause| pause.as_millis())
    };

    let pauses = [
        pause_of("503", "3"),
        pause_of("503", " 0.25 "),
        pause_of("503", "1e9"),
        pause_of("503", "0"),
        pause_of("503", "-1"),
        pause_of("503", "inf"),
        pause_of("503", "Fri, 04 Dec 2026 10:00:00 GMT"),
        pause_of("200", "3"),
    ];

    let hour = Some(3_600_000);
    assert_eq!(
        pauses,
        [Some(3000), Some(250), hour, None, None, None, None, None]
    );
}
