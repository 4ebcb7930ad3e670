//! Requests and calls used by the tests.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use async_std::task::JoinHandle;
use standins::CallerAnswer;
use standins::CallerClient;
use standins::CallerError;
use standins::CallerRequest;

use super::TOKEN;
use super::WAIT_LIMIT;

/// Returns a non-idempotent booking request.
pub(crate) fn booking(id: &str) -> CallerRequest {
    CallerRequest::new("POST", "/v1/bookings")
        .with_token(TOKEN)
        .with_id(id)
        .with_body(booking_body(id))
}

/// Returns the body of a booking, which the service echoes.
pub(crate) fn booking_body(id: &str) -> String {
    format!("{{\"booking\":\"{id}\"}}")
}

/// Returns a request for a streamed generation in a class.
pub(crate) fn generate(id: &str, class: &str, tokens: u32) -> CallerRequest {
    CallerRequest::generate(&format!("flight manifest {id}"), tokens, true)
        .with_token(TOKEN)
        .with_id(id)
        .with_class(class)
}

/// Sends a request on a new connection.
pub(crate) async fn call(
    host: SocketAddr,
    request: &CallerRequest,
) -> Result<CallerAnswer, CallerError> {
    call_with_timeout(WAIT_LIMIT, host, request).await
}

/// Sends a request on a new connection and gives up after `limit`.
pub(crate) async fn call_with_timeout(
    limit: Duration,
    host: SocketAddr,
    request: &CallerRequest,
) -> Result<CallerAnswer, CallerError> {
    CallerClient::new(limit).call(host, request).await
}

/// Sends a request in a task.
pub(crate) fn spawn_call(
    host: SocketAddr,
    request: &CallerRequest,
) -> JoinHandle<Result<CallerAnswer, CallerError>> {
    let request = request.clone();
    task::spawn(async move { call(host, &request).await })
}
