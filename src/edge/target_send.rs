//! One send of a request to a target, and the way of its answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::future::or;

use super::caller_connection::CallerConnection;
use super::connection_pool::TargetConnection;
use super::crash_check::check_crash;
use super::request_execution::MIN_TIME_LEFT;
use super::request_execution::RequestExecution;
use super::response_relay::RelayLimits;
use super::response_relay::RelayOutcome;
use super::response_relay::collect_body;
use super::send_outcome::LossCause;
use super::send_outcome::SendOutcome;
use super::target_call::CallIdentity;
use super::target_call::TargetCall;
use crate::catalog::CallKind;
use crate::clock::boot_now;
use crate::dispatch::AttemptOutcome;
use crate::dispatch::SlotGuard;
use crate::logs::DecisionLine;
use crate::wire::AnswerMessage;

/// How long a stream that another target can go on with may be silent. Engines send
/// an event each 25 to 100 ms; callers give a stream up after two seconds.
const MAX_RESUMABLE_SILENCE: Duration = Duration::from_millis(1300);
/// How long an idempotent call is waited for before another target is asked, in
/// objectives: nine in ten answers take a fifth of their objective.
const REPEAT_AFTER_OBJECTIVES: u32 = 2;
/// How long the rest of a target's refusal is waited for, to keep the connection.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

impl RequestExecution<'_> {
    pub(super) async fn send(
        &mut self,
        mut slot: SlotGuard,
        link: TargetConnection,
    ) -> SendOutcome {
        let bytes = self.request_bytes(&slot);
        let called = self.call(link, &bytes, &mut slot).await;
        let mut call = match called {
            Ok(call) => call,
            Err(end) => {
                slot.finish(end.attempt_outcome());
                return end;
            }
        };
        if self.is_not_run(&call.head) {
            let cause = format!("not run, status {}", call.head.status);
            self.discard(call, &slot).await;
            slot.finish(AttemptOutcome::Rejected);
            return SendOutcome::NotRun(cause);
        }
        let status = call.head.status;
        let end = match self.routed.kind.is_stream() && status == 200 {
            true => self.relay_stream(&mut call, &mut slot).await,
            false => match self.collect(call, &mut slot).await {
                Ok((whole, body)) => {
                    call = whole;
                    self.deliver_collected(&call.head, body).await
                }
                Err(end) => {
                    slot.finish(end.attempt_outcome());
                    return end;
                }
            },
        };
        if let Some((link, head)) = call.into_reusable() {
            self.state.connections.put(&slot.target().name, link, &head);
        }
        slot.finish(end.attempt_outcome());
        end
    }

    /// Writes the request and reads the answer's head.
    async fn call(
        &mut self,
        link: TargetConnection,
        bytes: &[u8],
        slot: &mut SlotGuard,
    ) -> Result<TargetCall, SendOutcome> {
        let routed = self.routed;
        let identity = CallIdentity {
            header: &self.state.header_names.request_id,
            request: &routed.id,
            method: &routed.request.message.method,
        };
        let limit = self.head_timeout_for();
        let sent = async {
            match timeout(limit, TargetCall::send(link, bytes, identity)).await {
                Ok(Ok(call)) => Ok(call),
                Ok(Err(error)) => Err(SendOutcome::Lost(error.into())),
                Err(_) if boot_now() + MIN_TIME_LEFT >= routed.deadline => {
                    Err(SendOutcome::TimeOver)
                }
                Err(_) => Err(SendOutcome::Lost(LossCause::Silent)),
            }
        };
        let called = cancel_on_disconnect(self.caller, routed.kind, sent).await;
        if let Err(SendOutcome::Lost(cause)) = &called
            && *cause != LossCause::Silent
        {
            let state = Arc::clone(self.state);
            task::spawn(check_crash(
                state,
                slot.target().clone(),
                routed.fingerprint,
                routed.id.clone(),
            ));
        }
        if let Ok(call) = &called {
            self.record_limit(&call.head, slot);
            if !routed.kind.is_stream() {
                slot.record_event();
            }
        }
        called
    }

    /// Notes the limit that an answer names. Only a success without one says that there is
    /// none: a failure may come from something before the target's own code.
    fn record_limit(&self, head: &AnswerMessage, slot: &SlotGuard) {
        let named = head.headers.text(&self.state.header_names.request_limit);
        let per_second = named.and_then(|text| text.trim().parse().ok());
        let per_second = per_second.filter(|limit: &f64| limit.is_finite() && *limit >= 0.0);
        let says_none = named.is_none() && (200..300).contains(&head.status);
        if (per_second.is_some() || says_none) && slot.record_limit(per_second) {
            self.state.log.write(&DecisionLine::TargetLimited {
                target: slot.target().name.clone(),
                per_second,
                peer: None,
            });
        }
    }

    /// Returns how long the answer's head is waited for.
    fn head_timeout_for(&self) -> Duration {
        let routed = self.routed;
        let left = routed.deadline.saturating_sub(boot_now());
        let again = self.sends < routed.max_attempts;
        match routed.kind {
            CallKind::Idempotent if again => left.min(routed.objective * REPEAT_AFTER_OBJECTIVES),
            CallKind::ResumableStream if again => left.min(MAX_RESUMABLE_SILENCE),
            _ => left,
        }
    }

    async fn relay_stream(&mut self, call: &mut TargetCall, slot: &mut SlotGuard) -> SendOutcome {
        let again = self.sends < self.routed.max_attempts;
        let bounds = RelayLimits {
            deadline: self.routed.deadline,
            silence: match self.routed.kind {
                CallKind::ResumableStream if again => Some(MAX_RESUMABLE_SILENCE),
                _ => None,
            },
        };
        let request = &self.routed.request.message;
        let mut placement = self.placement();
        placement.tried.push(slot.target().name.clone());
        let state = self.state;
        let can_resume = || {
            let table = state.queue.lock_table();
            table.has_room_for(&placement, boot_now()) && state.can_retry(&placement.pool)
        };
        let caller = &mut *self.caller;
        let relayed = self
            .progress
            .relay(caller, request, call, slot, bounds, can_resume);
        match relayed.await {
            RelayOutcome::Whole => SendOutcome::Done { status: 200 },
            RelayOutcome::CallerGone => SendOutcome::CallerGone,
            RelayOutcome::TimeOver => SendOutcome::TimeOver,
            RelayOutcome::TargetLost(cause) => SendOutcome::Lost(cause),
        }
    }

    /// Reads the whole body.
    async fn collect(
        &mut self,
        mut call: TargetCall,
        slot: &mut SlotGuard,
    ) -> Result<(TargetCall, Vec<u8>), SendOutcome> {
        let left = self.routed.deadline.saturating_sub(boot_now());
        let collected = async {
            match timeout(left, collect_body(&mut call)).await {
                Ok(Ok(body)) => Ok(body),
                Ok(Err(error)) => Err(SendOutcome::Lost(error.into())),
                Err(_) => Err(SendOutcome::TimeOver),
            }
        };
        let body = cancel_on_disconnect(self.caller, self.routed.kind, collected).await?;
        slot.record_event();
        Ok((call, body))
    }

    /// Passes a whole answer on, or keeps a failure that another target may mend.
    async fn deliver_collected(&mut self, head: &AnswerMessage, body: Vec<u8>) -> SendOutcome {
        // 429, 503, 408 and 421 tell the caller that nothing ran. A target that
        // doesn't say so may have run it.
        if matches!(head.status, 408 | 421 | 429 | 503) {
            return SendOutcome::Lost(LossCause::Unproven(head.status));
        }
        if self.progress.began {
            // The rest of a stream can't be a failure with a status.
            return SendOutcome::Lost(LossCause::NotTheRest(head.status));
        }
        if head.status >= 500 {
            return SendOutcome::Failure {
                head: head.clone(),
                body,
            };
        }
        self.write_response(head, &body).await
    }

    /// Tells whether the target says that it did not run the request.
    fn is_not_run(&self, head: &AnswerMessage) -> bool {
        head.status == 421 || head.headers.contains(&self.state.header_names.not_run)
    }

    /// Reads a refusal to its end, so that the connection can be kept.
    async fn discard(&self, mut call: TargetCall, slot: &SlotGuard) {
        let collected = timeout(DISCARD_TIMEOUT, collect_body(&mut call)).await;
        if matches!(collected, Ok(Ok(_)))
            && let Some((link, head)) = call.into_reusable()
        {
            self.state.connections.put(&slot.target().name, link, &head);
        }
    }

    /// Returns the request as this target gets it.
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
        let mut bytes = Vec::with_capacity(body.len() + 1024);
        message.write_to(body.len(), &mut bytes);
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Goes on with `work` until the caller leaves. What may run once may run by now, and is
/// left alone if its caller leaves.
async fn cancel_on_disconnect<T>(
    caller: &mut CallerConnection,
    kind: CallKind,
    work: impl Future<Output = Result<T, SendOutcome>>,
) -> Result<T, SendOutcome> {
    if kind == CallKind::NonIdempotent {
        return work.await;
    }
    let gone = async {
        caller.disconnected().await;
        Err(SendOutcome::CallerGone)
    };
    or(work, gone).await
}
