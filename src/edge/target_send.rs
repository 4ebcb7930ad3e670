//! One attempt to send a request to a target and forward its response to the caller.

use std::time::Duration;

use async_std::future::timeout;
use futures_lite::future::or;

use super::connection_pool::TargetConnection;
use super::crash_check::is_alive;
use super::edge_metrics::count;
use super::request_execution::MIN_TIME_LEFT;
use super::request_execution::RequestExecution;
use super::response_relay::BufferedResponse;
use super::response_relay::RelayChecks;
use super::response_relay::RelayLimits;
use super::response_relay::RelayOutcome;
use super::response_relay::SilenceLimit;
use super::response_relay::collect_body;
use super::response_sink::ResponseSink;
use super::response_source::ResponseSource;
use super::route_filter::RoutedRequest;
use super::send_outcome::LossCause;
use super::send_outcome::SendOutcome;
use super::target_call::CallIdentity;
use super::target_call::TargetCall;
use crate::catalog::CallKind;
use crate::clock::boot_now;
use crate::dispatch::AttemptOutcome;
use crate::dispatch::SlotGuard;
use crate::logs::DecisionLine;
use crate::wire::ResponseMessage;

/// Size up to which a body is copied behind the head, in bytes, so that one write sends both.
const MAX_COPIED_BYTES: usize = 16 << 10;
/// Longest pause of a stream that another target can resume. Engines send an event
/// every 25 to 100 ms; callers give up on a stream after two seconds. A sound target may be silent
/// for a second and more.
const RESUMABLE_SILENCE: SilenceLimit = SilenceLimit {
    connection: Duration::from_millis(1300),
    target: Duration::from_millis(1800),
};
/// Least time after which an idempotent request is retried at another target. Hosts and targets with a
/// part of a core may get no processor time for as long.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time limit for writing the end of a response whose body was written.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for reading the rest of a target's refusal in order to reuse the
/// connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

impl RequestExecution<'_> {
    pub(super) async fn send(
        &mut self,
        mut slot: SlotGuard,
        connection: TargetConnection,
    ) -> SendOutcome {
        let bytes = self.request_bytes(&slot);
        let sent = self.call(connection, &bytes, &mut slot).await;
        let call = match sent {
            Ok(call) => call,
            Err(outcome) => {
                slot.finish(outcome.attempt_outcome());
                return outcome;
            }
        };
        if self.is_not_run(&call.head) {
            let cause = format!("not run, status {}", call.head.status);
            self.discard_body(call, &slot).await;
            slot.finish(AttemptOutcome::Rejected);
            count(&self.state.metrics.rejected_sends);
            if self.state.queue.lock_table().is_brittle(&self.routed.pool) {
                // Each host would otherwise be rejected there before it learns that there is no
                // room.
                self.state.gossip_now();
            }
            return SendOutcome::NotRun(cause);
        }
        let status = call.head.status;
        self.caller.set_responder(slot.target());
        let mut source = ResponseSource::Target(call);
        let outcome = match self.routed.has_events(status) {
            true => self.relay_stream(&mut source, &mut slot).await,
            false => match self.collect(&mut source, &mut slot).await {
                Ok(response) => self.deliver_buffered(response).await,
                Err(outcome) => outcome,
            },
        };
        if let ResponseSource::Target(call) = source
            && let Some((connection, head)) = call.into_reusable()
        {
            self.state
                .connections
                .put(&slot.target().incarnation(), connection, &head);
        }
        slot.finish(outcome.attempt_outcome());
        outcome
    }

    /// Writes the request and reads the head of the response.
    async fn call(
        &mut self,
        connection: TargetConnection,
        bytes: &[u8],
        slot: &mut SlotGuard,
    ) -> Result<TargetCall, SendOutcome> {
        let routed = self.routed;
        let identity = CallIdentity {
            header: &self.state.header_names.request_id,
            request: &routed.id,
            method: &routed.request.message.method,
        };
        let limit = self.head_limit();
        let left = routed.deadline.saturating_sub(boot_now());
        let sent_at = boot_now();
        let table = || self.state.queue.lock_table();
        let placed = slot.target().clone();
        let body = separate_body(routed);
        let answered = async {
            let sent = TargetCall::send(connection, bytes, body, identity).await;
            sent.map_err(|error| SendOutcome::Lost(error.into()))
        };
        let expired = async {
            let silent = limit.exceeded(|| table().is_silent(&placed, boot_now()));
            timeout(left, silent).await.ok();
            if boot_now() + MIN_TIME_LEFT >= routed.deadline {
                return Err(SendOutcome::DeadlineExceeded);
            }
            if routed.kind == CallKind::Idempotent {
                table().record_silence(&routed.pool, boot_now().saturating_sub(sent_at));
            }
            Err(SendOutcome::Lost(LossCause::Unresponsive))
        };
        let exchange = or(answered, expired);
        let sent = cancel_on_disconnect(&mut self.caller, routed.kind, exchange).await;
        if let Ok(call) = &sent {
            self.framing = Some(call.framing);
            self.record_limits(&call.head, slot);
            self.record_notices(&call.head, slot);
            if !routed.kind.is_stream() {
                slot.record_event();
            }
        }
        sent
    }

    /// Records the limits that a response declares: on requests to the target, and on rejections
    /// by the targets of its pool.
    fn record_limits(&self, head: &ResponseMessage, slot: &SlotGuard) {
        let header_names = &self.state.header_names;
        if let Some(per_second) = stated_limit(head, &header_names.brittle)
            && slot.record_brittle(per_second)
        {
            self.state.log.write(&DecisionLine::PoolBrittle {
                pool: self.routed.pool.clone(),
                per_second,
                peer: None,
            });
        }
        if let Some(per_second) = stated_limit(head, &header_names.request_limit)
            && slot.record_limit(per_second)
        {
            self.state.log.write(&DecisionLine::TargetLimited {
                target: slot.target().name.clone(),
                per_second,
                peer: None,
            });
        }
    }

    /// Returns the limits on the target's silence before the head of the response. They may be
    /// later than the deadline.
    fn head_limit(&self) -> SilenceLimit {
        let routed = self.routed;
        let has_attempts_left = self.attempts < routed.max_attempts;
        let limit = match routed.kind {
            CallKind::Idempotent if has_attempts_left => self.answer_limit(),
            CallKind::ResumableStream if has_attempts_left => return RESUMABLE_SILENCE,
            _ => routed.deadline.saturating_sub(boot_now()),
        };
        SilenceLimit {
            connection: limit,
            target: limit,
        }
    }

    /// Returns how long an idempotent request waits for the answer of one target: as long as nearly
    /// all answers of the pool take, or half of the time left before the first one is known.
    fn answer_limit(&self) -> Duration {
        let left = self.routed.deadline.saturating_sub(boot_now());
        let table = self.state.queue.lock_table();
        let bound = table.answer_time_bound(&self.routed.pool);
        bound.map_or(left / 2, |bound| bound.max(MIN_ANSWER_TIME))
    }

    async fn relay_stream(
        &mut self,
        source: &mut ResponseSource,
        slot: &mut SlotGuard,
    ) -> SendOutcome {
        let has_attempts_left = self.attempts < self.routed.max_attempts;
        let limits = RelayLimits {
            deadline: self.routed.deadline,
            max_pause: match self.routed.kind {
                CallKind::ResumableStream if has_attempts_left => Some(RESUMABLE_SILENCE),
                _ => None,
            },
        };
        let placed = slot.target().clone();
        let request = &self.routed.request.message;
        let mut placement = self.placement();
        placement.tried.push(slot.target().name.clone());
        placement.version = Some(placed.software_version.clone());
        let state = self.state;
        let routed = self.routed;
        let can_resume = || {
            let table = state.queue.lock_table();
            table.has_room_for(&placement, boot_now()) && state.can_retry(&placement.pool)
        };
        let relayed = self.progress.relay(
            &mut self.caller,
            request,
            source,
            Some(slot),
            limits,
            RelayChecks {
                begin: || state.record_stream(routed, &placed.software_version),
                can_resume,
                is_silent: || state.queue.lock_table().is_silent(&placed, boot_now()),
            },
        );
        let relayed = relayed.await;
        self.keep_version(&placed.software_version);
        match relayed {
            RelayOutcome::Complete => SendOutcome::Delivered { status: 200 },
            RelayOutcome::Closed => self.end_stream(source, slot).await,
            RelayOutcome::CallerDisconnected => SendOutcome::CallerDisconnected,
            RelayOutcome::DeadlineExceeded => SendOutcome::DeadlineExceeded,
            RelayOutcome::TargetLost(cause) => SendOutcome::Lost(cause),
        }
    }

    /// Ends a stream whose target closed the connection between two events.
    ///
    /// A target that crashes there closes its connections too, so the end is held back until the
    /// target was found alive.
    async fn end_stream(&mut self, source: &ResponseSource, slot: &mut SlotGuard) -> SendOutcome {
        slot.release(AttemptOutcome::Succeeded);
        if !is_alive(self.state, slot.target()).await || source.was_reset() {
            return SendOutcome::Lost(LossCause::UnverifiedEnd);
        }
        let written = timeout(END_TIMEOUT, self.caller.write_events(None, &[], true));
        match written.await {
            Ok(Ok(())) => SendOutcome::Delivered { status: 200 },
            Ok(Err(_)) | Err(_) => SendOutcome::CallerDisconnected,
        }
    }

    /// Reads the complete body.
    async fn collect(
        &mut self,
        source: &mut ResponseSource,
        slot: &mut SlotGuard,
    ) -> Result<BufferedResponse, SendOutcome> {
        let left = self.routed.deadline.saturating_sub(boot_now());
        let memory = &self.state.memory;
        let collected = async {
            match timeout(left, collect_body(source, memory)).await {
                Ok(Ok(collected)) => Ok(collected),
                Ok(Err(error)) => Err(SendOutcome::Lost(error.into())),
                Err(_) => Err(SendOutcome::DeadlineExceeded),
            }
        };
        let collected = cancel_on_disconnect(&mut self.caller, self.routed.kind, collected).await?;
        let (body, permit) = collected;
        slot.record_event();
        if source.leaves_end_open() {
            slot.release(match source.head().status {
                500.. => AttemptOutcome::Failed,
                _ => AttemptOutcome::Succeeded,
            });
            if !is_alive(self.state, slot.target()).await || source.was_reset() {
                return Err(SendOutcome::Lost(LossCause::UnverifiedEnd));
            }
        }
        Ok(BufferedResponse {
            head: source.head().clone(),
            body,
            declared: source.declared(),
            _permit: permit,
        })
    }

    /// Delivers a buffered response, or keeps an error response because another target
    /// may succeed.
    pub(super) async fn deliver_buffered(&mut self, response: BufferedResponse) -> SendOutcome {
        let status = response.head.status;
        // Statuses 429, 503, 408 and 421 tell the caller that nothing ran. Without the
        // target's confirmation it may have run the request.
        if matches!(status, 408 | 421 | 429 | 503) {
            return SendOutcome::Lost(LossCause::UnconfirmedStatus(status));
        }
        if self.progress.has_started {
            // A stream can't be continued with an error response.
            return SendOutcome::Lost(LossCause::NotResumed(status));
        }
        match status {
            500.. => SendOutcome::TargetFailure(response),
            _ => self.write_response(&response).await,
        }
    }

    /// Returns whether the target confirms that it did not run the request.
    fn is_not_run(&self, head: &ResponseMessage) -> bool {
        head.status == 421 || head.headers.contains(&self.state.header_names.not_run)
    }

    /// Reads the rest of a refusal so that the connection can be reused.
    async fn discard_body(&self, call: TargetCall, slot: &SlotGuard) {
        let mut source = ResponseSource::Target(call);
        let memory = &self.state.memory;
        let collected = timeout(DISCARD_TIMEOUT, collect_body(&mut source, memory)).await;
        if matches!(collected, Ok(Ok(_)))
            && let ResponseSource::Target(call) = source
            && let Some((connection, head)) = call.into_reusable()
        {
            self.state
                .connections
                .put(&slot.target().incarnation(), connection, &head);
        }
    }

    /// Returns the request as it is sent to this target, without a body that is sent separately.
    fn request_bytes(&self, slot: &SlotGuard) -> Vec<u8> {
        let routed = self.routed;
        let header_names = &self.state.header_names;
        let mut message = routed.request.message.clone();
        let left = routed.deadline.saturating_sub(boot_now());
        let headers = &mut message.headers;
        headers.push(&header_names.deadline_ms, left.as_millis().to_string());
        headers.push(&header_names.target, &slot.target().name);
        if let Some(last) = self.progress.last_id() {
            headers.retain(|name| !name.eq_ignore_ascii_case(&header_names.resume_after));
            headers.push(&header_names.resume_after, last);
        }
        let body = &routed.request.body;
        let mut bytes = Vec::with_capacity(1024);
        message.write_to(body.len(), &mut bytes);
        if separate_body(routed).is_empty() {
            bytes.extend_from_slice(body);
        }
        bytes
    }
}

/// Returns the body if it is sent behind the head, without another copy of it in memory.
fn separate_body(routed: &RoutedRequest) -> &[u8] {
    match routed.request.body.len() > MAX_COPIED_BYTES {
        true => &routed.request.body,
        false => &[],
    }
}

/// Returns the limit that a response states in a header, `Some(None)` where it shows that there is
/// none. Only a successful response does: an error may come from an intermediary in front of the
/// target.
fn stated_limit(head: &ResponseMessage, header: &str) -> Option<Option<f64>> {
    let Some(text) = head.headers.text(header) else {
        return (200..300).contains(&head.status).then_some(None);
    };
    let limit: f64 = text.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(Some(limit))
}

/// Runs `operation` until the caller disconnects. A non-idempotent request may already be
/// running at the target, so it is left to finish.
pub(super) async fn cancel_on_disconnect<T>(
    caller: &mut ResponseSink<'_>,
    kind: CallKind,
    operation: impl Future<Output = Result<T, SendOutcome>>,
) -> Result<T, SendOutcome> {
    if kind == CallKind::NonIdempotent {
        return operation.await;
    }
    let disconnected = async {
        caller.disconnected().await;
        Err(SendOutcome::CallerDisconnected)
    };
    or(operation, disconnected).await
}
