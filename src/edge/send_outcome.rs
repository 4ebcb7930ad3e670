//! How one send to a target ended.

use derive_more::Display;

use super::target_call::CallError;
use crate::dispatch::AttemptOutcome;
use crate::wire::AnswerMessage;

/// Why a send brought no whole answer although the target may have run it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum LossCause {
    /// The connection ended early.
    #[display("the connection ended early")]
    Cut,
    /// What came is no answer, or another request's.
    #[display("the answer can't be trusted")]
    Broken,
    /// The target said nothing for too long.
    #[display("silent")]
    Silent,
    /// A status that promises that nothing ran, without the target's word for it.
    #[display("status {_0} without proof")]
    Unproven(u16),
    /// An answer of another kind where a stream was to go on.
    #[display("status {_0} in place of the rest")]
    NotTheRest(u16),
}

/// How one send ended.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The caller has its answer.
    Done { status: u16 },
    /// The caller has left; what runs is given up, or goes on by itself.
    CallerGone,
    /// The request's time is over.
    TimeOver,
    /// The target refused it and did not run it.
    NotRun(String),
    /// No whole answer came; the target may have run it.
    Lost(LossCause),
    /// The target's own failure, whole; another target may do better.
    Failure { head: AnswerMessage, body: Vec<u8> },
}

impl SendOutcome {
    /// Returns what the end tells of the target.
    pub(crate) fn attempt_outcome(&self) -> AttemptOutcome {
        match self {
            Self::Done { status } if *status >= 500 => AttemptOutcome::Failed,
            Self::Done { .. } => AttemptOutcome::Succeeded,
            Self::CallerGone | Self::TimeOver => AttemptOutcome::Cancelled,
            Self::NotRun(_) => AttemptOutcome::Rejected,
            Self::Lost(LossCause::Silent) => AttemptOutcome::Unresponsive,
            Self::Lost(_) | Self::Failure { .. } => AttemptOutcome::Failed,
        }
    }
}

impl From<CallError> for LossCause {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Cut => Self::Cut,
            CallError::Broken => Self::Broken,
        }
    }
}
