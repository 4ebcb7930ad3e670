//! Targets of `serve` that send bytes without end, in a head or a body.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use futures_lite::future::zip;
use standins::CallerClient;
use standins::CallerRequest;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::generate;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(1);
/// How long `serve` waits for an answer after the deadline.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(2);
/// How much later a request may end.
const END_DELAY: Duration = Duration::from_millis(500);
/// Time limit of a caller, far beyond the others.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a target sends without end.
#[derive(Clone, Copy, Debug)]
struct EndlessAnswer {
    start: &'static str,
    repeated: &'static str,
    /// Pause between two writes; none where bytes are always ready.
    pause: Option<Duration>,
}

const PAUSE: Option<Duration> = Some(Duration::from_millis(50));

const ANSWERS: [EndlessAnswer; 9] = [
    endless("HTTP/1.1 200 OK\r\nX-Long: ", "x", None),
    endless("HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n", None),
    endless("", "HTTP/1.1 102 Processing\r\n\r\n", None),
    endless(PLAIN_HEAD, "8\r\nxxxxxxxx\r\n", None),
    endless(PLAIN_HEAD, "1\r\nx\r\n", PAUSE),
    endless(STREAM_HEAD, "8\r\nxxxxxxxx\r\n", None),
    endless(STREAM_HEAD, "4\r\n: \n\n\r\n", None),
    endless(STREAM_HEAD, "4\r\n: \n\n\r\n", PAUSE),
    endless(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Line: 1\r\n",
        None,
    ),
];

const fn endless(
    start: &'static str,
    repeated: &'static str,
    pause: Option<Duration>,
) -> EndlessAnswer {
    EndlessAnswer {
        start,
        repeated,
        pause,
    }
}

/// Starts a target that answers each request without end, and counts the connections on which it
/// is sending as `open`.
fn spawn_target(answer: EndlessAnswer, open: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sending = Arc::clone(open);
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let sending = Arc::clone(&sending);
            thread::spawn(move || send_endless(stream, answer, &sending));
        }
    });
    address
}

fn send_endless(mut stream: TcpStream, answer: EndlessAnswer, sending: &AtomicUsize) {
    let mut request = [0; 8192];
    let count = stream.read(&mut request).unwrap_or(0);
    if count == 0 || request.starts_with(b"GET /v1/load") {
        return;
    }
    sending.fetch_add(1, Ordering::AcqRel);
    stream.write_all(answer.start.as_bytes()).ok();
    let block = match answer.pause {
        Some(_) => answer.repeated.to_owned(),
        None => answer.repeated.repeat(8 << 10),
    };
    while stream.write_all(block.as_bytes()).is_ok() {
        thread::sleep(answer.pause.unwrap_or_default());
    }
    sending.fetch_sub(1, Ordering::AcqRel);
}

async fn wait_closed(open: &AtomicUsize, case: &str) {
    let started_at = Instant::now();
    while open.load(Ordering::Acquire) > 0 {
        assert!(started_at.elapsed() < END_DELAY * 2, "{case}: still open");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against bytes without end that keep a caller, a slot and a connection for as long as a
/// target of `serve` sends them.
#[async_std::test]
async fn endless_bytes_of_a_target_of_serve_end() {
    let plan = FleetPlan {
        hosts: 1,
        engines: 1,
        services: 1,
        slots: 1,
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    for answer in ANSWERS {
        let open: Arc<AtomicUsize> = Arc::default();
        fleet.edit(|document| {
            for target in &mut document.targets {
                target.address = spawn_target(answer, &open);
            }
        });
        fleet.wait_for_version(0, fleet.document.version).await;
        // Each target has one slot, so a request that kept it would hold up the next one.
        for _ in 0..2 {
            let host = fleet.caller_address(0);
            let slot = booking(&new_request_id());
            let digest = generate(&new_request_id(), "digest", 5);
            zip(
                assert_ends(host, &slot, answer),
                assert_ends(host, &digest, answer),
            )
            .await;
            wait_closed(&open, &format!("{answer:?}")).await;
        }
    }
}

async fn assert_ends(host: SocketAddr, request: &CallerRequest, answer: EndlessAnswer) {
    let deadline = DEADLINE.as_millis().to_string();
    let request = request.clone().with_header("Request-Deadline-Ms", deadline);
    let started_at = Instant::now();

    let received = CallerClient::new(CALL_TIMEOUT).call(host, &request).await;

    let elapsed = started_at.elapsed();
    let is_success = received
        .as_ref()
        .is_ok_and(|received| received.status == 200 && received.is_complete);
    assert!(!is_success, "{answer:?}: {received:?}");
    let latest = DEADLINE + LATE_ANSWER_WAIT + END_DELAY;
    assert!(elapsed <= latest, "{answer:?}: ended after {elapsed:?}");
}

/// Number of polls of a target after which its connections are counted.
const POLLS: usize = 4;

/// Guards against status polls of a target that trickles that never end, each with a connection.
#[async_std::test]
async fn endless_load_reports_end_before_the_next_polls() {
    let plan = FleetPlan {
        hosts: 1,
        engines: 1,
        services: 0,
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    fleet.edit(|document| document.targets[0].address = address);

    let open: Arc<AtomicUsize> = Arc::default();
    for _ in 0..POLLS {
        let (mut stream, _) = listener.accept().unwrap();
        let sending = Arc::clone(&open);
        sending.fetch_add(1, Ordering::AcqRel);
        thread::spawn(move || {
            let _request = stream.read(&mut [0; 8192]).unwrap_or(0);
            stream.write_all(PLAIN_HEAD.as_bytes()).ok();
            while stream.write_all(b"1\r\n \r\n").is_ok() {
                thread::sleep(Duration::from_millis(50));
            }
            sending.fetch_sub(1, Ordering::AcqRel);
        });
    }

    // A report has 0.8 s, and one is polled each second.
    let open = open.load(Ordering::Acquire);
    assert!(open <= 2, "{open} of {POLLS}");
}
