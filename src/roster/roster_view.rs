//! What the claim protocol needs to know of rosters.

use super::RosterTag;
use crate::ids::HostName;
use crate::ids::UnixMillis;

/// The active roster as a caller of claims sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterView {
    /// The active roster.
    pub tag: RosterTag,
    /// The active roster's hosts, sorted.
    pub seats: Vec<HostName>,
    /// The replaced roster's hosts, sorted; empty when there is none or it is not known.
    pub former: Vec<HostName>,
    /// Ids timed up to here need a majority of both rosters.
    pub former_until: UnixMillis,
}

/// For which ids a seat speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VotingRange {
    /// The seat speaks for ids timed later than this.
    pub since: UnixMillis,
    /// Ids timed up to here need a majority of the former roster as well.
    pub former_until: UnixMillis,
}
