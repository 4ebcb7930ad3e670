//! The shards of a host's pools whose ranges follow demand.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PoolTable;
use super::ShardSpan;
use super::pool_entry::PoolEntry;
use super::shard_range::TargetPosition;
use super::target_choice::shortest_mean_gap;
use super::target_runtime::TargetRuntime;
use crate::ids::PoolName;

/// How long a range is used without renewal by the leader; after that, ranges are equal.
const SPAN_LIFETIME: Duration = Duration::from_millis(1500);

/// The range of a pool's targets that the hosts of a group prefer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolSpan {
    /// The pool.
    pub pool: PoolName,
    /// Its range.
    pub span: ShardSpan,
}

/// A range that differs from the equal one, and when it expires.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldSpan {
    pub(super) span: ShardSpan,
    expires_at: Duration,
}

impl PoolTable {
    /// Sets the ranges of this host's group. Pools that are not listed have equal ranges.
    pub fn set_shard_spans(&mut self, spans: &[PoolSpan], now: Duration) {
        let shard = &self.shard;
        for (name, pool) in self.pools.iter_mut() {
            let given = spans.iter().find(|given| given.pool == *name);
            let held = given.map(|given| HeldSpan {
                span: given.span,
                expires_at: now + SPAN_LIFETIME,
            });
            let changes = span_of(pool) != held.map(|held| held.span);
            pool.span = held;
            if changes {
                pool.mark_shard(shard);
            }
        }
    }

    /// Returns to equal ranges in pools whose range was not renewed.
    pub fn expire_shard_spans(&mut self, now: Duration) {
        let shard = &self.shard;
        for (_, pool) in self.pools.iter_mut() {
            if pool.span.is_some_and(|held| now >= held.expires_at) {
                pool.span = None;
                pool.mark_shard(shard);
            }
        }
    }

    /// Returns the ranges that differ from equal ones.
    pub fn shard_spans(&self) -> Vec<PoolSpan> {
        let spans = self.pools.iter().filter_map(|(name, pool)| {
            Some(PoolSpan {
                pool: name.clone(),
                span: span_of(pool)?,
            })
        });
        spans.collect()
    }

    /// Returns the number of targets in this host's shard, for each sharded pool of engines.
    pub fn shard_sizes(&self) -> Vec<(PoolName, usize)> {
        let pools = self.sharded().map(|(name, pool)| {
            let targets = pool.targets.iter();
            let in_shard = targets.filter(|target| target.in_shard);
            (name.clone(), in_shard.count())
        });
        pools.collect()
    }

    /// Returns the pools of engines that are sharded.
    pub(super) fn sharded_pools(&self) -> Vec<PoolName> {
        self.sharded().map(|(name, _)| name.clone()).collect()
    }

    fn sharded(&self) -> impl Iterator<Item = (&PoolName, &PoolEntry)> {
        let engines = self.pools.iter().filter(|(_, pool)| pool.engine);
        engines.filter(|(_, pool)| self.shard.applies_to(ready_count(pool)))
    }

    /// Returns the range of a pool if it differs from the equal one.
    pub(super) fn shard_span(&self, pool: &str) -> Option<ShardSpan> {
        self.pools.get(pool).and_then(span_of)
    }

    /// Returns the shortest mean gap between events of the pool's targets, in milliseconds.
    pub(super) fn shortest_gap(&self, pool: &str) -> Option<f64> {
        shortest_mean_gap(&self.pools.get(pool)?.targets)
    }

    /// Returns the capacity of a range: the slots of its targets, each multiplied by the target's
    /// speed relative to one whose mean gap between events is `shortest_gap`. A target that was
    /// not measured counts as the mean of the others.
    pub(super) fn span_capacity(
        &self,
        pool: &str,
        span: ShardSpan,
        shortest_gap: Option<f64>,
    ) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return 0.0;
        };
        let count = ready_count(pool);
        let ready = pool.targets.iter();
        let ready = ready.filter(|target| target.is_registered_ready());
        let in_span = ready.enumerate().filter_map(|(index, target)| {
            let position = TargetPosition { index, count };
            span.contains(position).then_some(target)
        });
        let (mut measured, mut speeds, mut unmeasured) = (0.0, 0.0, 0.0);
        for target in in_span.filter(|target| target.is_accepting()) {
            let slots = f64::from(target.record.slots);
            match target.gaps.mean_ms() {
                Some(_) => {
                    measured += slots;
                    speeds += slots / target.slowness(shortest_gap);
                }
                None => unmeasured += slots,
            }
        }
        match measured > 0.0 {
            true => speeds * (1.0 + unmeasured / measured),
            false => unmeasured,
        }
    }

    /// Returns by how much the running requests of this host and those that report to it, counted
    /// as slots, exceed the work that they do, as they hold slow targets for longer.
    pub(super) fn slow_running(&self, pool: &str, shortest_gap: Option<f64>) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return 0.0;
        };
        let loads = self.group_loads();
        let running_at = |target: &TargetRuntime| {
            let name = &target.record.name;
            let index = loads.binary_search_by(|load| load.target.cmp(name));
            index.map_or(0, |index| loads[index].running)
        };
        let targets = pool.targets.iter();
        let slow = targets.filter(|target| target.gaps.mean_ms().is_some());
        let excess = slow.map(|target| {
            let speed = 1.0 / target.slowness(shortest_gap);
            f64::from(running_at(target)) * (1.0 - speed)
        });
        excess.sum()
    }
}

fn span_of(pool: &PoolEntry) -> Option<ShardSpan> {
    pool.span.map(|held| held.span)
}

fn ready_count(pool: &PoolEntry) -> usize {
    let targets = pool.targets.iter();
    targets
        .filter(|target| target.is_registered_ready())
        .count()
}
