//! Crowds at the addresses of `edge`.

use std::thread;
use std::time::Duration;

use async_std::task::block_on;

use crate::caller_crowd::CallerCrowd;
use crate::caller_crowd::CrowdRequest;
use crate::edge_machine::EdgeMachine;
use crate::edge_machine::MAX_BODY_BYTES;
use crate::edge_machine::hurried_head;
use crate::edge_machine::request_head;
use crate::run_alone;

/// Number of connections that send bodies.
const BODY_CROWD: usize = 100;
/// Number of connections at one address that send no body.
const IDLE_CROWD: usize = 550;
/// Number of requests that wait or run at the same time.
const PIPELINED_CROWD: usize = 400;
/// Number of connections that send their bodies slowly.
const SLOW_CROWD: usize = 40;
/// Bytes that are missing from a body.
const MISSING_BYTES: usize = 16;
/// Bytes that are missing from a body that goes on slowly, with the pause between two of them.
const SLOW_BYTES: usize = 80;
const SLOW_PAUSE: Duration = Duration::from_millis(250);
/// How long a caller with a slow body waits.
const SLOW_DEADLINE: Duration = Duration::from_secs(2);

const LENGTH: usize = MAX_BODY_BYTES;
const CHUNKED: &str = "Transfer-Encoding: chunked";

fn stopping_body(key: &str) -> CrowdRequest {
    let head = request_head("/look/x", key, &format!("Content-Length: {LENGTH}"));
    CrowdRequest::new(head, &[b'x'; 4096], LENGTH - MISSING_BYTES)
}

fn chunked_body(chunk: usize, length: usize) -> CrowdRequest {
    CrowdRequest::chunked(request_head("/look/x", "k1", CHUNKED), chunk, length)
}

/// Lets a crowd send to the address for callers, and asserts that others are served beside it and
/// after it.
fn assert_serves_beside(case: &str, count: usize, request: CrowdRequest) {
    let _alone = block_on(run_alone());
    let machine = EdgeMachine::start();
    let [callers, _, _] = machine.addresses();

    let crowd = CallerCrowd::open(callers, count, request);

    machine.assert_serves(case);
    drop(crowd);
    machine.assert_serves(&format!("after {case}"));
    assert_eq!(machine.call(LENGTH - 100), 200, "a large body after {case}");
}

/// Guards against a limit that refuses a large request where nothing else runs.
#[test]
fn a_single_large_body_is_served_by_edge() {
    let _alone = block_on(run_alone());
    let machine = EdgeMachine::start();

    let status = machine.call(LENGTH - 100);

    assert_eq!(status, 200);
}

/// Guards against memory exhausted by bodies that stop short of their declared length.
#[test]
fn edge_serves_beside_bodies_that_stop_short() {
    assert_serves_beside("stopping", BODY_CROWD, stopping_body("k1"));
}

/// Guards against memory exhausted by callers that no account knows.
#[test]
fn edge_serves_beside_bodies_with_an_unknown_key() {
    assert_serves_beside("unknown key", BODY_CROWD, stopping_body("k9"));
}

/// Guards against memory exhausted by chunked bodies that never end.
#[test]
fn edge_serves_beside_large_chunks_without_end() {
    assert_serves_beside("chunks", BODY_CROWD, chunked_body(64 << 10, LENGTH));
}

/// Guards against memory exhausted by chunked bodies in pieces of one byte.
#[test]
fn edge_serves_beside_chunks_of_one_byte() {
    assert_serves_beside("tiny chunks", BODY_CROWD, chunked_body(1, LENGTH - 16));
}

/// Guards against memory exhausted by bodies over the limit that are sent unannounced.
#[test]
fn edge_serves_beside_bodies_over_the_limit() {
    assert_serves_beside("too large", BODY_CROWD, chunked_body(64 << 10, 8 * LENGTH));
}

/// Guards against memory reserved for what a caller announces.
#[test]
fn edge_serves_beside_announced_bodies_over_the_limit() {
    let head = request_head("/look/x", "k1", "Content-Length: 1000000000");
    let request = CrowdRequest::new(head, &[b'x'; 4096], LENGTH);
    assert_serves_beside("announced", BODY_CROWD, request);
}

/// Guards against memory exhausted by complete bodies of requests that wait and run.
#[test]
fn edge_serves_beside_large_requests_that_run() {
    let head = request_head("/talk/x", "k1", &format!("Content-Length: {LENGTH}"));
    let request = CrowdRequest::new(head, &[b'x'; 4096], LENGTH);
    assert_serves_beside("running", BODY_CROWD, request);
}

/// Guards against memory exhausted by bytes that follow requests which still run.
#[test]
fn edge_serves_beside_pipelined_bytes() {
    let head = request_head("/talk/x", "k1", "Content-Length: 0");
    let request = CrowdRequest::new(head, &[b'x'; 4096], 128 << 10);
    assert_serves_beside("pipelined", PIPELINED_CROWD, request);
}

/// Guards against memory exhausted by heads that never end.
#[test]
fn edge_serves_beside_heads_without_end() {
    let head = format!("POST /look/x HTTP/1.1\r\nX-Long: {}", "x".repeat(15 << 10));
    let request = CrowdRequest::new(head, b"", 0);
    assert_serves_beside("heads", IDLE_CROWD, request);
}

/// Guards against idle connections that take the memory or the descriptors of a host, or the place
/// of callers, probes and scrapes.
#[test]
fn edge_serves_beside_idle_connections_at_each_address() {
    let _alone = block_on(run_alone());
    let machine = EdgeMachine::start();

    let crowds = machine.addresses().map(|address| {
        let crowd = CallerCrowd::open(address, IDLE_CROWD, CrowdRequest::nothing());
        machine.assert_descriptors();
        crowd
    });

    machine.assert_serves("idle");
    drop(crowds);
    machine.assert_serves("after idle");
}

/// Guards against memory exhausted by bodies at the addresses for probes and scrapes.
#[test]
fn edge_serves_beside_bodies_at_the_operators_addresses() {
    let _alone = block_on(run_alone());
    let machine = EdgeMachine::start();
    let [_, ready, metrics] = machine.addresses();

    let crowds =
        [ready, metrics].map(|address| CallerCrowd::open(address, BODY_CROWD, stopping_body("k1")));

    machine.assert_serves("bodies of probes");
    drop(crowds);
    machine.assert_serves("after bodies of probes");
}

/// Guards against memory of one crowd that is not given back before the next one.
#[test]
fn edge_serves_beside_two_crowds_in_turn() {
    let _alone = block_on(run_alone());
    let machine = EdgeMachine::start();
    let [callers, _, _] = machine.addresses();
    let requests = [stopping_body("k1"), chunked_body(64 << 10, LENGTH)];

    for request in requests.iter().cycle().take(4) {
        let crowd = CallerCrowd::open(callers, BODY_CROWD, request.clone());
        machine.assert_serves("in turn");
        drop(crowd);
    }

    machine.assert_serves("after all");
}

/// Sends to a host slowly, and asserts that it closes each connection before all is sent.
fn assert_ends_slow_callers(request: CrowdRequest, piece: &[u8]) {
    let _alone = block_on(run_alone());
    let machine = EdgeMachine::start();
    let [callers, _, _] = machine.addresses();

    let mut crowd = CallerCrowd::open(callers, SLOW_CROWD, request);
    machine.assert_serves("slow");
    for _ in 1..SLOW_BYTES {
        crowd.send_more(piece);
        thread::sleep(SLOW_PAUSE);
    }

    assert_eq!(crowd.open_count(), 0);
    machine.assert_serves("after slow");
}

/// Guards against bodies that go on for longer than their callers wait.
#[test]
fn edge_ends_bodies_that_go_on_after_their_deadline() {
    let head = hurried_head(&format!("Content-Length: {LENGTH}"), SLOW_DEADLINE);
    let request = CrowdRequest::new(head, &[b'x'; 4096], LENGTH - SLOW_BYTES);
    assert_ends_slow_callers(request, b"x");
}

/// Guards against trailer lines that go on for longer than their callers wait.
#[test]
fn edge_ends_trailers_that_go_on_after_their_deadline() {
    let head = hurried_head(CHUNKED, SLOW_DEADLINE) + "0\r\n";
    assert_ends_slow_callers(CrowdRequest::new(head, b"", 0), b"X-Line: 1\r\n");
}
