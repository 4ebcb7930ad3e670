//! Forwards a target's response to the caller.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::future::or;

use super::event_splitter::EventSplitter;
use super::response_sink::ResponseSink;
use super::response_sink::StreamHead;
use super::response_source::ResponseSource;
use super::send_outcome::LossCause;
use super::target_call::CallError;
use crate::clock::boot_now;
use crate::dispatch::SlotGuard;
use crate::limits::ByteBudget;
use crate::limits::BytePermit;
use crate::metrics::RequestSeries;
use crate::wire::BodyFraming;
use crate::wire::RequestMessage;
use crate::wire::ResponseMessage;

/// Limit on the body size of a response that is buffered before it is forwarded, in
/// bytes. A larger one would take the memory of all other requests.
const MAX_BUFFERED_BYTES: usize = 16 << 20;

/// Size up to which a response does not count towards the host's request memory, in bytes, so that
/// large ones don't take the place of small ones.
const FREE_BYTES: usize = 64 << 10;

/// A response whose body was received.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: ResponseMessage,
    pub(crate) body: Vec<u8>,
    /// How the target declared the end of the body.
    pub(crate) declared: BodyFraming,
    /// The memory of the body.
    pub(crate) _permit: BytePermit,
}

/// Result of relaying a stream.
#[derive(Debug)]
pub(crate) enum RelayOutcome {
    /// The complete response was written to the caller.
    Complete,
    /// All events were written to the caller. The target closed the connection between two
    /// events and did not declare the end, which is not written yet.
    Closed,
    /// The caller disconnected.
    CallerDisconnected,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The connection to the target was lost, or the target sent nothing for too long.
    TargetLost(LossCause),
}

/// The event that ended one wait of the relay.
enum RelayEvent {
    TargetData(Result<bool, CallError>),
    CallerDisconnected,
    DeadlineExceeded,
    TargetUnresponsive,
}

/// State of a streamed response towards the caller, across all attempts.
#[derive(Debug)]
pub(crate) struct StreamProgress {
    splitter: EventSplitter,
    /// The memory of the event that is not complete.
    permit: BytePermit,
    /// Whether anything may have been written to the caller.
    pub(crate) has_started: bool,
    first_at: Option<Duration>,
    last_at: Duration,
    longest_pause: Duration,
    arrived: Duration,
    series: Arc<RequestSeries>,
}

/// Limits at which relaying a stream is abandoned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayLimits {
    /// Deadline of the request, on the boot clock.
    pub(crate) deadline: Duration,
    /// Longest time without data from the target before the stream is resumed at another
    /// one; `None` if the stream can't be resumed.
    pub(crate) max_pause: Option<SilenceLimit>,
}

/// Limits on a target's silence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceLimit {
    /// Where the target sends nothing on this connection only, or can't be reached.
    pub(crate) connection: Duration,
    /// Where it sends nothing at all and accepts connections.
    pub(crate) target: Duration,
}

impl SilenceLimit {
    /// Waits until the limit is exceeded; `is_silent` tells whether the target sends nothing at
    /// all and accepts connections.
    ///
    /// Such a target may be sound and go on. A request that is sent to another one meanwhile
    /// would run at both.
    pub(crate) async fn exceeded(self, is_silent: impl Fn() -> bool) {
        task::sleep(self.connection).await;
        if is_silent() {
            task::sleep(self.target.saturating_sub(self.connection)).await;
        }
    }
}

/// What the relay asks about targets.
pub(crate) struct RelayChecks<B, R, S> {
    /// Called before the first event is written to the caller.
    pub(crate) begin: B,
    /// Returns whether another target has capacity for the rest of the stream.
    pub(crate) can_resume: R,
    /// Returns whether the target sends nothing at all and accepts connections.
    pub(crate) is_silent: S,
}

impl StreamProgress {
    /// Starts the response of a request that arrived at `arrived` on the boot clock, to a caller
    /// that has the stream up to the event `requested_after`.
    pub(crate) fn new(
        arrived: Duration,
        requested_after: Option<String>,
        series: Arc<RequestSeries>,
        memory: &Arc<ByteBudget>,
    ) -> Self {
        Self {
            splitter: EventSplitter::behind(requested_after),
            permit: memory.empty_permit(),
            has_started: false,
            first_at: None,
            last_at: arrived,
            longest_pause: Duration::ZERO,
            arrived,
            series,
        }
    }

    /// Returns whether another target can continue the response.
    pub(crate) fn is_resumable(&self) -> bool {
        !self.has_started || self.last_id().is_some()
    }

    /// Returns the id of the last event that was written.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Returns when the first bytes were written, on the boot clock.
    pub(crate) const fn first_at(&self) -> Option<Duration> {
        self.first_at
    }

    /// Counts the wait of the caller from now on, where a peer has written events before.
    pub(crate) const fn restart_wait(&mut self, now: Duration) {
        self.last_at = now;
    }

    /// Returns when events were last written, or else when the request arrived.
    pub(crate) const fn last_at(&self) -> Duration {
        self.last_at
    }

    /// Returns the longest pause between two writes of events.
    pub(crate) const fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Forwards events as they arrive. An unresponsive target is abandoned only if another one
    /// has capacity for the rest. The response head
    /// is written together with the first events, so that another target can still take
    /// over before that.
    pub(crate) async fn relay(
        &mut self,
        caller: &mut ResponseSink<'_>,
        request: &RequestMessage,
        source: &mut ResponseSource,
        mut slot: Option<&mut SlotGuard>,
        limits: RelayLimits,
        checks: RelayChecks<impl Fn(), impl Fn() -> bool, impl Fn() -> bool>,
    ) -> RelayOutcome {
        let mut received = Vec::new();
        let left = limits.deadline.saturating_sub(boot_now());
        let mut deadline_timer = Box::pin(task::sleep(left));
        self.splitter.resume();
        loop {
            received.clear();
            let event = {
                let target =
                    async { RelayEvent::TargetData(source.read_body(&mut received).await) };
                let disconnected = async {
                    caller.disconnected().await;
                    RelayEvent::CallerDisconnected
                };
                let expired = async {
                    (&mut deadline_timer).await;
                    RelayEvent::DeadlineExceeded
                };
                let silent = async {
                    match limits.max_pause {
                        Some(max_pause) => max_pause.exceeded(&checks.is_silent).await,
                        None => std::future::pending().await,
                    }
                    RelayEvent::TargetUnresponsive
                };
                // Neither bytes nor a caller that reads them may outlast the deadline.
                or(expired, or(target, or(disconnected, silent))).await
            };
            let is_complete = match event {
                RelayEvent::TargetData(Ok(is_complete)) => is_complete,
                RelayEvent::TargetData(Err(error)) => {
                    return RelayOutcome::TargetLost(error.into());
                }
                RelayEvent::CallerDisconnected => return RelayOutcome::CallerDisconnected,
                RelayEvent::DeadlineExceeded => return RelayOutcome::DeadlineExceeded,
                RelayEvent::TargetUnresponsive if self.is_resumable() && (checks.can_resume)() => {
                    return RelayOutcome::TargetLost(LossCause::Unresponsive);
                }
                // The target may only be slow, and an incomplete response is of no use to
                // the caller.
                RelayEvent::TargetUnresponsive => continue,
            };
            let Ok(mut events) = self.splitter.take_events(&mut received) else {
                return RelayOutcome::TargetLost(LossCause::OversizedEvent);
            };
            if !hold_bytes(&mut self.permit, self.splitter.pending_bytes()) {
                return RelayOutcome::TargetLost(LossCause::NoMemory);
            }
            let loss = match is_complete {
                true => self.finish_events(&mut events, source).err(),
                false => None,
            };
            let ends = is_complete && loss.is_none();
            let is_open = source.leaves_end_open();
            if events.is_empty() && (!ends || is_open) {
                match loss {
                    Some(cause) => return RelayOutcome::TargetLost(cause),
                    None if ends => return RelayOutcome::Closed,
                    None => continue,
                }
            }
            if let Some(slot) = &mut slot {
                slot.record_event();
            }
            let head = StreamHead {
                message: source.head(),
                declared: source.declared(),
                is_http10: request.is_http10,
            };
            let head = (!self.has_started).then_some(head);
            if head.is_some() {
                (checks.begin)();
                // A write that the deadline ends may have written a part.
                self.has_started = true;
            }
            let written = timeout(
                limits.deadline.saturating_sub(boot_now()),
                caller.write_events(head, &events, ends && !is_open),
            );
            match written.await {
                Ok(Ok(())) => self.record_events(),
                Ok(Err(_)) => return RelayOutcome::CallerDisconnected,
                Err(_) => return RelayOutcome::DeadlineExceeded,
            }
            if let Some(cause) = loss {
                return RelayOutcome::TargetLost(cause);
            }
            if ends {
                return match is_open {
                    true => RelayOutcome::Closed,
                    false => RelayOutcome::Complete,
                };
            }
        }
    }

    /// Appends what follows the last event of a stream whose end was received.
    ///
    /// # Errors
    ///
    /// The stream was broken off: it ended inside an event, or was closed before any new one.
    fn finish_events(
        &mut self,
        events: &mut Vec<u8>,
        source: &ResponseSource,
    ) -> Result<(), LossCause> {
        events.append(&mut self.splitter.finish()?);
        match source.leaves_end_open() && !self.splitter.has_new_event() {
            true => Err(LossCause::EmptyStream),
            false => Ok(()),
        }
    }

    /// Records the time of a write of events.
    fn record_events(&mut self) {
        let now = boot_now();
        match self.first_at {
            None => {
                self.first_at = Some(now);
                let first = now.saturating_sub(self.arrived);
                self.series.record_first_token(first);
            }
            Some(_) => {
                let gap = now.saturating_sub(self.last_at);
                self.series.record_token_gap(gap);
                self.longest_pause = self.longest_pause.max(gap);
            }
        }
        self.last_at = now;
    }
}

/// Reads a complete body. A truncated response must not look complete to the caller, so
/// nothing of it is forwarded before its end was received.
///
/// # Errors
///
/// The body is truncated, malformed or too large, or the responses that are held take too much
/// memory.
pub(crate) async fn collect_body(
    source: &mut ResponseSource,
    memory: &Arc<ByteBudget>,
) -> Result<(Vec<u8>, BytePermit), CallError> {
    let mut body = Vec::new();
    let mut permit = memory.empty_permit();
    let mut chunk = Vec::new();
    loop {
        let is_complete = source.read_body(&mut chunk).await?;
        body.append(&mut chunk);
        if body.len() > MAX_BUFFERED_BYTES {
            return Err(CallError::InvalidResponse);
        }
        if !hold_bytes(&mut permit, body.capacity()) {
            return Err(CallError::NoMemory);
        }
        if is_complete {
            return Ok((body, permit));
        }
    }
}

/// Reserves the memory of a part of a response; returns whether it may be held.
fn hold_bytes(permit: &mut BytePermit, bytes: usize) -> bool {
    permit.resize(bytes.saturating_sub(FREE_BYTES))
}
