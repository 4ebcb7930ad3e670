//! Serves one routed request: waits for a target, sends, and sends once more where
//! that is allowed.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::or;

use super::caller_connection::CallerConnection;
use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::response_relay::StreamProgress;
use super::response_relay::write_collected;
use super::route_filter::RoutedRequest;
use super::send_outcome::SendOutcome;
use crate::catalog::CallKind;
use crate::clock::boot_now;
use crate::dispatch::AttemptOutcome;
use crate::dispatch::PlacementRequest;
use crate::dispatch::SlotGuard;
use crate::dispatch::WaitOutcome;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::TargetName;
use crate::wire::AnswerMessage;

/// How many targets that can't be reached are passed over for one request.
const MAX_UNREACHABLE: usize = 4;
/// What is left at least of a request's time when it is given to a target: less
/// than the shortest answer takes, and it would only be thrown away there.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(30);
/// The share of a caller's patience that its request may wait for a target; the rest
/// is for the first event.
const QUEUE_WAIT_RATIO: f64 = 0.75;
/// The part of the time left that a request may wait that can't be in time any more. It starts
/// only where there is room that nobody else needs, and its caller has waited long already.
const LATE_QUEUE_WAIT_RATIO: f64 = 0.25;
/// How long the rest of a stream may wait for a target at least: callers leave a stream
/// that pauses for two seconds.
const RESUME_WAIT: Duration = Duration::from_millis(1500);
/// When a caller may come back whose stream found no room, as a part of the time that it has
/// left. Its answer will be late in any case, so it comes when the burst is over rather than
/// into it; behind a third of their time callers come back whatever they are told.
const STREAM_RETRY_RATIO: f64 = 0.33;
/// The same for a call, which can still be in time.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// By how much delays differ, as a share, so that callers don't come back together.
const STREAM_RETRY_JITTER: f64 = 0.25;
const CALL_RETRY_JITTER: f64 = 0.6;

/// How one request ended, for the connection that it came on.
#[derive(Debug)]
pub(crate) enum ExecutionOutcome {
    /// An answer went out whole; the connection may go on.
    Answered,
    /// The caller is to get an answer of the host's own.
    Refused(EdgeRefusal),
    /// The connection must be closed: the caller left, or its answer was cut.
    Closed,
}

/// One request on its way.
pub(crate) struct RequestExecution<'a> {
    pub(super) state: &'a Arc<EdgeState>,
    pub(super) caller: &'a mut CallerConnection,
    pub(super) routed: &'a RoutedRequest,
    pub(super) progress: StreamProgress,
    pub(super) sends: u32,
    tried: Vec<TargetName>,
    /// Whether a target may have run it.
    may_have_run: bool,
    /// The last failure of a target, to be passed on when nothing better comes.
    failure: Option<(AnswerMessage, Vec<u8>)>,
}

impl<'a> RequestExecution<'a> {
    /// Makes a run of a request that was not sent yet.
    pub(crate) fn new(
        state: &'a Arc<EdgeState>,
        caller: &'a mut CallerConnection,
        routed: &'a RoutedRequest,
    ) -> Self {
        Self {
            state,
            caller,
            routed,
            progress: StreamProgress::new(routed.request.arrived, Arc::clone(&routed.series)),
            sends: 0,
            tried: Vec::new(),
            may_have_run: false,
            failure: None,
        }
    }

    /// Returns how often it was sent.
    pub(crate) const fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns what is known of a request that got no answer of a target.
    pub(crate) const fn outcome(&self) -> RequestOutcome {
        match self.may_have_run {
            true => RequestOutcome::Unknown,
            false => RequestOutcome::NotRun,
        }
    }

    /// Serves the request.
    pub(crate) async fn serve(&mut self) -> ExecutionOutcome {
        let mut unreachable = 0;
        loop {
            let slot = match self.wait_for_slot().await {
                Ok(slot) => slot,
                Err(end) => return end,
            };
            let Some(link) = self.open_link(&slot).await else {
                let target = slot.target().name.clone();
                self.report_failure(&target, "unreachable", true);
                self.tried.push(target);
                slot.finish(AttemptOutcome::Unreachable);
                unreachable += 1;
                if unreachable >= MAX_UNREACHABLE {
                    return self.give_up(ErrorKind::TargetUnreachable).await;
                }
                continue;
            };
            if let Some(end) = self.send_once(slot, link).await {
                return end;
            }
        }
    }

    /// Waits until a target has room, or says how the request ends.
    async fn wait_for_slot(&mut self) -> Result<SlotGuard, ExecutionOutcome> {
        let routed = self.routed;
        let now = boot_now();
        let left = routed.deadline.saturating_sub(now);
        if left <= MIN_TIME_LEFT {
            return Err(self.give_up(ErrorKind::DeadlinePassed).await);
        }
        let placement = self.placement();
        let patience = self.max_queue_wait(left);
        let queue = &self.state.queue;
        let caller = &mut *self.caller;
        let wait = async { Some(queue.wait_for_target(placement, patience).await) };
        let gone = async {
            caller.disconnected().await;
            None
        };
        match or(wait, gone).await {
            None => Err(ExecutionOutcome::Closed),
            Some(WaitOutcome::Placed(slot)) => Ok(slot),
            Some(WaitOutcome::Overloaded) => Err(self.give_up(ErrorKind::Overloaded).await),
            Some(WaitOutcome::NoTarget) => Err(self.give_up(ErrorKind::NoTarget).await),
            Some(WaitOutcome::TimedOut) => Err(self.give_up(ErrorKind::Overloaded).await),
        }
    }

    /// Returns what the request asks of the targets.
    pub(super) fn placement(&self) -> PlacementRequest {
        let routed = self.routed;
        PlacementRequest {
            pool: routed.pool.clone(),
            priority: routed.priority,
            objective_at: match self.progress.began {
                true => boot_now() + RESUME_WAIT,
                false => (routed.request.arrived + routed.objective).saturating_sub(routed.waited),
            },
            // Nobody comes back for the rest of a stream.
            is_retry: !routed.waited.is_zero() || self.progress.began,
            prompt_tokens: routed.usage.map_or(0, |usage| usage.prompt),
            output_tokens: routed.usage.and_then(|usage| usage.expected_output),
            event_gap_objective: routed.event_gap_objective,
            deadline: routed.deadline,
            tried: self.tried.clone(),
        }
    }

    /// Returns how long the request may wait for a target.
    ///
    /// A caller that is told in time comes back when there may be room; one that is
    /// kept until its patience ends leaves without any answer.
    fn max_queue_wait(&self, left: Duration) -> Duration {
        let routed = self.routed;
        let patience = routed
            .first_event_deadline
            .saturating_sub(routed.request.arrived);
        let end = routed.request.arrived + patience.mul_f64(QUEUE_WAIT_RATIO);
        let patience = end.saturating_sub(boot_now());
        let patience = match (self.progress.began, routed.waited.is_zero()) {
            (true, _) => patience.max(RESUME_WAIT),
            (false, true) => patience,
            (false, false) => patience.min(left.mul_f64(LATE_QUEUE_WAIT_RATIO)),
        };
        patience.min(left - MIN_TIME_LEFT)
    }

    async fn open_link(&self, slot: &SlotGuard) -> Option<TargetConnection> {
        let target = slot.target();
        if let Some(link) = self.state.connections.take(&target.name).await {
            return Some(link);
        }
        count(&self.state.metrics.connects);
        TargetConnection::open(target.address).await.ok()
    }

    /// Sends the request once; `None` where it is to be sent to another target.
    async fn send_once(
        &mut self,
        slot: SlotGuard,
        link: TargetConnection,
    ) -> Option<ExecutionOutcome> {
        let target = slot.target().name.clone();
        self.sends += 1;
        self.report_sent(&target);
        let end = self.send(slot, link).await;
        self.tried.push(target.clone());
        self.may_have_run |= !matches!(end, SendOutcome::NotRun(_));
        let (cause, repeatable, kind) = match end {
            SendOutcome::Done { status } => {
                self.report_served(&target, status);
                return Some(ExecutionOutcome::Answered);
            }
            SendOutcome::CallerGone => return Some(ExecutionOutcome::Closed),
            SendOutcome::TimeOver => return Some(self.give_up(ErrorKind::TargetSilent).await),
            SendOutcome::NotRun(cause) => (cause, true, ErrorKind::Overloaded),
            SendOutcome::Lost(cause) => {
                let repeatable = self.routed.kind.is_retryable();
                (cause.to_string(), repeatable, ErrorKind::TargetLost)
            }
            SendOutcome::Failure { head, body } => {
                let cause = format!("status {}", head.status);
                self.failure = Some((head, body));
                let repeatable = self.routed.kind == CallKind::Idempotent;
                (cause, repeatable, ErrorKind::TargetFault)
            }
        };
        let again = repeatable && self.reserve_repeat();
        self.report_failure(&target, &cause, again);
        match again {
            true => None,
            false => Some(self.give_up(kind).await),
        }
    }

    /// Tells whether the request may be sent once more, and counts it.
    fn reserve_repeat(&self) -> bool {
        let resumable = !self.progress.began || self.progress.last_id().is_some();
        resumable
            && self.sends < self.routed.max_attempts
            && boot_now() + MIN_TIME_LEFT < self.routed.deadline
            && self.state.try_retry(&self.routed.pool)
    }

    pub(super) async fn write_response(
        &mut self,
        head: &AnswerMessage,
        body: &[u8],
    ) -> SendOutcome {
        // What is ready goes out, also when its time is over.
        let left = self.routed.deadline.saturating_sub(boot_now());
        let limit = left.max(Duration::from_secs(1));
        match write_collected(self.caller, head, body, limit).await {
            true => SendOutcome::Done {
                status: head.status,
            },
            false => SendOutcome::CallerGone,
        }
    }

    /// Ends the request without a whole answer that is no failure.
    async fn give_up(&mut self, kind: ErrorKind) -> ExecutionOutcome {
        if self.progress.began {
            // Bytes went out: only a cut connection still says that it isn't whole.
            return ExecutionOutcome::Closed;
        }
        if let Some((head, body)) = self.failure.take() {
            return match self.write_response(&head, &body).await {
                SendOutcome::Done { status } => {
                    let target = self.tried.last().cloned().unwrap_or_default();
                    self.report_answered(&target, status, RequestOutcome::Unknown);
                    ExecutionOutcome::Answered
                }
                _ => ExecutionOutcome::Closed,
            };
        }
        let promises = kind.answer().status == 503;
        match (promises, self.may_have_run) {
            // 503 promises that nothing ran; an earlier send may have.
            (true, true) => ExecutionOutcome::Refused(ErrorKind::TargetLost.into()),
            (true, false) => {
                ExecutionOutcome::Refused(EdgeRefusal::after(kind, self.retry_delay()))
            }
            (false, _) => ExecutionOutcome::Refused(kind.into()),
        }
    }

    fn retry_delay(&self) -> Duration {
        let spread = rand::random::<f64>();
        if !self.routed.kind.is_stream() {
            return CALL_RETRY_DELAY.mul_f64(1.0 + CALL_RETRY_JITTER * spread);
        }
        let left = self.routed.deadline.saturating_sub(boot_now());
        left.mul_f64(STREAM_RETRY_RATIO * (1.0 - STREAM_RETRY_JITTER * spread))
    }
}
