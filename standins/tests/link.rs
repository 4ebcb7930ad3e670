//! The link: open, cut and silent modes.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panicking")]

mod support;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use standins::CallerConnection;
use standins::CallerError;
use standins::CallerRequest;
use standins::LinkMode;
use standins::LinkServer;
use standins::ServiceServer;
use support::any_port;
use support::call;
use support::call_briefly;
use support::service;

fn request() -> CallerRequest {
    CallerRequest::new("GET", "/v1/setpoints")
}

async fn linked_service() -> (ServiceServer, LinkServer) {
    let service = service().await;
    let link = LinkServer::bind(any_port(), service.address())
        .await
        .unwrap();
    (service, link)
}

#[async_std::test]
async fn an_open_link_forwards() {
    let (_service, link) = linked_service().await;

    let answer = call(link.address(), &request()).await.unwrap();

    assert!(answer.is_complete);
}

#[async_std::test]
async fn a_cut_closes_existing_and_new_connections() {
    let (_service, link) = linked_service().await;
    let mut existing = CallerConnection::open(link.address()).await.unwrap();
    existing.call(&request()).await.unwrap();

    link.set_mode(LinkMode::Cut);

    assert_eq!(existing.call(&request()).await, Err(CallerError::Closed));
    assert!(call(link.address(), &request()).await.is_err());
    link.set_mode(LinkMode::Open);
    assert!(call(link.address(), &request()).await.is_ok());
}

#[async_std::test]
async fn existing_connections_stay_silent_while_new_ones_work() {
    let (service, link) = linked_service().await;
    let mut existing = CallerConnection::open(link.address()).await.unwrap();
    existing.call(&request()).await.unwrap();

    link.silence_existing();

    let silent = async_std::future::timeout(
        std::time::Duration::from_millis(200),
        existing.call(&request()),
    )
    .await;
    assert!(silent.is_err());
    assert!(call(link.address(), &request()).await.is_ok());
    // The silenced request never reached the service.
    assert_eq!(service.executions().len(), 2);
}

#[async_std::test]
async fn a_silent_link_discards_data_on_new_connections() {
    let (service, link) = linked_service().await;

    link.set_mode(LinkMode::Silent);

    let silent = call_briefly(link.address(), &request()).await;
    assert_eq!(silent, Err(CallerError::TimedOut));
    assert_eq!(service.executions(), []);
}

#[async_std::test]
async fn the_mode_can_depend_on_the_client() {
    let (_service, link) = linked_service().await;
    let mut existing = CallerConnection::open(link.address()).await.unwrap();
    existing.call(&request()).await.unwrap();

    link.set_mode_selector(|client| match client.port() {
        0 => LinkMode::Open,
        _ => LinkMode::Cut,
    });

    assert_eq!(existing.call(&request()).await, Err(CallerError::Closed));
}

#[async_std::test]
async fn the_mode_can_be_set_over_http() {
    let service = service().await;
    let link = LinkServer::bind_controlled(any_port(), service.address(), any_port())
        .await
        .unwrap();
    let control = CallerRequest::new("POST", "/control").with_body(r#"{"mode":"cut"}"#);

    let answer = call(link.control_address().unwrap(), &control)
        .await
        .unwrap();

    assert_eq!(answer.status, 200);
    assert!(call(link.address(), &request()).await.is_err());
}

/// Guards against a connection that passes data because the link went silent while it was opened.
#[async_std::test]
async fn a_connection_that_is_being_opened_goes_silent() {
    let (_service, link) = linked_service().await;
    let selected = AtomicBool::new(false);
    link.set_mode_selector(move |_| match selected.swap(true, Ordering::AcqRel) {
        false => LinkMode::Open,
        true => LinkMode::Silent,
    });

    let answer = call_briefly(link.address(), &request()).await;

    assert_eq!(answer, Err(CallerError::TimedOut));
}
