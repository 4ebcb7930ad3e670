//! The software versions of each pool's targets.

use std::time::Duration;

use super::stream_directory::RETENTION;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::sorted::SortedMap;

/// How long a version is remembered of which no target is left: longer than the longest deadline of a
/// request.
const VERSION_RETENTION: Duration = Duration::from_secs(320);

/// The software versions of each pool's targets, those included that are gone.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    pools: SortedMap<PoolName, PoolVersions>,
}

#[derive(Debug, Default)]
struct PoolVersions {
    /// When the last target of each version was removed; `None` while any is registered.
    versions: SortedMap<SoftwareVersion, Option<Duration>>,
    /// When the pool last got a version beside others.
    mixed_since: Duration,
}

impl VersionHistory {
    /// Replaces the registered versions.
    pub(super) fn update(
        &mut self,
        registered: impl Iterator<Item = (PoolName, SoftwareVersion)>,
        now: Duration,
    ) {
        for (_, pool) in self.pools.iter_mut() {
            for (_, gone_at) in pool.versions.iter_mut() {
                gone_at.get_or_insert(now);
            }
        }
        for (name, version) in registered {
            let pool = self.pools.get_or_insert_with(name, PoolVersions::default);
            if !pool.versions.contains_key(&version) && !pool.versions.is_empty() {
                pool.mixed_since = now;
            }
            pool.versions.insert(version, None);
        }
        let is_kept = |gone_at: &Option<Duration>| {
            gone_at.is_none_or(|at| now.saturating_sub(at) < VERSION_RETENTION)
        };
        for (_, pool) in self.pools.iter_mut() {
            pool.versions.retain(|_, gone_at| is_kept(gone_at));
        }
        self.pools.retain(|_, pool| !pool.versions.is_empty());
    }

    /// Returns the versions that the pool has or had within `period`, sorted.
    pub(super) fn versions(
        &self,
        pool: &str,
        period: Duration,
        now: Duration,
    ) -> Vec<SoftwareVersion> {
        let pool = self.pools.get(pool);
        let versions = pool.into_iter().flat_map(|pool| pool.versions.iter());
        let kept = versions
            .filter(|(_, gone_at)| gone_at.is_none_or(|at| now.saturating_sub(at) <= period));
        kept.map(|(version, _)| version.clone()).collect()
    }

    /// Returns the pools that have or lately had several versions, and since when, sorted.
    pub(super) fn mixed_pools(&self, now: Duration) -> Vec<(PoolName, Duration)> {
        let mixed = self
            .pools
            .iter()
            .filter(|(name, _)| self.versions(name, RETENTION, now).len() > 1);
        mixed
            .map(|(name, pool)| (name.clone(), pool.mixed_since))
            .collect()
    }
}
