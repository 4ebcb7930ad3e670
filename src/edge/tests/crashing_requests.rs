//! Requests that crash each target that runs them, and callers that send them again.

use std::thread;
use std::time::Duration;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::unframed_head;
use super::raw_target::write_text;

/// Number of targets that one request may crash.
const MAX_CRASHED: usize = 2;
const TARGETS: usize = 8;
/// Pause after which the caller sends the request again, under a new id.
const RESEND_PAUSE: Duration = Duration::from_millis(150);

/// The point of a response at which a target crashes.
#[derive(Clone, Copy, Debug)]
enum CrashPoint {
    BeforeHead,
    InHead,
    AfterHead,
    InSizedBody,
    InChunkedBody,
    BetweenEvents,
    InEvent,
    InUnframedBody,
    BetweenUnframedEvents,
    InUnframedEvent,
}

/// A target that crashes when it has sent a part of its first response.
fn crashing_target(point: CrashPoint) -> RawTarget {
    RawTarget::spawn_fragile(move |request, stream| {
        write_text(stream, &response_until(point, request));
        thread::sleep(Duration::from_millis(20));
        true
    })
}

/// Returns the part of the response that a target sends before it crashes.
fn response_until(point: CrashPoint, request: &RawRequest) -> String {
    let whole = request.answer("200 OK", "some bytes");
    let head_length = whole.find("\r\n\r\n").unwrap() + 4;
    let stream_head = request.stream_head();
    let open_head = unframed_head(request);
    match point {
        CrashPoint::BeforeHead => String::new(),
        CrashPoint::InHead => whole[..head_length - 6].to_owned(),
        CrashPoint::AfterHead => stream_head,
        CrashPoint::InSizedBody => whole[..head_length + 4].to_owned(),
        CrashPoint::InChunkedBody => format!("{stream_head}a\r\nsome"),
        CrashPoint::BetweenEvents => format!("{stream_head}{}", event_chunk(1)),
        CrashPoint::InEvent => format!("{stream_head}{}14\r\nid: 2\nda", event_chunk(1)),
        CrashPoint::InUnframedBody => format!("{open_head}some"),
        CrashPoint::BetweenUnframedEvents => format!("{open_head}id: 1\ndata: e1\n\n"),
        CrashPoint::InUnframedEvent => format!("{open_head}id: 1\ndata: e1\n\nid: 2\nda"),
    }
}

/// Returns how many targets crash while a caller sends a request again and again to the host that
/// `open` starts.
fn crashed_targets(
    open: impl FnOnce(&[RawTarget]) -> EdgeFixture,
    path: &str,
    point: CrashPoint,
) -> usize {
    let targets: Vec<RawTarget> = (0..TARGETS).map(|_| crashing_target(point)).collect();
    let host = open(&targets);

    for number in 0..TARGETS {
        let answer = host.call_to_end(&request_for(path, &format!("id{number}")));
        assert!(!answer.is_complete(200), "{answer:?}");
        thread::sleep(RESEND_PAUSE);
    }

    let crashed = |target: &&RawTarget| !target.received().is_empty();
    targets.iter().filter(crashed).count()
}

/// Asserts that a request on `path` crashes few targets, whenever it does so.
fn assert_few_crash(path: &'static str, points: &[CrashPoint]) {
    let running: Vec<_> = points
        .iter()
        .map(|point| {
            (
                *point,
                thread::spawn({
                    let point = *point;
                    move || crashed_targets(EdgeFixture::open, path, point)
                }),
            )
        })
        .collect();
    let counts: Vec<_> = running
        .into_iter()
        .map(|(point, thread)| (point, thread.join().unwrap()))
        .collect();

    let is_few = |(_, count): &(CrashPoint, usize)| (1..=MAX_CRASHED).contains(count);
    assert!(counts.iter().all(is_few), "{path}: {counts:?}");
}

const CALL_POINTS: [CrashPoint; 6] = [
    CrashPoint::BeforeHead,
    CrashPoint::InHead,
    CrashPoint::AfterHead,
    CrashPoint::InSizedBody,
    CrashPoint::InChunkedBody,
    CrashPoint::InUnframedBody,
];
const STREAM_POINTS: [CrashPoint; 8] = [
    CrashPoint::BeforeHead,
    CrashPoint::InHead,
    CrashPoint::AfterHead,
    CrashPoint::InSizedBody,
    CrashPoint::BetweenEvents,
    CrashPoint::InEvent,
    CrashPoint::BetweenUnframedEvents,
    CrashPoint::InUnframedEvent,
];

/// Guards against a request whose targets crash in the body of the response, again and again.
#[test]
fn a_crashing_call_takes_down_two_targets_at_most() {
    assert_few_crash("/once/x", &CALL_POINTS);
}

/// Guards against retries that take a crashing request to further targets.
#[test]
fn a_crashing_call_that_is_retried_takes_down_two_targets_at_most() {
    assert_few_crash("/again/x", &CALL_POINTS);
}

/// Guards against a request whose targets crash in the middle of their streams.
#[test]
fn a_crashing_stream_takes_down_two_targets_at_most() {
    assert_few_crash("/stream/x", &STREAM_POINTS);
}

/// Guards against resumptions that take a crashing stream to further targets.
#[test]
fn a_crashing_stream_that_is_resumed_takes_down_two_targets_at_most() {
    assert_few_crash("/resume/x", &STREAM_POINTS);
}

/// Guards against a restarted host that knows of no crash, as its peers are paused or gone, and
/// sends a request that they reject to two targets more.
#[test]
fn a_starting_host_without_peers_loses_one_target_to_a_request() {
    let crashes = ["/once/x", "/again/x", "/stream/x", "/resume/x"].map(|path| {
        thread::spawn(move || crashed_targets(EdgeFixture::open_alone, path, CrashPoint::AfterHead))
    });

    let crashes = crashes.map(|crashes| crashes.join().unwrap());

    assert_eq!(crashes, [1; 4]);
}
