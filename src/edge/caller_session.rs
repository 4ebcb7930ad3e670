//! Serves the requests of one caller connection in sequence.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;

use super::caller_connection::BadRequest;
use super::caller_connection::CallerConnection;
use super::caller_connection::CallerRequest;
use super::caller_connection::RequestStart;
use super::caller_limits::max_caller_descriptors;
use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::quota_filter::consume_quota;
use super::request_execution::ExecutionOutcome;
use super::request_execution::RequestExecution;
use super::response_sink::ResponseSink;
use super::response_writer::refusal_bytes;
use super::response_writer::write_bytes;
use super::route_filter::OTHER_HOST_DELAY;
use super::route_filter::RequestOrigin;
use super::route_filter::RoutedRequest;
use super::route_filter::UnroutedRequest;
use super::route_filter::check_head;
use super::route_filter::route_request;
use super::shutdown_controller::LEAVING_RETRY_DELAY;
use crate::catalog::CallerLimits;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::AccountName;
use crate::ids::TierRank;
use crate::limits::ConnectionPermit;
use crate::logs::DecisionLine;
use crate::wire::RequestMessage;

/// Interval at which a starting host checks whether its peers have answered.
const PEER_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Serves a connection until it is closed.
pub(crate) async fn serve_caller(
    state: Arc<EdgeState>,
    stream: TcpStream,
    permit: ConnectionPermit,
) {
    let mut caller = CallerConnection::new(stream, permit);
    let limits = || {
        let catalog = state.view.catalog();
        catalog.map_or_else(CallerLimits::default, |catalog| catalog.limits())
    };
    loop {
        let next = match caller.next_request(limits, &state.memory).await {
            Ok(Some(start)) => receive_body(&state, &mut caller, start).await,
            Ok(None) => return,
            Err(request) => Err(request),
        };
        let _running = state.track_request();
        // During shutdown the connection is closed after the current response.
        caller.reusable &= !state.is_leaving();
        let is_usable = match next {
            // Boxed, as it is much larger than what an idle connection needs.
            Ok(Some(request)) => Box::pin(serve_request(&state, &mut caller, request)).await,
            Ok(None) => return,
            Err(request) => {
                refuse_bad_request(&state, &mut caller, request).await;
                true
            }
        };
        if !is_usable {
            return;
        }
        if !caller.reusable {
            return caller.close().await;
        }
        caller.permit.set_idle();
    }
}

/// Receives the rest of a request, unless its head is enough to refuse it.
async fn receive_body(
    state: &Arc<EdgeState>,
    caller: &mut CallerConnection,
    start: RequestStart,
) -> Result<Option<CallerRequest>, BadRequest> {
    if start.is_complete() {
        let arrived = start.arrived;
        return caller.finish_request(start, arrived, &state.memory).await;
    }
    while state.awaits_peers() {
        task::sleep(PEER_CHECK_PERIOD).await;
    }
    let checked = match state.accepts_requests() {
        true => check_head(state, &start.message),
        false => Err(leaving_refusal()),
    };
    let time_limit = match checked {
        Ok(time_limit) => time_limit,
        Err(refusal) => return Err(BadRequest::of(start.message, refusal)),
    };
    let deadline = start.arrived + time_limit;
    caller.finish_request(start, deadline, &state.memory).await
}

fn leaving_refusal() -> EdgeRefusal {
    EdgeRefusal::after(ErrorKind::HostLeaving, LEAVING_RETRY_DELAY)
}

/// Serves one request. Returns whether the connection is still in a defined state: it may
/// be reused or closed gracefully.
async fn serve_request(
    state: &Arc<EdgeState>,
    caller: &mut CallerConnection,
    request: CallerRequest,
) -> bool {
    let arrived = request.arrived;
    while state.awaits_peers() {
        task::sleep(PEER_CHECK_PERIOD).await;
    }
    let has_descriptor = caller.permit.set_running(max_caller_descriptors(state));
    let routed = match admit_request(state, request, has_descriptor) {
        Ok(routed) => routed,
        Err(refused) => {
            let report = RefusalReport {
                message: Some(&refused.message),
                refusal: refused.refusal,
                attempts: 0,
                arrived,
                pool: None,
                account: refused.account.as_ref(),
                tier: None,
                cost: refused.cost,
                expected_wait: None,
            };
            return refuse(state, caller, report).await;
        }
    };
    state.record_request(&routed.pool);
    let sink = ResponseSink::for_caller(caller);
    let mut execution = RequestExecution::new(state, sink, &routed);
    let outcome = execution.serve().await;
    let attempts = execution.attempts();
    let expected_wait = execution.expected_wait();
    if !matches!(outcome, ExecutionOutcome::Answered) {
        routed.record_end(execution.outcome());
    }
    match outcome {
        ExecutionOutcome::Answered => {
            caller.reusable &= !state.is_leaving();
            true
        }
        ExecutionOutcome::Refused(refusal) => {
            let report = RefusalReport {
                message: Some(&routed.request.message),
                refusal,
                attempts,
                arrived,
                pool: Some(&routed.pool),
                account: routed.account.as_ref().map(|account| &account.name),
                tier: Some(routed.priority.account),
                cost: None,
                expected_wait,
            };
            refuse(state, caller, report).await
        }
        ExecutionOutcome::Closed => {
            count(&state.metrics.callers_left);
            state.log.write(&DecisionLine::CallerLeft {
                request: routed.id.clone(),
                attempts,
                total_ms: routed.age().as_millis() as u64,
            });
            false
        }
    }
}

/// A request that was refused before it was dispatched.
struct AdmissionRefusal {
    message: RequestMessage,
    refusal: EdgeRefusal,
    account: Option<AccountName>,
    cost: Option<f64>,
}

/// Admits a request, or returns why it is refused.
fn admit_request(
    state: &Arc<EdgeState>,
    request: CallerRequest,
    has_descriptor: bool,
) -> Result<RoutedRequest, Box<AdmissionRefusal>> {
    let refuse = |message, refusal, account, cost| {
        Box::new(AdmissionRefusal {
            message,
            refusal,
            account,
            cost,
        })
    };
    if !state.accepts_requests() {
        return Err(refuse(request.message, leaving_refusal(), None, None));
    }
    if !has_descriptor {
        let refusal = EdgeRefusal::spread(ErrorKind::TooManyCallers, OTHER_HOST_DELAY);
        return Err(refuse(request.message, refusal, None, None));
    }
    let routed = route_request(state, request, RequestOrigin::Caller).map_err(|unrouted| {
        let UnroutedRequest { request, refusal } = *unrouted;
        refuse(request.message, refusal, None, None)
    })?;
    let account = routed.account.as_ref().map(|account| account.name.clone());
    if let Some(kind) = state.rejects_suspect(&routed) {
        let refusal = state.refusal_of_suspect(kind, &routed);
        return Err(refuse(routed.request.message, refusal, account, None));
    }
    match consume_quota(state, &routed) {
        Ok(()) => Ok(routed),
        Err((refusal, cost)) => {
            routed.record_end(RequestOutcome::NotRun);
            let message = routed.request.message;
            Err(refuse(message, refusal, account, Some(cost)))
        }
    }
}

/// A request that the host answers itself, as it is logged and counted.
struct RefusalReport<'r> {
    message: Option<&'r RequestMessage>,
    refusal: EdgeRefusal,
    attempts: u32,
    arrived: std::time::Duration,
    pool: Option<&'r str>,
    account: Option<&'r AccountName>,
    tier: Option<TierRank>,
    cost: Option<f64>,
    /// The estimated wait for a target, if the request was refused for it.
    expected_wait: Option<std::time::Duration>,
}

async fn refuse(
    state: &EdgeState,
    caller: &mut CallerConnection,
    report: RefusalReport<'_>,
) -> bool {
    let name = &state.header_names.request_id;
    let id = report
        .message
        .and_then(|message| message.headers.text(name));
    let refusal = report.refusal;
    let bytes = refusal_bytes(refusal, id.map(|id| (name.as_str(), id)), !caller.reusable);
    state.request_metrics.count_error(refusal.kind, report.tier);
    let waiting = report
        .pool
        .map_or(0, |pool| state.queue.lock_table().waiting(pool));
    state.log.write(&DecisionLine::RequestRefused {
        request: id.unwrap_or_default().to_owned(),
        account: report.account.cloned(),
        cost: report.cost,
        kind: refusal.kind,
        status: refusal.status(),
        retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
        attempts: report.attempts,
        total_ms: boot_now().saturating_sub(report.arrived).as_millis() as u64,
        catalog: state.view.held_versions().1,
        evidence_age_ms: state.evidence_age().map(|age| age.as_millis() as u64),
        waiting,
        expected_wait_ms: report.expected_wait.map(|wait| wait.as_millis() as u64),
    });
    write_bytes(&caller.stream, &bytes).await.is_ok()
}

async fn refuse_bad_request(state: &EdgeState, caller: &mut CallerConnection, request: BadRequest) {
    // The end of a malformed request is unknown, so no further request can be parsed.
    caller.reusable = false;
    let report = RefusalReport {
        message: request.message.as_ref(),
        refusal: request.refusal,
        attempts: 0,
        arrived: boot_now(),
        pool: None,
        account: None,
        tier: None,
        cost: None,
        expected_wait: None,
    };
    refuse(state, caller, report).await;
}
