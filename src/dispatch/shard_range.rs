//! Sharding of a large pool's targets among groups of hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::members::GroupShare;

/// The largest pool that is not sharded; every host prefers all of its targets.
const MAX_UNSHARDED_TARGETS: usize = 20;

/// The subset of a pool's targets that a group of hosts prefers, so that few hosts compete
/// for one target's slots and each knows the others' load there.
///
/// This limits contention between many hosts and many targets. Groups and targets are both
/// sorted by zone, and each group gets an equal, contiguous range of targets. If zones have
/// equally many targets, these are the targets of the group's own zone; if a zone has lost its
/// targets, its groups get some of the others'. Under load the ranges follow the groups'
/// demands; see [`ShardWeights`](super::ShardWeights).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardRange {
    share: GroupShare,
}

/// A range of a pool's targets, sorted by zone and name, as fractions of their number in units
/// of [`ShardSpan::UNITS`]. A fraction remains valid when targets come and go.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardSpan {
    /// Where the range starts.
    pub start: u32,
    /// Where it ends.
    pub end: u32,
}

/// A target's position among those of its pool, sorted by zone and name.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetPosition {
    /// Number of targets before it.
    pub(super) index: usize,
    /// Number of targets.
    pub(super) count: usize,
}

impl ShardSpan {
    /// The end of the last range. A unit is far less than one target of the largest pools.
    pub const UNITS: u32 = 1_000_000;

    /// Returns the range of a group if all groups have equal ranges.
    pub fn equal(group: usize, groups: usize) -> Self {
        let bound = |group: usize| (group * Self::UNITS as usize / groups.max(1)) as u32;
        Self {
            start: bound(group),
            end: bound(group + 1),
        }
    }

    /// Returns whether a target is in the range.
    pub(super) const fn contains(self, position: TargetPosition) -> bool {
        let scaled = position.index as u64 * Self::UNITS as u64;
        let count = position.count as u64;
        self.start as u64 * count <= scaled && scaled < self.end as u64 * count
    }
}

impl ShardRange {
    /// Creates the range of a group with this share.
    pub const fn new(share: GroupShare) -> Self {
        Self { share }
    }

    /// Returns whether a pool with this number of targets is sharded.
    pub(super) const fn applies_to(&self, count: usize) -> bool {
        count > MAX_UNSHARDED_TARGETS && self.share.groups > 1
    }

    /// Returns whether the group prefers a target; `span` is its range if it is not an equal one.
    pub(super) const fn contains(&self, position: TargetPosition, span: Option<ShardSpan>) -> bool {
        if !self.applies_to(position.count) {
            return true;
        }
        match span {
            Some(span) => span.contains(position),
            None => position.index * self.share.groups / position.count == self.share.index,
        }
    }
}
