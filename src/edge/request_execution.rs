//! Executes one routed request: waits for a target, sends the request, and retries it
//! where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use futures_lite::future::or;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::forward_table::ForwardPermit;
use super::request_forwarding::ForwardDecision;
use super::response_relay::BufferedResponse;
use super::response_relay::StreamProgress;
use super::response_sink::ResponseSink;
use super::route_filter::RoutedRequest;
use super::send_outcome::SendOutcome;
use super::shutdown_controller::LEAVING_RETRY_DELAY;
use crate::catalog::CallKind;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::dispatch::AttemptOutcome;
use crate::dispatch::PlacementRequest;
use crate::dispatch::SlotGuard;
use crate::dispatch::WaitOutcome;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::HostName;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::peers::ForwardCause;
use crate::peers::ReplySender;
use crate::poison::LossCount;
use crate::policy::retry_advice;
use crate::wire::BodyFraming;

/// Number of unreachable targets after which a request fails.
const MAX_UNREACHABLE: usize = 4;
/// Minimum remaining time of a request that is sent to a target. No response takes less,
/// so the work would be wasted.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(30);
/// Interval at which a request that waits for this host's part of a bound looks for a peer that has
/// room in its own.
const PEER_ROOM_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay where no backlog says when there will be room: long enough for targets to register or
/// paths to return, and short compared to the time that callers have.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of a request, as far as the caller's connection is concerned.
#[derive(Debug)]
pub(crate) enum ExecutionOutcome {
    /// A complete response was written; the connection may be reused.
    Answered,
    /// The host must answer the request itself.
    Refused(EdgeRefusal),
    /// The connection must be closed: the caller disconnected, or the response is
    /// incomplete.
    Closed,
}

/// Why a request got no slot at a target.
enum WaitEnd {
    CallerLeft,
    /// A peer has room in its part of the pool, or reaches its targets.
    PeerAvailable,
    Failed(ErrorKind),
}

/// A request in progress.
pub(crate) struct RequestExecution<'a> {
    pub(super) state: &'a Arc<EdgeState>,
    pub(super) caller: ResponseSink<'a>,
    pub(super) routed: &'a RoutedRequest,
    pub(super) progress: StreamProgress,
    pub(super) attempts: u32,
    /// Framing of the response to the last attempt; `None` if its head was not received.
    pub(super) framing: Option<BodyFraming>,
    /// Targets to which it was sent.
    pub(super) tried: Vec<TargetName>,
    /// Targets that this host did not reach. Peers may reach them.
    unreached: Vec<TargetName>,
    /// The software version that began the stream; the only one at which it goes on.
    pub(super) version: Option<SoftwareVersion>,
    /// Peers to which the request was forwarded.
    pub(super) tried_peers: Vec<HostName>,
    /// The refusal of the last of these, if it had no room.
    pub(super) peer_refusal: Option<EdgeRefusal>,
    /// Held while the request is forwarded.
    pub(super) forward_permit: Option<ForwardPermit>,
    /// The target that responded to a peer.
    pub(super) responder: TargetName,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
    /// Number of losses of targets that this host knew of when it sent the request last; `None` if
    /// a peer sent it.
    pub(super) sent_after: Option<LossCount>,
    /// Whether it was sent as a trial of a rejected part of its prompt.
    pub(super) is_part_trial: bool,
    /// The estimated wait with which it was refused.
    expected_wait: Option<Duration>,
    /// The last error response of a target, forwarded if no other target does better.
    failure: Option<BufferedResponse>,
}

impl<'a> RequestExecution<'a> {
    /// Creates the execution of a request that was not sent yet.
    pub(crate) fn new(
        state: &'a Arc<EdgeState>,
        caller: ResponseSink<'a>,
        routed: &'a RoutedRequest,
    ) -> Self {
        Self {
            state,
            caller,
            routed,
            progress: StreamProgress::new(
                routed.request.arrived,
                requested_after(state, routed),
                Arc::clone(&routed.series),
                &state.memory,
            ),
            attempts: 0,
            framing: None,
            tried: Vec::new(),
            unreached: Vec::new(),
            version: None,
            tried_peers: Vec::new(),
            peer_refusal: None,
            forward_permit: None,
            responder: String::new(),
            may_have_run: false,
            sent_after: None,
            is_part_trial: false,
            expected_wait: None,
            failure: None,
        }
    }

    /// Creates the execution of a request that a peer has sent `attempts` times, to the targets
    /// `tried`, and whose stream began at `version`.
    pub(crate) fn resume(
        state: &'a Arc<EdgeState>,
        caller: ResponseSink<'a>,
        routed: &'a RoutedRequest,
        attempts: u32,
        tried: Vec<TargetName>,
        version: Option<SoftwareVersion>,
    ) -> Self {
        let mut execution = Self::new(state, caller, routed);
        if version.is_some() {
            execution.progress.restart_wait(boot_now());
        }
        Self {
            attempts,
            tried,
            version,
            ..execution
        }
    }

    /// Returns the sender of replies to the peer that forwarded the request, unless the response
    /// has ended.
    pub(crate) fn into_replies(self) -> Option<ReplySender> {
        self.caller.into_replies()
    }

    /// Returns how often the request was sent.
    pub(crate) const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the estimated wait for a target with which the request was refused, if it was
    /// refused for that.
    pub(crate) const fn expected_wait(&self) -> Option<Duration> {
        self.expected_wait
    }

    /// Returns what is known about a request that got no response from a target.
    pub(crate) const fn outcome(&self) -> RequestOutcome {
        match self.may_have_run {
            true => RequestOutcome::Unknown,
            false => RequestOutcome::NotRun,
        }
    }

    /// Executes the request.
    pub(crate) async fn serve(&mut self) -> ExecutionOutcome {
        if !self.resolve_version().await {
            return self.fail(ErrorKind::VersionUnknown).await;
        }
        loop {
            if !self.wait_for_checks().await {
                return self.fail(ErrorKind::SuspectRequest).await;
            }
            if self.exceeds_shutdown() {
                return self.fail(ErrorKind::HostLeaving).await;
            }
            match self.decide_forward().await {
                ForwardDecision::Own => {}
                ForwardDecision::Nowhere => return self.refuse_unforwarded().await,
                ForwardDecision::Peer(receiver) => match self.forward(receiver).await {
                    Some(outcome) => return outcome,
                    None => continue,
                },
            }
            let slot = match self.wait_for_slot().await {
                Ok(slot) => slot,
                Err(WaitEnd::CallerLeft) => return ExecutionOutcome::Closed,
                Err(WaitEnd::PeerAvailable) => continue,
                // The path was lost while the request waited.
                Err(WaitEnd::Failed(_)) if self.may_forward() => continue,
                Err(WaitEnd::Failed(kind)) => return self.fail(kind).await,
            };
            let exclusive = self.acquire_exclusive(&slot).await;
            let Some(connection) = self.connect(&slot).await else {
                let target = slot.target().name.clone();
                self.report_failure(&target, "unreachable", true);
                slot.finish(AttemptOutcome::Unreachable);
                self.state.record_connect(&self.routed.pool, &target, false);
                self.unreached.push(target);
                let is_hopeless = self.unreached.len() >= MAX_UNREACHABLE || self.has_tried_all();
                if is_hopeless && !self.may_forward() {
                    return self.fail(ErrorKind::TargetUnreachable).await;
                }
                continue;
            };
            // Both may have changed while the connection was opened.
            let has_left = self.caller.has_disconnected().await;
            if has_left || !slot.may_send() || self.is_undecided() {
                let target = slot.target().incarnation();
                self.state.connections.put_unused(&target, connection);
                match has_left {
                    true => return ExecutionOutcome::Closed,
                    false => continue,
                }
            }
            let rejection = match self.exceeds_shutdown() {
                true => Some(ErrorKind::HostLeaving),
                false => self.rejection(&exclusive, &slot),
            };
            if let Some(kind) = rejection {
                let target = slot.target().incarnation();
                self.state.connections.put_unused(&target, connection);
                return self.fail(kind).await;
            }
            if let Some(outcome) = self.send_once(slot, connection).await {
                return outcome;
            }
        }
    }

    /// Waits for a free slot at a target, or returns why there is none.
    async fn wait_for_slot(&mut self) -> Result<SlotGuard, WaitEnd> {
        let routed = self.routed;
        let now = boot_now();
        let left = routed.deadline.saturating_sub(now);
        if left <= MIN_TIME_LEFT {
            return Err(WaitEnd::Failed(ErrorKind::DeadlinePassed));
        }
        let deadline = routed.deadline;
        loop {
            let max_wait = match (self.is_queued_at_peer(), self.may_use_peer_room()) {
                (true, _) => Duration::ZERO,
                (false, true) => PEER_ROOM_INTERVAL,
                (false, false) => deadline.saturating_sub(boot_now()),
            };
            let placement = self.placement();
            let queue = &self.state.queue;
            let caller = &mut self.caller;
            let placed = async { Some(queue.wait_for_target(placement, max_wait).await) };
            let disconnected = async {
                caller.disconnected().await;
                None
            };
            match or(placed, disconnected).await {
                None => return Err(WaitEnd::CallerLeft),
                Some(WaitOutcome::Placed(slot)) => return Ok(*slot),
                Some(WaitOutcome::NoTarget) => return Err(WaitEnd::Failed(ErrorKind::NoTarget)),
                Some(WaitOutcome::TimedOut) if self.is_queued_at_peer() => {
                    return Err(WaitEnd::Failed(ErrorKind::Overloaded));
                }
                Some(WaitOutcome::TimedOut) if deadline <= boot_now() + MIN_TIME_LEFT => {
                    return Err(WaitEnd::Failed(ErrorKind::DeadlinePassed));
                }
                Some(WaitOutcome::TimedOut) if self.may_forward() => {
                    return Err(WaitEnd::PeerAvailable);
                }
                Some(WaitOutcome::TimedOut) => {}
                Some(WaitOutcome::Overloaded(admission)) => {
                    self.expected_wait = Some(admission.wait);
                    let mut table = queue.lock_table();
                    table.record_refusal(&self.placement(), boot_now());
                    return Err(WaitEnd::Failed(ErrorKind::Overloaded));
                }
            }
            if self.finds_peer_room() {
                return Err(WaitEnd::PeerAvailable);
            }
        }
    }

    /// Returns whether the request waits at the host that forwarded it, which may find room elsewhere.
    fn is_queued_at_peer(&self) -> bool {
        self.routed.forwarded == Some(ForwardCause::PartUsed) && !self.progress.has_started
    }

    /// Returns the placement criteria of the request.
    pub(super) fn placement(&self) -> PlacementRequest {
        let routed = self.routed;
        PlacementRequest {
            pool: routed.pool.clone(),
            priority: routed.priority,
            objective_at: match self.progress.has_started {
                // The caller waits for the next event.
                true => self.next_event_by(),
                false => routed.request.arrived + routed.objective,
            },
            first_event_by: self.next_event_by(),
            has_started: self.progress.has_started,
            prompt_tokens: routed.usage.map_or(0, |usage| usage.prompt),
            output_tokens: routed.usage.and_then(|usage| usage.expected_output),
            event_gap_objective: routed.event_gap_objective,
            deadline: routed.deadline,
            tried: self.unavailable_targets(),
            version: self.version.clone(),
        }
    }

    /// Returns the targets that are not tried again by this host.
    fn unavailable_targets(&self) -> Vec<TargetName> {
        [self.tried.as_slice(), &self.unreached].concat()
    }

    /// Returns when the caller gives up unless it gets the first event, or the next one.
    fn next_event_by(&self) -> Duration {
        let routed = self.routed;
        let abandoned = routed.abandon_timeout;
        let abandoned = abandoned.map(|timeout| self.progress.last_at() + timeout);
        abandoned.map_or(routed.deadline, |at| at.min(routed.deadline))
    }

    async fn connect(&self, slot: &SlotGuard) -> Option<TargetConnection> {
        let target = slot.target().incarnation();
        if let Some(connection) = self.state.connections.take(&target).await {
            return Some(connection);
        }
        count(&self.state.metrics.connects);
        let connection = TargetConnection::open(target.address).await.ok()?;
        let pool = &self.routed.pool;
        self.state.record_connect(pool, &target.name, true);
        Some(connection)
    }

    /// Returns whether the request was tried at all targets of its pool, and peers fail at them
    /// too. The rest of a stream waits for one of them, as its caller can't ask for it.
    fn has_tried_all(&self) -> bool {
        let pool = &self.routed.pool;
        let table = self.state.queue.lock_table();
        !self.progress.has_started
            && !table.has_untried_target(pool, &self.unavailable_targets())
            && table.is_loss_reported(pool, boot_now())
    }

    /// Returns whether the request goes on at a peer, as the path of this host is lost.
    fn may_forward(&self) -> bool {
        let is_lost = self
            .state
            .queue
            .lock_table()
            .is_path_lost(&self.routed.pool);
        is_lost && !self.routed.is_forwarded() && boot_now() + MIN_TIME_LEFT < self.routed.deadline
    }

    /// Sends the request once. Returns `None` if it should be sent to another target.
    async fn send_once(
        &mut self,
        slot: SlotGuard,
        connection: TargetConnection,
    ) -> Option<ExecutionOutcome> {
        let placed = slot.target().clone();
        let target = placed.name.clone();
        self.attempts += 1;
        self.framing = None;
        self.report_sent(&placed);
        self.sent_after = Some(self.state.parts.loss_count());
        let sent_at = unix_now();
        let outcome = self.send(slot, connection).await;
        self.tried.push(target.clone());
        self.may_have_run |= !matches!(outcome, SendOutcome::NotRun(_));
        let (cause, is_retryable, kind) = match outcome {
            SendOutcome::Delivered { status } => {
                self.report_served(&target, status);
                return Some(ExecutionOutcome::Answered);
            }
            SendOutcome::CallerDisconnected => return Some(ExecutionOutcome::Closed),
            SendOutcome::DeadlineExceeded => return Some(self.fail(ErrorKind::TargetSilent).await),
            SendOutcome::NotRun(cause) => (cause, true, ErrorKind::Overloaded),
            SendOutcome::Lost(cause) => {
                let was_suspect = self.may_crash_more(cause);
                if cause.may_be_crash() {
                    self.look_for_crash(placed, sent_at).await;
                }
                let may_crash_more = was_suspect || self.is_refused() || self.is_undecided();
                let is_retryable = self.routed.kind.is_retryable() && !may_crash_more;
                (cause.to_string(), is_retryable, ErrorKind::TargetLost)
            }
            SendOutcome::TargetFailure(response) => {
                let cause = format!("status {}", response.head.status);
                self.failure = Some(response);
                let is_retryable = self.routed.kind == CallKind::Idempotent;
                (cause, is_retryable, ErrorKind::TargetFault)
            }
        };
        let retry = is_retryable && self.reserve_retry();
        self.report_failure(&target, &cause, retry);
        match retry {
            true => None,
            false => Some(self.fail(kind).await),
        }
    }

    /// Returns whether the request may be retried, and charges the retry budget if so.
    fn reserve_retry(&self) -> bool {
        self.progress.is_resumable()
            && self.attempts < self.routed.max_attempts
            && boot_now() + MIN_TIME_LEFT < self.routed.deadline
            && self.state.try_retry(&self.routed.pool)
    }

    pub(super) async fn write_response(&mut self, response: &BufferedResponse) -> SendOutcome {
        // A complete response is still delivered after the deadline.
        let left = self.routed.deadline.saturating_sub(boot_now());
        let limit = left.max(Duration::from_secs(1));
        let written = timeout(limit, self.caller.write_response(response));
        match written.await {
            Ok(Ok(())) => SendOutcome::Delivered {
                status: response.head.status,
            },
            Ok(Err(_)) | Err(_) => SendOutcome::CallerDisconnected,
        }
    }

    /// Ends the request with an error, or with the last error response of a target.
    pub(super) async fn fail(&mut self, kind: ErrorKind) -> ExecutionOutcome {
        if self.progress.has_started {
            // Part of the response was written; only closing the connection shows that it
            // is incomplete.
            return ExecutionOutcome::Closed;
        }
        if let Some(response) = self.failure.take() {
            return match self.write_response(&response).await {
                SendOutcome::Delivered { status } => {
                    let target = self.tried.last().cloned().unwrap_or_default();
                    self.report_answered(&target, status, RequestOutcome::Unknown);
                    ExecutionOutcome::Answered
                }
                _ => ExecutionOutcome::Closed,
            };
        }
        let claims_not_run = kind.answer().status == 503;
        match (claims_not_run, self.may_have_run) {
            // Status 503 promises that nothing ran, but an earlier attempt may have.
            (true, true) => ExecutionOutcome::Refused(ErrorKind::TargetLost.into()),
            (true, false) if kind == ErrorKind::SuspectRequest => {
                ExecutionOutcome::Refused(self.state.suspect_refusal(self.routed.fingerprint))
            }
            (true, false) if kind == ErrorKind::HostLeaving => {
                ExecutionOutcome::Refused(EdgeRefusal::after(kind, LEAVING_RETRY_DELAY))
            }
            (true, false) if kind == ErrorKind::SuspectPrompt => {
                ExecutionOutcome::Refused(self.state.part_refusal(self.routed))
            }
            (true, false) => {
                ExecutionOutcome::Refused(EdgeRefusal::after(kind, self.retry_delay()))
            }
            (false, _) => ExecutionOutcome::Refused(kind.into()),
        }
    }

    /// Ends a request that no peer serves, with the refusal of a peer that had no room.
    async fn refuse_unforwarded(&mut self) -> ExecutionOutcome {
        match self.peer_refusal.take() {
            Some(refusal) if !self.may_have_run && !self.progress.has_started => {
                ExecutionOutcome::Refused(refusal)
            }
            _ => self.fail(ErrorKind::TargetUnreachable).await,
        }
    }

    /// Returns the delay after which the caller should retry: when the requests before it will have
    /// started, and not before a target takes requests.
    fn retry_delay(&self) -> Duration {
        let table = self.state.queue.lock_table();
        let pause = table.pause_left(&self.routed.pool, boot_now());
        let drain = self.expected_wait.unwrap_or(DEFAULT_RETRY_DELAY);
        retry_advice(drain, rand::random()).max(pause)
    }
}

/// Returns the event behind which the caller asks for its stream. Two values name none.
fn requested_after(state: &EdgeState, routed: &RoutedRequest) -> Option<String> {
    if routed.kind != CallKind::ResumableStream {
        return None;
    }
    let mut values = routed
        .request
        .message
        .headers
        .all(&state.header_names.resume_after);
    let (Some(value), None) = (values.next(), values.next()) else {
        return None;
    };
    let id = std::str::from_utf8(value).ok()?;
    Some(id.trim().to_owned())
}
