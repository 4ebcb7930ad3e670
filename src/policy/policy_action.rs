//! The actions that the policy requests from its host, and the outcomes that the host reports.

use std::time::Duration;

use crate::errors::ErrorKind;
use crate::ids::HostName;
use crate::ids::TargetName;

use super::WorkId;

/// An action that the host must take at once on one piece of work.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyAction {
    /// Send the work to the target. Its slot stays taken until `record_end`.
    Dispatch {
        /// The work.
        work: WorkId,
        /// The target.
        target: TargetName,
    },
    /// Refuse the work; this is the caller's final answer.
    Refuse {
        /// The work.
        work: WorkId,
        /// The reason.
        kind: ErrorKind,
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// Forward the work, which was not dispatched, to a peer.
    Forward {
        /// The work.
        work: WorkId,
        /// The peer.
        host: HostName,
    },
}

/// The outcome of dispatched work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkOutcome {
    /// The complete answer arrived.
    Finished,
    /// The target was lost or became unresponsive after the dispatch.
    Failed,
    /// Nothing was sent, so another target may be tried.
    NotSent,
    /// The caller left and the work was cancelled.
    Cancelled,
}
