//! The platform stand-in's HTTP interface.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panicking")]

mod support;

use std::time::Duration;

use async_std::task;
use serde_json::Value;
use serde_json::json;
use standins::CallerError;
use standins::CallerRequest;
use standins::HostEntry;
use standins::PlatformMode;
use standins::PlatformServer;
use standins::TargetState;
use support::any_port;
use support::call;

const SCOPE: &str = "fleet";

async fn platform_with(version: u64) -> PlatformServer {
    let platform = PlatformServer::bind(any_port()).await.unwrap();
    platform
        .publish(SCOPE, &json!({"version": version}))
        .unwrap();
    platform
}

fn read() -> CallerRequest {
    CallerRequest::new("GET", "/v1/documents/fleet")
}

fn watch(after: u64, wait_ms: u64) -> CallerRequest {
    CallerRequest::new(
        "GET",
        &format!("/v1/documents/fleet?after={after}&wait_ms={wait_ms}"),
    )
}

#[async_std::test]
async fn a_document_is_served_with_its_version() {
    let platform = platform_with(7).await;

    let answer = call(platform.address(), &read()).await.unwrap();

    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("Document-Version"), Some("7"));
    assert_eq!(answer.text(), r#"{"version":7}"#);
}

#[async_std::test]
async fn an_unknown_scope_is_not_found() {
    let platform = platform_with(7).await;

    let request = CallerRequest::new("GET", "/v1/documents/other");
    let answer = call(platform.address(), &request).await.unwrap();

    assert_eq!(answer.status, 404);
}

#[async_std::test]
async fn a_watch_returns_the_next_version() {
    let platform = platform_with(7).await;
    let address = platform.address();
    let watching = task::spawn(async move { call(address, &watch(7, 30_000)).await });
    support::wait_for("the watch", || platform.call_count() == 1).await;

    platform.publish(SCOPE, &json!({"version": 8})).unwrap();

    let answer = watching.await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("Document-Version"), Some("8"));
}

#[async_std::test]
async fn a_watch_without_a_new_version_ends_with_304() {
    let platform = platform_with(7).await;

    let answer = call(platform.address(), &watch(7, 20)).await.unwrap();

    assert_eq!(answer.status, 304);
}

#[async_std::test]
async fn a_platform_that_is_down_closes_reads_and_watches() {
    let platform = platform_with(7).await;
    let address = platform.address();
    let watching = task::spawn(async move { call(address, &watch(7, 30_000)).await });
    support::wait_for("the watch", || platform.call_count() == 1).await;

    platform.set_mode(PlatformMode::Down);

    assert_eq!(watching.await, Err(CallerError::Closed));
    assert_eq!(call(address, &read()).await, Err(CallerError::Closed));
    platform.set_mode(PlatformMode::Ok);
    assert_eq!(call(address, &read()).await.unwrap().status, 200);
}

#[async_std::test]
async fn a_stale_platform_serves_the_previous_document() {
    let platform = platform_with(7).await;

    platform.set_mode(PlatformMode::Stale);
    platform.publish(SCOPE, &json!({"version": 8})).unwrap();

    let stale = call(platform.address(), &read()).await.unwrap();
    assert_eq!(stale.header("Document-Version"), Some("7"));
    platform.set_mode(PlatformMode::Ok);
    let fresh = call(platform.address(), &read()).await.unwrap();
    assert_eq!(fresh.header("Document-Version"), Some("8"));
}

#[async_std::test]
async fn a_flapping_platform_refuses_every_other_read() {
    let platform = platform_with(7).await;
    platform.set_mode(PlatformMode::Flapping);

    let first = call(platform.address(), &read()).await.unwrap();
    let second = call(platform.address(), &read()).await.unwrap();

    assert_eq!((first.status, second.status), (200, 503));
    assert_eq!(second.retry_after(), Some(Duration::from_secs(1)));
}

#[async_std::test]
async fn operators_can_publish_over_http() {
    let platform = platform_with(7).await;
    let put = CallerRequest::new("PUT", "/v1/documents/fleet").with_body(r#"{"version":9}"#);
    let hosts = CallerRequest::new("PUT", "/v1/hosts")
        .with_body(r#"{"hosts":[{"name":"engine-1","state":"leaving"}]}"#);
    let control = CallerRequest::new("POST", "/control").with_body(r#"{"mode":"stale"}"#);

    for request in [&put, &hosts, &control] {
        assert_eq!(call(platform.address(), request).await.unwrap().status, 200);
    }

    let answer = call(platform.address(), &read()).await.unwrap();
    assert_eq!(answer.header("Document-Version"), Some("9"));
    let list = call(platform.address(), &CallerRequest::new("GET", "/v1/hosts"))
        .await
        .unwrap();
    let list: Value = serde_json::from_slice(&list.body).unwrap();
    let names: Vec<HostEntry> = serde_json::from_value(list["hosts"].clone()).unwrap();
    assert_eq!(names[0].state, TargetState::Leaving);
    assert!(list["taken_ms"].as_u64().unwrap() > 0);
}
