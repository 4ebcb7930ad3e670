//! Passes a target's answer on to the caller.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_lite::future::or;

use super::caller_connection::CallerConnection;
use super::event_splitter::EventSplitter;
use super::response_writer::ResponseFraming;
use super::response_writer::frame_chunk;
use super::response_writer::frame_end;
use super::response_writer::response_head_from;
use super::response_writer::stream_framing;
use super::response_writer::write_bytes;
use super::send_outcome::LossCause;
use super::target_call::CallError;
use super::target_call::TargetCall;
use crate::clock::boot_now;
use crate::dispatch::SlotGuard;
use crate::metrics::RequestSeries;
use crate::wire::AnswerMessage;
use crate::wire::RequestMessage;

/// The largest answer that is collected before it goes out, in bytes. A larger one
/// would take the memory of all the others.
const MAX_COLLECTED_BYTES: usize = 16 << 20;

/// How a stream's relay ended.
#[derive(Debug)]
pub(crate) enum RelayOutcome {
    /// The answer is whole at the caller.
    Whole,
    /// The caller left.
    CallerGone,
    /// The request's time is over.
    TimeOver,
    /// The target stopped, or said nothing for too long.
    TargetLost(LossCause),
}

/// What one turn of the relay brought.
enum RelayEvent {
    Target(Result<bool, CallError>),
    CallerGone,
    TimeOver,
    Silent,
}

/// What the caller has got of a streamed answer, over all sends.
#[derive(Debug)]
pub(crate) struct StreamProgress {
    splitter: EventSplitter,
    /// Whether anything was written to the caller.
    pub(crate) began: bool,
    first_at: Option<Duration>,
    last_at: Duration,
    longest_pause: Duration,
    arrived: Duration,
    series: Arc<RequestSeries>,
    framing: Option<ResponseFraming>,
}

/// When the relay of a stream gives up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayLimits {
    /// When the request's time is over, on the boot clock.
    pub(crate) deadline: Duration,
    /// How long the target may say nothing before another one is asked to go on; `None`
    /// where nobody could.
    pub(crate) silence: Option<Duration>,
}

impl StreamProgress {
    /// Begins the answer of a request that arrived at `arrived`, on the boot clock.
    pub(crate) fn new(arrived: Duration, series: Arc<RequestSeries>) -> Self {
        Self {
            splitter: EventSplitter::default(),
            began: false,
            first_at: None,
            last_at: arrived,
            longest_pause: Duration::ZERO,
            arrived,
            series,
            framing: None,
        }
    }

    /// Returns the id of the last event that the caller got.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Returns when the first bytes went out, on the boot clock.
    pub(crate) const fn first_at(&self) -> Option<Duration> {
        self.first_at
    }

    /// Returns the longest pause between two events that went out.
    pub(crate) const fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Passes events on as they come. A silent target is left only where `can_resume` says that
    /// another one has room for the rest. The head goes out with the first one: until
    /// then another target can still answer.
    pub(crate) async fn relay(
        &mut self,
        caller: &mut CallerConnection,
        request: &RequestMessage,
        call: &mut TargetCall,
        slot: &mut SlotGuard,
        bounds: RelayLimits,
        can_resume: impl Fn() -> bool,
    ) -> RelayOutcome {
        let mut received = Vec::new();
        let left = bounds.deadline.saturating_sub(boot_now());
        let mut time_over = Box::pin(task::sleep(left));
        // What was held back of a cut event comes again from the next target.
        self.splitter.take_rest();
        loop {
            received.clear();
            let turn = {
                let target = async { RelayEvent::Target(call.read_body(&mut received).await) };
                let gone = async {
                    caller.disconnected().await;
                    RelayEvent::CallerGone
                };
                let over = async {
                    (&mut time_over).await;
                    RelayEvent::TimeOver
                };
                let silent = async {
                    match bounds.silence {
                        Some(silence) => task::sleep(silence).await,
                        None => std::future::pending().await,
                    }
                    RelayEvent::Silent
                };
                or(target, or(gone, or(over, silent))).await
            };
            let whole = match turn {
                RelayEvent::Target(Ok(whole)) => whole,
                RelayEvent::Target(Err(error)) => return RelayOutcome::TargetLost(error.into()),
                RelayEvent::CallerGone => return RelayOutcome::CallerGone,
                RelayEvent::TimeOver => return RelayOutcome::TimeOver,
                RelayEvent::Silent if can_resume() => {
                    return RelayOutcome::TargetLost(LossCause::Silent);
                }
                // The target may be slow only, and a cut answer helps nobody.
                RelayEvent::Silent => continue,
            };
            let mut events = self.splitter.take_events(&mut received);
            if whole {
                events.append(&mut self.splitter.take_rest());
            }
            if events.is_empty() && !whole {
                continue;
            }
            slot.record_event();
            let output = self.frame(request, &call.head, caller.reusable, &events, whole);
            let written = timeout(
                bounds.deadline.saturating_sub(boot_now()),
                write_bytes(&caller.stream, &output),
            );
            match written.await {
                Ok(Ok(())) => {
                    self.began = true;
                    self.record_events();
                }
                Ok(Err(_)) => return RelayOutcome::CallerGone,
                Err(_) => return RelayOutcome::TimeOver,
            }
            if whole {
                return RelayOutcome::Whole;
            }
        }
    }

    /// Records when events went out.
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

    fn frame(
        &mut self,
        request: &RequestMessage,
        head: &AnswerMessage,
        reusable: bool,
        events: &[u8],
        whole: bool,
    ) -> Vec<u8> {
        let mut output = Vec::with_capacity(events.len() + 512);
        let framing = match self.framing {
            Some(framing) => framing,
            None => {
                let framing = stream_framing(request);
                output = response_head_from(head, framing, !reusable);
                self.framing = Some(framing);
                framing
            }
        };
        frame_chunk(framing, events, &mut output);
        if whole {
            frame_end(framing, &mut output);
        }
        output
    }
}

/// Reads a whole body. An answer that is cut must not look complete, so nothing of
/// it goes out before its end is proven.
///
/// # Errors
///
/// The body was cut, is broken or too large.
pub(crate) async fn collect_body(call: &mut TargetCall) -> Result<Vec<u8>, CallError> {
    let mut body = Vec::new();
    let mut piece = Vec::new();
    loop {
        let whole = call.read_body(&mut piece).await?;
        body.append(&mut piece);
        if whole {
            return Ok(body);
        }
        if body.len() > MAX_COLLECTED_BYTES {
            return Err(CallError::Broken);
        }
    }
}

/// Writes a collected answer to the caller; returns whether it arrived there.
pub(crate) async fn write_collected(
    caller: &CallerConnection,
    head: &AnswerMessage,
    body: &[u8],
    limit: Duration,
) -> bool {
    let framing = ResponseFraming::Length(body.len());
    let mut output = response_head_from(head, framing, !caller.reusable);
    output.extend_from_slice(body);
    let written = timeout(limit, write_bytes(&caller.stream, &output));
    matches!(written.await, Ok(Ok(())))
}
