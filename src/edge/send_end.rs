//! How one send to a target ended.

use super::answer_relay::SILENT;
use crate::dispatch::WorkEnd;
use crate::wire::AnswerMessage;

/// How one send ended.
#[derive(Debug)]
pub(crate) enum SendEnd {
    /// The caller has its answer.
    Done { status: u16 },
    /// The caller has left; what runs is given up, or goes on by itself.
    CallerGone,
    /// The request's time is over.
    TimeOver,
    /// The target refused it and did not run it.
    NotRun(String),
    /// No whole answer came; the target may have run it.
    Lost(String),
    /// The target's own failure, whole; another target may do better.
    Failure { head: AnswerMessage, body: Vec<u8> },
}

impl SendEnd {
    /// Returns what the end tells of the target.
    pub(crate) fn work_end(&self) -> WorkEnd {
        match self {
            Self::Done { status } if *status >= 500 => WorkEnd::Failed,
            Self::Done { .. } => WorkEnd::Served,
            Self::CallerGone | Self::TimeOver => WorkEnd::GivenUp,
            Self::NotRun(_) => WorkEnd::Rejected,
            Self::Lost(cause) if cause == SILENT => WorkEnd::Silent,
            Self::Lost(_) | Self::Failure { .. } => WorkEnd::Failed,
        }
    }
}
