//! Serves one routed request: waits for a target, sends, and sends once more where
//! that is allowed.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::future::or;

use super::answer_relay::RelayBounds;
use super::answer_relay::RelayEnd;
use super::answer_relay::StreamProgress;
use super::answer_relay::collect_body;
use super::answer_relay::write_collected;
use super::caller_link::CallerLink;
use super::crash_check::check_crash;
use super::edge_metrics::count;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::route_filter::RoutedRequest;
use super::send_end::LossCause;
use super::send_end::SendEnd;
use super::target_call::CallIdentity;
use super::target_call::TargetCall;
use super::target_links::TargetLink;
use crate::catalog::CallKind;
use crate::clock::boot_now;
use crate::dispatch::DispatchWish;
use crate::dispatch::SlotGuard;
use crate::dispatch::WaitVerdict;
use crate::dispatch::WorkEnd;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::TargetName;
use crate::wire::AnswerMessage;

/// How many targets that can't be reached are passed over for one request.
const MAX_UNREACHABLE: usize = 4;
/// What is left at least of a request's time when it is given to a target: less
/// than the shortest answer takes, and it would only be thrown away there.
const LEAST_LEFT: Duration = Duration::from_millis(30);
/// How long a stream that another target can go on with may be silent. Engines send
/// an event each 25 to 100 ms; callers give a stream up after two seconds.
const RESUME_SILENCE: Duration = Duration::from_millis(1300);
/// How long an idempotent call is waited for before another target is asked, in
/// objectives: nine in ten answers take a fifth of their objective.
const REPEAT_AFTER_OBJECTIVES: u32 = 2;
/// How long the rest of a target's refusal is waited for, to keep the connection.
const DISCARD_TIME: Duration = Duration::from_millis(100);
/// The share of a caller's patience that its request may wait for a target; the rest
/// is for the first event.
const QUEUE_SHARE: f64 = 0.75;
/// When a caller may come back whose request found no room or no target: for a
/// stream, whose deadline is long, behind the worst of a burst of some seconds; for
/// others while their deadline lasts. Spread, or all would come back together.
const STREAM_DELAY: Duration = Duration::from_millis(1800);
const CALL_DELAY: Duration = Duration::from_millis(150);
const DELAY_SPREAD: f64 = 0.6;

/// How one request ended, for the connection that it came on.
#[derive(Debug)]
pub(crate) enum RunEnd {
    /// An answer went out whole; the connection may go on.
    Answered,
    /// The caller is to get an answer of the host's own.
    Refused(EdgeRefusal),
    /// The connection must be closed: the caller left, or its answer was cut.
    Closed,
}

/// One request on its way.
pub(crate) struct RequestRun<'a> {
    pub(super) state: &'a Arc<EdgeState>,
    caller: &'a mut CallerLink,
    pub(super) routed: &'a RoutedRequest,
    pub(super) progress: StreamProgress,
    pub(super) sends: u32,
    tried: Vec<TargetName>,
    /// Whether a target may have run it.
    may_have_run: bool,
    /// The last failure of a target, to be passed on when nothing better comes.
    failure: Option<(AnswerMessage, Vec<u8>)>,
}

impl<'a> RequestRun<'a> {
    /// Makes a run of a request that was not sent yet.
    pub(crate) fn new(
        state: &'a Arc<EdgeState>,
        caller: &'a mut CallerLink,
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
    pub(crate) async fn serve(&mut self) -> RunEnd {
        let mut unreachable = 0;
        loop {
            let slot = match self.wait_for_slot().await {
                Ok(slot) => slot,
                Err(end) => return end,
            };
            let Some(link) = self.open_link(&slot).await else {
                let target = slot.target().name.clone();
                self.write_failure(&target, "unreachable", true);
                self.tried.push(target);
                slot.finish(WorkEnd::Unreachable);
                unreachable += 1;
                if unreachable >= MAX_UNREACHABLE {
                    return self.give_up(ErrorKind::TargetUnreachable).await;
                }
                continue;
            };
            if let Some(end) = self.send_and_judge(slot, link).await {
                return end;
            }
        }
    }

    /// Waits until a target has room, or says how the request ends.
    async fn wait_for_slot(&mut self) -> Result<SlotGuard, RunEnd> {
        let routed = self.routed;
        let now = boot_now();
        let left = routed.deadline.saturating_sub(now);
        if left <= LEAST_LEFT {
            return Err(self.give_up(ErrorKind::DeadlinePassed).await);
        }
        let wish = DispatchWish {
            pool: routed.pool.clone(),
            rank: routed.rank,
            objective_at: routed.request.arrived + routed.objective,
            prompt_tokens: routed.usage.map_or(0, |usage| usage.prompt),
            tried: self.tried.clone(),
        };
        let patience = self.queue_patience(left);
        let desk = &self.state.desk;
        let caller = &mut *self.caller;
        let wait = async { Some(desk.wait_for_target(wish, patience).await) };
        let gone = async {
            caller.gone().await;
            None
        };
        match or(wait, gone).await {
            None => Err(RunEnd::Closed),
            Some(WaitVerdict::Placed(slot)) => Ok(slot),
            Some(WaitVerdict::Full) => Err(self.give_up(ErrorKind::Overloaded).await),
            Some(WaitVerdict::NoTarget) => Err(self.give_up(ErrorKind::NoTarget).await),
            Some(WaitVerdict::TimedOut) => Err(self.give_up(ErrorKind::Overloaded).await),
        }
    }

    /// Returns how long the request may wait for a target.
    ///
    /// A caller that is told in time comes back when there may be room; one that is
    /// kept until its patience ends leaves without any answer.
    fn queue_patience(&self, left: Duration) -> Duration {
        let routed = self.routed;
        let patience = routed.patience_end.saturating_sub(routed.request.arrived);
        let end = routed.request.arrived + patience.mul_f64(QUEUE_SHARE);
        end.saturating_sub(boot_now()).min(left - LEAST_LEFT)
    }

    async fn open_link(&self, slot: &SlotGuard) -> Option<TargetLink> {
        let target = slot.target();
        if let Some(link) = self.state.links.take(&target.name).await {
            return Some(link);
        }
        count(&self.state.metrics.connects);
        TargetLink::open(target.address).await.ok()
    }

    /// Sends the request once; `None` where it is to be sent to another target.
    async fn send_and_judge(&mut self, slot: SlotGuard, link: TargetLink) -> Option<RunEnd> {
        let target = slot.target().name.clone();
        self.sends += 1;
        self.write_sent(&target);
        let end = self.send(slot, link).await;
        self.tried.push(target.clone());
        self.may_have_run |= !matches!(end, SendEnd::NotRun(_));
        let (cause, repeatable, kind) = match end {
            SendEnd::Done { status } => {
                self.write_answered(&target, status);
                return Some(RunEnd::Answered);
            }
            SendEnd::CallerGone => return Some(RunEnd::Closed),
            SendEnd::TimeOver => return Some(self.give_up(ErrorKind::TargetSilent).await),
            SendEnd::NotRun(cause) => (cause, true, ErrorKind::Overloaded),
            SendEnd::Lost(cause) => {
                let repeatable = self.routed.kind.is_repeatable();
                (cause.to_string(), repeatable, ErrorKind::TargetLost)
            }
            SendEnd::Failure { head, body } => {
                let cause = format!("status {}", head.status);
                self.failure = Some((head, body));
                let repeatable = self.routed.kind == CallKind::Idempotent;
                (cause, repeatable, ErrorKind::TargetFault)
            }
        };
        let again = repeatable && self.may_repeat();
        self.write_failure(&target, &cause, again);
        match again {
            true => None,
            false => Some(self.give_up(kind).await),
        }
    }

    /// Tells whether the request may be sent once more, and counts it.
    fn may_repeat(&self) -> bool {
        let resumable = !self.progress.began || self.progress.last_id().is_some();
        resumable
            && self.sends < self.routed.max_attempts
            && boot_now() + LEAST_LEFT < self.routed.deadline
            && self.state.try_repeat(&self.routed.pool)
    }

    async fn send(&mut self, mut slot: SlotGuard, link: TargetLink) -> SendEnd {
        let bytes = self.request_bytes(&slot);
        let called = self.call(link, &bytes, &mut slot).await;
        let mut call = match called {
            Ok(call) => call,
            Err(end) => {
                slot.finish(end.work_end());
                return end;
            }
        };
        if self.is_not_run(&call.head) {
            let cause = format!("not run, status {}", call.head.status);
            self.discard(call, &slot).await;
            slot.finish(WorkEnd::Rejected);
            return SendEnd::NotRun(cause);
        }
        let status = call.head.status;
        let end = match self.routed.kind.is_stream() && status == 200 {
            true => self.relay_stream(&mut call, &mut slot).await,
            false => match self.collect(call, &mut slot).await {
                Ok((whole, body)) => {
                    call = whole;
                    self.pass_collected(&call.head, body).await
                }
                Err(end) => {
                    slot.finish(end.work_end());
                    return end;
                }
            },
        };
        if let Some((link, head)) = call.into_kept() {
            self.state.links.put(&slot.target().name, link, &head);
        }
        slot.finish(end.work_end());
        end
    }

    /// Writes the request and reads the answer's head.
    async fn call(
        &mut self,
        link: TargetLink,
        bytes: &[u8],
        slot: &mut SlotGuard,
    ) -> Result<TargetCall, SendEnd> {
        let routed = self.routed;
        let identity = CallIdentity {
            header: &self.state.dialect.request_id,
            request: &routed.id,
            method: &routed.request.message.method,
        };
        let limit = self.head_limit();
        let sent = async {
            match timeout(limit, TargetCall::send(link, bytes, identity)).await {
                Ok(Ok(call)) => Ok(call),
                Ok(Err(error)) => Err(SendEnd::Lost(error.into())),
                Err(_) if boot_now() + LEAST_LEFT >= routed.deadline => Err(SendEnd::TimeOver),
                Err(_) => Err(SendEnd::Lost(LossCause::Silent)),
            }
        };
        let called = match routed.kind {
            // It may run by now, and is left alone if its caller leaves.
            CallKind::NonIdempotent => sent.await,
            _ => {
                let caller = &mut *self.caller;
                let gone = async {
                    caller.gone().await;
                    Err(SendEnd::CallerGone)
                };
                or(sent, gone).await
            }
        };
        if let Err(SendEnd::Lost(cause)) = &called
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
        if called.is_ok() && !routed.kind.is_stream() {
            slot.note_event();
        }
        called
    }

    /// Returns how long the answer's head is waited for.
    fn head_limit(&self) -> Duration {
        let routed = self.routed;
        let left = routed.deadline.saturating_sub(boot_now());
        let again = self.sends < routed.max_attempts;
        match routed.kind {
            CallKind::Idempotent if again => left.min(routed.objective * REPEAT_AFTER_OBJECTIVES),
            CallKind::ResumableStream if again => left.min(RESUME_SILENCE),
            _ => left,
        }
    }

    async fn relay_stream(&mut self, call: &mut TargetCall, slot: &mut SlotGuard) -> SendEnd {
        let again = self.sends < self.routed.max_attempts;
        let bounds = RelayBounds {
            deadline: self.routed.deadline,
            silence: match self.routed.kind {
                CallKind::ResumableStream if again => Some(RESUME_SILENCE),
                _ => None,
            },
        };
        let request = &self.routed.request.message;
        let caller = &mut *self.caller;
        let relayed = self.progress.relay(caller, request, call, slot, bounds);
        match relayed.await {
            RelayEnd::Whole => SendEnd::Done { status: 200 },
            RelayEnd::CallerGone => SendEnd::CallerGone,
            RelayEnd::TimeOver => SendEnd::TimeOver,
            RelayEnd::TargetLost(cause) => SendEnd::Lost(cause),
        }
    }

    /// Reads the whole body.
    async fn collect(
        &mut self,
        mut call: TargetCall,
        slot: &mut SlotGuard,
    ) -> Result<(TargetCall, Vec<u8>), SendEnd> {
        let left = self.routed.deadline.saturating_sub(boot_now());
        let collected = async {
            match timeout(left, collect_body(&mut call)).await {
                Ok(Ok(body)) => Ok(body),
                Ok(Err(error)) => Err(SendEnd::Lost(error.into())),
                Err(_) => Err(SendEnd::TimeOver),
            }
        };
        let body = match self.routed.kind {
            CallKind::NonIdempotent => collected.await?,
            _ => {
                let caller = &mut *self.caller;
                let gone = async {
                    caller.gone().await;
                    Err(SendEnd::CallerGone)
                };
                or(collected, gone).await?
            }
        };
        slot.note_event();
        Ok((call, body))
    }

    /// Passes a whole answer on, or keeps a failure that another target may mend.
    async fn pass_collected(&mut self, head: &AnswerMessage, body: Vec<u8>) -> SendEnd {
        // 429, 503, 408 and 421 tell the caller that nothing ran. A target that
        // doesn't say so may have run it.
        if matches!(head.status, 408 | 421 | 429 | 503) {
            return SendEnd::Lost(LossCause::Unproven(head.status));
        }
        if self.progress.began {
            // The rest of a stream can't be a failure with a status.
            return SendEnd::Lost(LossCause::NotTheRest(head.status));
        }
        if head.status >= 500 {
            return SendEnd::Failure {
                head: head.clone(),
                body,
            };
        }
        self.write_answer(head, &body).await
    }

    async fn write_answer(&mut self, head: &AnswerMessage, body: &[u8]) -> SendEnd {
        // What is ready goes out, also when its time is over.
        let left = self.routed.deadline.saturating_sub(boot_now());
        let limit = left.max(Duration::from_secs(1));
        match write_collected(self.caller, head, body, limit).await {
            true => SendEnd::Done {
                status: head.status,
            },
            false => SendEnd::CallerGone,
        }
    }

    /// Ends the request without a whole answer that is no failure.
    async fn give_up(&mut self, kind: ErrorKind) -> RunEnd {
        if self.progress.began {
            // Bytes went out: only a cut connection still says that it isn't whole.
            return RunEnd::Closed;
        }
        if let Some((head, body)) = self.failure.take() {
            return match self.write_answer(&head, &body).await {
                SendEnd::Done { .. } => RunEnd::Answered,
                _ => RunEnd::Closed,
            };
        }
        let promises = kind.answer().status == 503;
        match (promises, self.may_have_run) {
            // 503 promises that nothing ran; an earlier send may have.
            (true, true) => RunEnd::Refused(ErrorKind::TargetLost.into()),
            (true, false) => RunEnd::Refused(EdgeRefusal::after(kind, self.room_delay())),
            (false, _) => RunEnd::Refused(kind.into()),
        }
    }

    fn room_delay(&self) -> Duration {
        let delay = match self.routed.kind.is_stream() {
            true => STREAM_DELAY,
            false => CALL_DELAY,
        };
        delay.mul_f64(1.0 + DELAY_SPREAD * rand::random::<f64>())
    }

    /// Tells whether the target says that it did not run the request.
    fn is_not_run(&self, head: &AnswerMessage) -> bool {
        head.status == 421 || head.headers.contains(&self.state.dialect.not_run)
    }

    /// Reads a refusal to its end, so that the connection can be kept.
    async fn discard(&self, mut call: TargetCall, slot: &SlotGuard) {
        let collected = timeout(DISCARD_TIME, collect_body(&mut call)).await;
        if matches!(collected, Ok(Ok(_)))
            && let Some((link, head)) = call.into_kept()
        {
            self.state.links.put(&slot.target().name, link, &head);
        }
    }

    /// Returns the request as this target gets it.
    fn request_bytes(&self, slot: &SlotGuard) -> Vec<u8> {
        let routed = self.routed;
        let dialect = &self.state.dialect;
        let mut message = routed.request.message.clone();
        let left = routed.deadline.saturating_sub(boot_now());
        let headers = &mut message.headers;
        headers.push(&dialect.deadline_ms, left.as_millis().to_string());
        headers.push(&dialect.target, &slot.target().name);
        if let Some(last) = self.progress.last_id() {
            headers.retain(|name| !name.eq_ignore_ascii_case(&dialect.resume_after));
            headers.push(&dialect.resume_after, last);
        }
        let body = &routed.request.body;
        let mut bytes = Vec::with_capacity(body.len() + 1024);
        message.write_to(body.len(), &mut bytes);
        bytes.extend_from_slice(body);
        bytes
    }
}
