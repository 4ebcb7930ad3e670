//! Serves the requests of one caller's connection, in turn.

use std::sync::Arc;

use async_std::net::TcpStream;

use super::caller_connection::BadRequest;
use super::caller_connection::CallerConnection;
use super::caller_connection::CallerRequest;
use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::quota_filter::consume_quota;
use super::request_execution::ExecutionOutcome;
use super::request_execution::RequestExecution;
use super::response_writer::refusal_bytes;
use super::response_writer::write_bytes;
use super::route_filter::RoutedRequest;
use super::route_filter::UnroutedRequest;
use super::route_filter::route_request;
use super::shutdown_controller::LEAVING_RETRY_DELAY;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::AccountName;
use crate::ids::TierRank;
use crate::logs::DecisionLine;
use crate::wire::RequestMessage;

/// Serves a connection to its end.
pub(crate) async fn serve_caller(state: Arc<EdgeState>, stream: TcpStream) {
    let mut caller = CallerConnection::new(stream);
    loop {
        let limits = state.view.catalog().map(|catalog| catalog.limits());
        let next = caller.next_request(limits.unwrap_or_default()).await;
        let _running = state.track_request();
        // From the signal to leave on each answer is its connection's last.
        caller.reusable &= !state.is_leaving();
        let goes_on = match next {
            Ok(Some(request)) => serve_request(&state, &mut caller, request).await,
            Ok(None) => return,
            Err(bad) => {
                refuse_bad(&state, &mut caller, bad).await;
                true
            }
        };
        if !goes_on {
            return;
        }
        if !caller.reusable {
            return caller.close().await;
        }
    }
}

/// Serves one request; returns whether the connection may go on or end in peace.
async fn serve_request(
    state: &Arc<EdgeState>,
    caller: &mut CallerConnection,
    request: CallerRequest,
) -> bool {
    let arrived = request.arrived;
    let routed = match admit_request(state, request) {
        Ok(routed) => routed,
        Err(entry) => {
            let told = RefusalReport {
                message: Some(&entry.message),
                refusal: entry.refusal,
                sends: 0,
                arrived,
                pool: None,
                account: entry.account.as_ref(),
                tier: None,
                cost: entry.cost,
            };
            return refuse(state, caller, told).await;
        }
    };
    state.note_request(&routed.pool);
    let mut run = RequestExecution::new(state, caller, &routed);
    let end = run.serve().await;
    let sends = run.sends();
    if !matches!(end, ExecutionOutcome::Answered) {
        routed.record_end(run.outcome());
    }
    match end {
        ExecutionOutcome::Answered => {
            caller.reusable &= !state.is_leaving();
            true
        }
        ExecutionOutcome::Refused(refusal) => {
            let told = RefusalReport {
                message: Some(&routed.request.message),
                refusal,
                sends,
                arrived,
                pool: Some(&routed.pool),
                account: routed.account.as_ref().map(|account| &account.name),
                tier: Some(routed.priority.account),
                cost: None,
            };
            refuse(state, caller, told).await
        }
        ExecutionOutcome::Closed => {
            count(&state.metrics.callers_left);
            state.log.write(&DecisionLine::CallerLeft {
                request: routed.id.clone(),
                attempts: sends,
                total_ms: routed.age().as_millis() as u64,
            });
            false
        }
    }
}

/// A request that is not admitted.
struct AdmissionRefusal {
    message: RequestMessage,
    refusal: EdgeRefusal,
    account: Option<AccountName>,
    cost: Option<f64>,
}

/// Lets a request in, or says why not.
fn admit_request(
    state: &Arc<EdgeState>,
    request: CallerRequest,
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
        let refusal = EdgeRefusal::after(ErrorKind::HostLeaving, LEAVING_RETRY_DELAY);
        return Err(refuse(request.message, refusal, None, None));
    }
    let routed = route_request(state, request).map_err(|unrouted| {
        let UnroutedRequest { request, refusal } = *unrouted;
        refuse(request.message, refusal, None, None)
    })?;
    let account = routed.account.as_ref().map(|account| account.name.clone());
    if state.poison.table().is_refused(routed.fingerprint) {
        let refusal = ErrorKind::SuspectRequest.into();
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

/// A request that the host answers itself.
struct RefusalReport<'r> {
    message: Option<&'r RequestMessage>,
    refusal: EdgeRefusal,
    sends: u32,
    arrived: std::time::Duration,
    pool: Option<&'r str>,
    account: Option<&'r AccountName>,
    tier: Option<TierRank>,
    cost: Option<f64>,
}

async fn refuse(state: &EdgeState, caller: &mut CallerConnection, told: RefusalReport<'_>) -> bool {
    let name = &state.header_names.request_id;
    let id = told.message.and_then(|message| message.headers.text(name));
    let refusal = told.refusal;
    let bytes = refusal_bytes(refusal, id.map(|id| (name.as_str(), id)), !caller.reusable);
    state.request_metrics.count_error(refusal.kind, told.tier);
    let waiting = told
        .pool
        .map_or(0, |pool| state.queue.lock_table().waiting(pool));
    state.log.write(&DecisionLine::RequestRefused {
        request: id.unwrap_or_default().to_owned(),
        account: told.account.cloned(),
        cost: told.cost,
        kind: refusal.kind,
        status: refusal.status(),
        retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
        attempts: told.sends,
        total_ms: boot_now().saturating_sub(told.arrived).as_millis() as u64,
        catalog: state.view.held_versions().1,
        evidence_age_ms: state.evidence_age().map(|age| age.as_millis() as u64),
        waiting,
    });
    write_bytes(&caller.stream, &bytes).await.is_ok()
}

async fn refuse_bad(state: &EdgeState, caller: &mut CallerConnection, bad: BadRequest) {
    // What follows can't be told from the rest of this request.
    caller.reusable = false;
    let told = RefusalReport {
        message: bad.message.as_ref(),
        refusal: bad.kind.into(),
        sends: 0,
        arrived: boot_now(),
        pool: None,
        account: None,
        tier: None,
        cost: None,
    };
    refuse(state, caller, told).await;
}
