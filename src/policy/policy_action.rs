//! What the policy asks its host to do, and what the host tells it of the end of work.

use std::time::Duration;

use crate::errors::ErrorKind;
use crate::ids::HostName;
use crate::ids::TargetName;

use super::WorkId;

/// What the host is asked to do with one piece of work, at once.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyAction {
    /// Send the work to the target; its slot stays taken until `ended`.
    Dispatch {
        /// The work.
        work: WorkId,
        /// Where it goes.
        target: TargetName,
    },
    /// Give the caller its final answer now.
    Refuse {
        /// The work.
        work: WorkId,
        /// Why it is turned away.
        kind: ErrorKind,
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// Hand the work, which was not dispatched, to a peer.
    HandOver {
        /// The work.
        work: WorkId,
        /// The peer.
        host: HostName,
    },
}

/// How dispatched work ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkOutcome {
    /// The whole answer came.
    Finished,
    /// The target was lost or fell silent after the dispatch.
    Failed,
    /// No byte went out, so another target may be tried.
    NotSent,
    /// The caller went away and the work was cancelled.
    Cancelled,
}
