//! What a host tells its peers each second.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::IncarnationId;
use crate::ids::TargetName;
use crate::ids::TierRank;

/// What a host tells its peers each second; a lost or late one does no harm.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostDigest {
    /// The sender's life.
    pub incarnation: IncarnationId,
    /// Rises with each digest of one life; receivers drop older ones.
    pub sequence: u64,
    /// Rises within a life each time the sender's hosts or slots change.
    pub generation: u32,
    /// The lowest tier that the sender still lets in to engines.
    pub engine_level: TierRank,
    /// The lowest tier that the sender still lets in to services.
    pub service_level: TierRank,
    /// How long new engine work waits, by tier, where it waits at all.
    pub waits: Vec<TierWait>,
    /// One entry a target, in the order of names.
    pub targets: Vec<TargetDemand>,
}

/// A host's part in one target's load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TargetDemand {
    /// The target.
    pub target: TargetName,
    /// Names the division of slots that the sender goes by; 0 while it holds
    /// more than its base share of it.
    pub epoch: u64,
    /// The slots that the sender may fill.
    pub held: u32,
    /// The slots that the sender could use.
    pub wanted: u32,
    /// The sender's work that runs there.
    pub running: u32,
    /// The pace the sender learned, in microseconds a token; 0 when unknown.
    pub pace_us: u32,
    /// The best pace that the sender saw, in microseconds a token; 0 when unknown.
    pub best_us: u32,
    /// The slots that the sender gave each host in this epoch, all added up,
    /// by the host's place in the sorted list; hosts that got none are absent.
    pub lent: Vec<LentSlots>,
}

/// How long new engine work of a tier waits on a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TierWait {
    /// The tier.
    pub tier: TierRank,
    /// The wait, in milliseconds.
    pub wait_ms: u32,
}

/// The slots that a host gave one peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LentSlots {
    /// The peer's place in the sorted list of hosts.
    pub host_index: u16,
    /// All that it was given, added up.
    pub slots: u32,
}
