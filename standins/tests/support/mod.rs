//! Shared fixtures of the stand-ins' tests.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "each test file uses only some of the fixtures, which fail by panicking"
)]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use standins::CallerAnswer;
use standins::CallerClient;
use standins::CallerError;
use standins::CallerRequest;
use standins::EngineServer;
use standins::EngineSettings;
use standins::ServiceServer;
use standins::ServiceSettings;

/// Time limit for any wait in a test.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Loopback address with an automatically assigned port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts an engine that generates tokens fast.
pub(crate) async fn engine() -> EngineServer {
    let settings = EngineSettings {
        tokens_per_second: 2_000.0,
        ..EngineSettings::default()
    };
    EngineServer::bind(any_port(), settings).await.unwrap()
}

/// Starts a service that answers without delay.
pub(crate) async fn service() -> ServiceServer {
    ServiceServer::bind(any_port(), ServiceSettings::default())
        .await
        .unwrap()
}

/// Sends a request on a new connection.
pub(crate) async fn call(
    host: SocketAddr,
    request: &CallerRequest,
) -> Result<CallerAnswer, CallerError> {
    CallerClient::new(WAIT_LIMIT).call(host, request).await
}

/// Sends a request on a new connection with a short timeout, to check that no answer comes.
pub(crate) async fn call_briefly(
    host: SocketAddr,
    request: &CallerRequest,
) -> Result<CallerAnswer, CallerError> {
    CallerClient::new(Duration::from_millis(300))
        .call(host, request)
        .await
}

/// Polls until `condition` is true.
pub(crate) fn wait_for(what: &str, condition: impl Fn() -> bool) -> impl Future<Output = ()> {
    let what = what.to_owned();
    async move {
        let began = Instant::now();
        while !condition() {
            assert!(began.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}
