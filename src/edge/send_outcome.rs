//! Outcome of one attempt to send a request to a target.

use derive_more::Display;

use super::event_splitter::IncompleteEvent;
use super::event_splitter::MAX_EVENT_BYTES;
use super::response_relay::BufferedResponse;
use super::target_call::CallError;
use crate::dispatch::AttemptOutcome;

/// Why an attempt got no complete response although the target may have run the request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum LossCause {
    /// The connection was closed before the response was complete.
    #[display("connection closed before the response was complete")]
    ConnectionClosed,
    /// The response is malformed or belongs to another request.
    #[display("invalid response")]
    InvalidResponse,
    /// The stream ended inside an event, however the target declared its end.
    #[display("stream ended inside an event")]
    IncompleteEvent,
    /// The target sent an event that exceeds the maximum size.
    #[display("event of more than {MAX_EVENT_BYTES} bytes")]
    OversizedEvent,
    /// The host's memory for responses is used up.
    #[display("no memory for the response")]
    NoMemory,
    /// The stream was closed before its first event.
    #[display("stream closed before its first event")]
    EmptyStream,
    /// The response has no length, and the target accepts no connections behind its end.
    #[display("connection closed by a target that can't be reached")]
    UnverifiedEnd,
    /// The target sent nothing for too long.
    #[display("silent")]
    Unresponsive,
    /// A status that implies that nothing ran, without the header by which the target
    /// confirms it.
    #[display("status {_0} without confirmation that nothing ran")]
    UnconfirmedStatus(u16),
    /// A response that is not the continuation of a stream.
    #[display("status {_0} instead of the rest of the stream")]
    NotResumed(u16),
}

impl LossCause {
    /// Returns whether the target may have crashed while it ran the request.
    pub(crate) const fn may_be_crash(self) -> bool {
        matches!(
            self,
            Self::ConnectionClosed
                | Self::InvalidResponse
                | Self::IncompleteEvent
                | Self::EmptyStream
                | Self::UnverifiedEnd
        )
    }
}

/// Outcome of one attempt.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The response was delivered to the caller.
    Delivered { status: u16 },
    /// The caller disconnected. The attempt is cancelled, or left to finish at the
    /// target.
    CallerDisconnected,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The target refused the request and did not run it.
    NotRun(String),
    /// No complete response was received; the target may have run the request.
    Lost(LossCause),
    /// A complete error response of the target; another target may succeed.
    TargetFailure(BufferedResponse),
}

impl SendOutcome {
    /// Returns what the outcome says about the target.
    pub(crate) fn attempt_outcome(&self) -> AttemptOutcome {
        match self {
            Self::Delivered { status } if *status >= 500 => AttemptOutcome::Failed,
            Self::Delivered { .. } => AttemptOutcome::Succeeded,
            Self::CallerDisconnected | Self::DeadlineExceeded | Self::Lost(LossCause::NoMemory) => {
                AttemptOutcome::Cancelled
            }
            Self::NotRun(_) => AttemptOutcome::Rejected,
            Self::Lost(LossCause::Unresponsive) => AttemptOutcome::Unresponsive,
            Self::Lost(_) | Self::TargetFailure(_) => AttemptOutcome::Failed,
        }
    }
}

impl From<IncompleteEvent> for LossCause {
    fn from(_: IncompleteEvent) -> Self {
        Self::IncompleteEvent
    }
}

impl From<CallError> for LossCause {
    fn from(error: CallError) -> Self {
        match error {
            CallError::ConnectionClosed => Self::ConnectionClosed,
            CallError::InvalidResponse => Self::InvalidResponse,
            CallError::NoMemory => Self::NoMemory,
        }
    }
}
