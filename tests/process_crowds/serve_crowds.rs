//! Crowds at the addresses of `serve`.

use std::net::SocketAddr;

use standins::CallerRequest;
use standins::new_request_id;

use crate::caller_crowd::CallerCrowd;
use crate::caller_crowd::CrowdRequest;
use crate::process_usage::open_descriptors;
use crate::process_usage::peak_memory;
use crate::process_usage::unread_bytes;
use crate::run_alone;
use crate::support::FleetPlan;
use crate::support::TOKEN;
use crate::support::TestFleet;
use crate::support::booking;
use crate::support::call;

/// Memory that a daemon may use.
const MEMORY_BYTES: u64 = 128 << 20;
/// Connections that a host accepts, with those to its targets, its peers and the platform.
const MAX_DESCRIPTORS: usize = 4096 + 512;
/// Number of connections that send bodies.
const BODY_CROWD: usize = 100;
/// Number of connections at one address that send nothing.
const IDLE_CROWD: usize = 600;
/// Largest body that a class allows, in bytes.
const LENGTH: usize = 1 << 20;
/// Bytes that are missing from a body.
const MISSING_BYTES: usize = 16;

const CHUNKED: &str = "Transfer-Encoding: chunked";

fn request_head(token: &str, framing: &str) -> String {
    format!(
        "POST /v1/generate HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {token}\r\n\
         Request-Class: digest\r\n{framing}\r\n\r\n"
    )
}

fn declared_body(token: &str, sent: usize) -> CrowdRequest {
    let head = request_head(token, &format!("Content-Length: {LENGTH}"));
    CrowdRequest::new(head, &[b'x'; 4096], sent)
}

fn chunked_body(chunk: usize, length: usize) -> CrowdRequest {
    CrowdRequest::chunked(request_head(TOKEN, CHUNKED), chunk, length)
}

async fn start_host() -> TestFleet {
    let plan = FleetPlan {
        hosts: 1,
        engines: 1,
        services: 1,
        ..FleetPlan::default()
    };
    TestFleet::start(plan).await
}

fn operator_address(fleet: &TestFleet) -> SocketAddr {
    fleet.hosts[0].process.settings.operator_address
}

/// Asserts that the process lives within the limits of its machine, and that callers and operators
/// are answered.
async fn assert_serves(fleet: &TestFleet, case: &str) {
    let host = &fleet.hosts[0].process;
    let process = host.process_id();
    let addresses = [fleet.caller_address(0), operator_address(fleet)];
    let unread = unread_bytes(&addresses);
    let descriptors = open_descriptors(process);

    let ordinary = call(addresses[0], &booking(&new_request_id())).await;
    let scrape = call(addresses[1], &CallerRequest::new("GET", "/metrics")).await;

    let peak = peak_memory(process);
    println!("{case}: peak {peak}, unread {unread}, descriptors {descriptors}");
    let statuses = [ordinary, scrape].map(|answer| answer.map(|answer| answer.status).ok());
    assert_eq!(statuses, [Some(200), Some(200)], "{case}");
    assert!(
        peak + unread <= MEMORY_BYTES,
        "{case}: {peak} bytes of memory, {unread} bytes unread"
    );
    assert!(
        descriptors <= MAX_DESCRIPTORS,
        "{case}: {descriptors} descriptors"
    );
}

/// Lets a crowd send to the address for callers, and asserts that others are served beside it and
/// after it.
async fn assert_serves_beside(case: &str, request: CrowdRequest) {
    let _alone = run_alone().await;
    let fleet = start_host().await;

    let crowd = CallerCrowd::open(fleet.caller_address(0), BODY_CROWD, request);

    assert_serves(&fleet, case).await;
    drop(crowd);
    assert_serves(&fleet, &format!("after {case}")).await;
}

/// Guards against a budget that is used up by what callers announce.
#[async_std::test]
async fn serve_serves_beside_announced_bodies_of_one_byte() {
    assert_serves_beside("announced", declared_body(TOKEN, 1)).await;
}

/// Guards against a budget that is used up by bodies that stop short of their declared length.
#[async_std::test]
async fn serve_serves_beside_bodies_that_stop_short() {
    let request = declared_body(TOKEN, LENGTH - MISSING_BYTES);
    assert_serves_beside("stopping", request).await;
}

/// Guards against a budget that callers use up whom no account knows.
#[async_std::test]
async fn serve_serves_beside_bodies_with_an_unknown_token() {
    let request = declared_body("nobody", LENGTH - MISSING_BYTES);
    assert_serves_beside("unknown token", request).await;
}

/// Guards against a budget that is used up by chunked bodies that have hardly begun.
#[async_std::test]
async fn serve_serves_beside_chunked_bodies_of_one_byte() {
    assert_serves_beside("first chunk", chunked_body(1, 1)).await;
}

/// Guards against a budget that is used up by chunked bodies that never end.
#[async_std::test]
async fn serve_serves_beside_large_chunks_without_end() {
    assert_serves_beside("chunks", chunked_body(64 << 10, LENGTH)).await;
}

/// Guards against a budget that is used up by chunked bodies in pieces of one byte.
#[async_std::test]
async fn serve_serves_beside_chunks_of_one_byte() {
    assert_serves_beside("tiny chunks", chunked_body(1, LENGTH - MISSING_BYTES)).await;
}

/// Guards against a budget that is used up by bodies over the limit that are sent unannounced.
#[async_std::test]
async fn serve_serves_beside_bodies_over_the_limit() {
    assert_serves_beside("too large", chunked_body(64 << 10, 8 * LENGTH)).await;
}

/// Guards against idle connections that take the memory of a host, or the place of operators.
#[async_std::test]
async fn serve_serves_beside_idle_connections_at_each_address() {
    let _alone = run_alone().await;
    let fleet = start_host().await;

    let addresses = [fleet.caller_address(0), operator_address(&fleet)];
    let crowds =
        addresses.map(|address| CallerCrowd::open(address, IDLE_CROWD, CrowdRequest::nothing()));

    assert_serves(&fleet, "idle").await;
    drop(crowds);
    assert_serves(&fleet, "after idle").await;
}

/// Guards against memory exhausted by bodies at the operators' address.
#[async_std::test]
async fn serve_serves_beside_bodies_at_the_operators_address() {
    let _alone = run_alone().await;
    let fleet = start_host().await;

    let request = declared_body(TOKEN, LENGTH - MISSING_BYTES);
    let crowd = CallerCrowd::open(operator_address(&fleet), BODY_CROWD, request);

    assert_serves(&fleet, "bodies of scrapes").await;
    drop(crowd);
    assert_serves(&fleet, "after bodies of scrapes").await;
}

/// Guards against memory of one crowd that is not given back before the next one.
#[async_std::test]
async fn serve_serves_beside_two_crowds_in_turn() {
    let _alone = run_alone().await;
    let fleet = start_host().await;
    let stopping = declared_body(TOKEN, LENGTH - MISSING_BYTES);
    let requests = [stopping, chunked_body(64 << 10, LENGTH)];

    for request in requests.iter().cycle().take(4) {
        let crowd = CallerCrowd::open(fleet.caller_address(0), BODY_CROWD, request.clone());
        assert_serves(&fleet, "in turn").await;
        drop(crowd);
    }

    assert_serves(&fleet, "after all").await;
}
