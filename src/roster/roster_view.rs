//! The active roster and a seat's voting range, as needed by the claim protocol.

use super::RosterTag;
use crate::ids::HostName;
use crate::ids::UnixMillis;

/// The active roster, as needed to make claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterView {
    /// The active roster.
    pub tag: RosterTag,
    /// The active roster's hosts, sorted.
    pub seats: Vec<HostName>,
    /// The replaced roster's hosts, sorted; empty if there is none or it is unknown.
    pub former: Vec<HostName>,
    /// Ids timed up to here need majorities of both rosters.
    pub former_until: UnixMillis,
}

/// The range of ids that a seat may vote on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VotingRange {
    /// The seat may vote on ids timed later than this.
    pub since: UnixMillis,
    /// Ids timed up to here also need a majority of the former roster.
    pub former_until: UnixMillis,
}
