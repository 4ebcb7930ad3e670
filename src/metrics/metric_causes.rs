//! The values of the metric labels `cause` and `reason`.

use derive_more::Display;

/// Why prompt processing was wasted or repeated.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PrefillWaste {
    /// The caller disconnected before the answer was complete.
    #[display("caller-left")]
    CallerLeft,
    /// The deadline passed while the engine was working.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The request was cancelled in favour of one with a higher priority.
    #[display("displaced")]
    Displaced,
    /// The prompt of a resumed stream was processed again.
    #[display("resumed")]
    Resumed,
    /// The target was lost while running the request.
    #[display("target-lost")]
    TargetLost,
}

/// Why a peer's connection was refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusedPeer {
    /// It did not prove possession of the key.
    #[display("authentication")]
    Authentication,
    /// It sent an invalid message, or one that exceeds the size limit.
    #[display("malformed")]
    Malformed,
    /// It uses another version of the protocol.
    #[display("version")]
    Version,
}
