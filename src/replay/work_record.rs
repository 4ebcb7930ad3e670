//! The record of one request of a replay.

use std::time::Duration;

use crate::ids::TokenCount;

/// The progress and outcome of one request of a trace.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkRecord {
    /// The host that currently has it, as an index into the header.
    pub(super) host: usize,
    /// The target to which it was dispatched, as an index into the header.
    pub(super) target: Option<usize>,
    /// The time from arrival to the first token.
    pub(super) first_token: Option<Duration>,
    /// `None` until the request ends.
    pub(super) outcome: Option<RecordOutcome>,
    /// The time from arrival to the end.
    pub(super) time_to_end: Duration,
    /// Number of times that it was forwarded to a peer.
    pub(super) forward_count: u32,
    /// Prompt tokens that were prefilled for it.
    pub(super) computed: TokenCount,
    /// Prompt tokens that were prefilled for it although another request had prefilled them.
    pub(super) repeated: TokenCount,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RecordOutcome {
    /// The complete answer arrived before the deadline.
    Useful,
    /// It was dispatched, but the deadline passed first.
    Late,
    /// It was refused.
    Refused,
    /// Its host failed.
    Lost,
}
