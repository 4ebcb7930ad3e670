//! The roster information that peers exchange.

use serde::Deserialize;
use serde::Serialize;

use super::RosterPlan;
use super::RosterTag;
use super::SeatIncarnation;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// What a process knows of rosters; peers exchange it every second and after each
/// change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterDigest {
    /// The sender's incarnation.
    pub incarnation: SeatIncarnation,
    /// Whether the sender may vote.
    pub voting: bool,
    /// The newest roster that the sender knows to be active.
    pub active: Option<RosterTag>,
    /// The successor of `active` that the sender adopted; for a non-voting sender, the
    /// newest roster that it knows.
    pub adopted: Option<RosterTag>,
    /// The newest known incarnation of each host (a crash vector).
    pub incarnations: SortedMap<HostName, SeatIncarnation>,
    /// The bootstrap of the active roster; sent while one of its seats may not vote.
    pub bootstrap: Option<BootstrapRecord>,
    /// The active roster itself; sent while a peer is known to consider an older one
    /// active, since that peer may have missed its document or adopted another one.
    pub plan: Option<RosterPlan>,
}

/// Proof that no seat of a roster was voting at one moment.
///
/// The first seat that observes this starts to vote, so the others can no longer
/// observe it. A seat whose incarnation is listed here accepts the record instead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BootstrapRecord {
    /// The bootstrapped roster.
    pub roster: RosterTag,
    /// The incarnations of its seats, in the order of their names.
    pub incarnations: Vec<SeatIncarnation>,
}
