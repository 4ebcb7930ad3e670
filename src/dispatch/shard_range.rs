//! Which targets a host prefers in a large fleet.

use crate::members::GroupShare;

/// Up to how many targets every host uses all.
const SHARED_TARGETS: usize = 20;

/// The subset of a pool's targets that a group of hosts prefers, so that few hosts compete
/// for one target's slots and each knows what the others run there.
///
/// Load it answers: many hosts before many targets. Groups stand in the order of their zones,
/// as targets do, and each takes an equal run of them: where zones have alike many targets,
/// those of its own zone, and a part of the others' where a zone has lost its targets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardRange {
    share: GroupShare,
}

/// A target's place among those of its pool, in the order of zones and names.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetPlace {
    /// How many stand before it.
    pub(super) index: usize,
    /// How many there are.
    pub(super) count: usize,
}

impl ShardRange {
    /// Makes the range of a group in `own_zone`.
    pub const fn new(share: GroupShare) -> Self {
        Self { share }
    }

    /// Tells whether the group prefers a target.
    pub(super) const fn holds(&self, place: TargetPlace) -> bool {
        let share = &self.share;
        if place.count <= SHARED_TARGETS || share.groups <= 1 {
            return true;
        }
        place.index * share.groups / place.count == share.index
    }
}
