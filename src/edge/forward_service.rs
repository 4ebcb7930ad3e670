//! Serves the requests that peers without a path to targets, or without room, forward.

use std::sync::Arc;
use std::time::Duration;

use super::caller_connection::CallerRequest;
use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::request_execution::ExecutionOutcome;
use super::request_execution::RequestExecution;
use super::response_sink::ResponseSink;
use super::route_filter::RequestOrigin;
use super::route_filter::RoutedRequest;
use super::route_filter::route_request;
use super::shutdown_controller::LEAVING_RETRY_DELAY;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::ids::HostName;
use crate::logs::DecisionLine;
use crate::peers::ForwardedRequest;
use crate::peers::PeerReply;
use crate::peers::ReplySender;
use crate::wire::MessageHeaders;
use crate::wire::RequestMessage;

/// Delay after which a request may be forwarded again to a host at its limit.
const LIMIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Serves a request that the peer `from` forwarded, as one of this host's own callers. The peer
/// has charged it to the quota of its account.
pub(crate) async fn serve_forwarded(
    state: &Arc<EdgeState>,
    from: HostName,
    request: ForwardedRequest,
    replies: ReplySender,
) {
    let _running = state.track_request();
    count(&state.metrics.served_for_peers);
    let attempts = request.attempts;
    let tried = request.tried.clone();
    let version = request.version.clone();
    let cause = request.cause;
    let Some(_permit) = state.forwarded.take(&from, request.body.len()) else {
        let refusal = EdgeRefusal::after(ErrorKind::Overloaded, LIMIT_RETRY_DELAY);
        return refuse(refusal, replies).await;
    };
    let routed = match admit_forwarded(state, request) {
        Ok(routed) => routed,
        Err(refusal) => return refuse(refusal, replies).await,
    };
    state.log.write(&DecisionLine::ForwardAccepted {
        request: routed.id.clone(),
        peer: from,
        pool: routed.pool.clone(),
        cause,
        age_ms: routed.age().as_millis() as u64,
    });
    let sink = ResponseSink::for_peer(replies);
    let mut execution = RequestExecution::resume(state, sink, &routed, attempts, tried, version);
    let outcome = execution.serve().await;
    let refusal = match outcome {
        ExecutionOutcome::Answered => return,
        ExecutionOutcome::Refused(refusal) => refusal,
        // A reset would discard the parts of the response that the peer has not read yet.
        ExecutionOutcome::Closed => ErrorKind::TargetLost.into(),
    };
    if let Some(replies) = execution.into_replies() {
        refuse(refusal, replies).await;
    }
}

fn admit_forwarded(
    state: &Arc<EdgeState>,
    forwarded: ForwardedRequest,
) -> Result<RoutedRequest, EdgeRefusal> {
    if !state.accepts_requests() {
        let refusal = EdgeRefusal::after(ErrorKind::HostLeaving, LEAVING_RETRY_DELAY);
        return Err(refusal);
    }
    // An older catalog may allow what the calling host's no longer does.
    if state.view.held_versions().1 < forwarded.catalog {
        return Err(ErrorKind::NotReady.into());
    }
    let age = Duration::from_millis(forwarded.age_ms);
    let request = CallerRequest {
        message: RequestMessage {
            method: forwarded.method,
            target: forwarded.target,
            is_http10: false,
            headers: MessageHeaders::from_lines(forwarded.headers),
        },
        body: forwarded.body,
        arrived: boot_now().saturating_sub(age),
        // Counted by the table of forwarded requests.
        _permit: state.memory.empty_permit(),
    };
    let origin = RequestOrigin::Peer {
        pool: forwarded.pool,
        cause: forwarded.cause,
    };
    let routed = route_request(state, request, origin).map_err(|unrouted| unrouted.refusal)?;
    match state.suspicion(&routed) {
        Some(kind) => Err(state.refusal_of_suspect(kind, &routed)),
        None => Ok(routed),
    }
}

async fn refuse(refusal: EdgeRefusal, replies: ReplySender) {
    let reply = PeerReply::Refused {
        kind: refusal.kind,
        retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
    };
    // A failed send means that the peer is gone, and its caller with it.
    replies.finish(reply).await.ok();
}
