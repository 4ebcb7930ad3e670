//! Lookup of targets by name.

use super::pool_entry::PoolEntry;
use super::target_runtime::TargetRuntime;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// Where each target is in the pools.
///
/// Peers report loads by target name many times a second. A scan over all targets for each
/// reported one takes most of a leader's processor time before 3,000 targets.
#[derive(Debug, Default)]
pub(super) struct TargetLocations {
    locations: SortedMap<TargetName, TargetLocation>,
}

#[derive(Debug)]
struct TargetLocation {
    pool: PoolName,
    /// Index among the pool's targets.
    index: usize,
}

impl TargetLocations {
    /// Returns the locations of all targets.
    pub(super) fn of(pools: &SortedMap<PoolName, PoolEntry>) -> Self {
        let in_pool = |(pool, entry): (&PoolName, &PoolEntry)| {
            let targets = entry.targets.iter().enumerate();
            let locations = targets.map(|(index, target)| {
                let pool = pool.clone();
                (target.record.name.clone(), TargetLocation { pool, index })
            });
            locations.collect::<Vec<_>>()
        };
        Self {
            locations: pools.iter().flat_map(in_pool).collect(),
        }
    }

    /// Returns the pool of a target.
    pub(super) fn pool_of(&self, target: &str) -> Option<&PoolName> {
        self.locations.get(target).map(|location| &location.pool)
    }

    /// Returns the state of a target.
    pub(super) fn find_mut<'p>(
        &self,
        pools: &'p mut SortedMap<PoolName, PoolEntry>,
        target: &str,
    ) -> Option<&'p mut TargetRuntime> {
        let location = self.locations.get(target)?;
        let pool = pools.get_mut(&location.pool)?;
        pool.targets.get_mut(location.index)
    }
}
