//! The load digest that a host sends to its peers every second.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IncarnationId;
use crate::ids::TargetName;
use crate::ids::TierRank;

/// The load digest that a host sends to its peers every second. Lost and late digests do no
/// harm.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostDigest {
    /// The sender's incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each digest of one incarnation; receivers drop older digests.
    pub sequence: u64,
    /// Increases within an incarnation each time the sender's hosts or slots change.
    pub generation: u32,
    /// The lowest tier that the sender admits to engines.
    pub engine_level: TierRank,
    /// The lowest tier that the sender admits to services.
    pub service_level: TierRank,
    /// The wait of new engine work, for each tier with waiting work.
    pub waits: Vec<TierWait>,
    /// One entry per target, sorted by name.
    pub targets: Vec<TargetDemand>,
}

/// A host's share of one target and its demand for it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetDemand {
    /// The target.
    pub target: TargetName,
    /// The epoch of the division of slots that the sender uses; 0 while it holds more than its
    /// base share.
    pub epoch: u64,
    /// The slots that the sender may fill.
    pub held: u32,
    /// The slots that the sender could use.
    pub wanted: u32,
    /// The sender's work that runs at the target.
    pub running: u32,
    /// The time per token learned by the sender, in microseconds; 0 if unknown.
    pub pace_us: u32,
    /// The best time per token seen by the sender, in microseconds; 0 if unknown.
    pub best_us: u32,
    /// The total slots that the sender has lent to each host in this epoch. Hosts that it lent
    /// none are absent.
    pub lent: Vec<LentSlots>,
}

/// The wait of new engine work of a tier on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TierWait {
    /// The tier.
    pub tier: TierRank,
    /// The wait, in milliseconds.
    pub wait_ms: u32,
}

/// The slots that a host has lent to one peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LentSlots {
    /// The peer's index in the sorted list of hosts.
    pub host_index: u16,
    /// Total number of slots lent.
    pub slots: u32,
}
