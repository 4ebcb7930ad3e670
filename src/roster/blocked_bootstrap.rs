//! A bootstrap that is blocked by seats voting in an older roster.

use derive_more::Display;

use crate::ids::HostName;
use crate::ids::RosterNumber;

/// A roster that a document allows to be bootstrapped while some of its seats still
/// vote in an older one.
///
/// Operators may set `former_lost` while a host survives and keeps its seat. The new
/// hosts learn the old roster from it, put the document in force and never get to vote;
/// this report tells the operators why.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display(
    "roster {roster} is not founded while seats of it speak for roster {active}; \
     if that roster is lost, stop or restart: {}",
    hosts.join(", ")
)]
pub struct BlockedBootstrap {
    /// The roster that waits to be bootstrapped.
    pub roster: RosterNumber,
    /// The roster that is still active.
    pub active: RosterNumber,
    /// The waiting roster's hosts that were voting when last heard from, sorted.
    pub hosts: Vec<HostName>,
}
