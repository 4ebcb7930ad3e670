//! Sharding of a large pool's targets among groups of hosts.

use crate::members::GroupShare;

/// The largest pool that is not sharded; every host prefers all of its targets.
const MAX_UNSHARDED_TARGETS: usize = 20;

/// The subset of a pool's targets that a group of hosts prefers, so that few hosts compete
/// for one target's slots and each knows the others' load there.
///
/// This limits contention between many hosts and many targets. Groups and targets are both
/// sorted by zone, and each group gets an equal, contiguous range of targets. If zones have
/// equally many targets, these are the targets of the group's own zone; if a zone has lost its
/// targets, its groups get some of the others'.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardRange {
    share: GroupShare,
}

/// A target's position among those of its pool, sorted by zone and name.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetPosition {
    /// Number of targets before it.
    pub(super) index: usize,
    /// Number of targets.
    pub(super) count: usize,
}

impl ShardRange {
    /// Creates the range of a group with this share.
    pub const fn new(share: GroupShare) -> Self {
        Self { share }
    }

    /// Returns whether the group prefers a target.
    pub(super) const fn contains(&self, position: TargetPosition) -> bool {
        let share = &self.share;
        if position.count <= MAX_UNSHARDED_TARGETS || share.groups <= 1 {
            return true;
        }
        position.index * share.groups / position.count == share.index
    }
}
