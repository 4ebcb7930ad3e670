//! What peers tell each other about rosters.

use serde::Deserialize;
use serde::Serialize;

use super::RosterPlan;
use super::RosterTag;
use super::SeatIncarnation;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// What one process knows about rosters; peers exchange it each second and
/// whenever it changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterDigest {
    /// The sender's life.
    pub incarnation: SeatIncarnation,
    /// Whether the sender has a voice.
    pub voting: bool,
    /// The newest roster that the sender knows to be active.
    pub active: Option<RosterTag>,
    /// The successor of `active` that the sender took up; for a sender without a
    /// voice, the newest roster that it knows.
    pub adopted: Option<RosterTag>,
    /// The newest life of each host that the sender heard of (a crash vector).
    pub incarnations: SortedMap<HostName, SeatIncarnation>,
    /// How the active roster was founded; told while one of its seats is voiceless.
    pub bootstrap: Option<BootstrapRecord>,
    /// The active roster itself, told while a peer is known to be behind it: the peer
    /// may have skipped its document, or taken up another one.
    pub plan: Option<RosterPlan>,
}

/// Shows that all seats of a roster were voiceless at once.
///
/// The first seat that sees it has a voice, and the others can't see it any more;
/// a seat whose life stands here takes the record in place of its own look.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BootstrapRecord {
    /// The founded roster.
    pub roster: RosterTag,
    /// The lives of its seats, in the order of their names.
    pub incarnations: Vec<SeatIncarnation>,
}
