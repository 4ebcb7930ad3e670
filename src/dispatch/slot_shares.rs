//! Division of a shard's slots among the hosts of a group when demand exceeds them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::QueueRank;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::sorted::SortedMap;

/// The ratio of wanted to existing slots at or above which the slots are divided.
const DIVISION_THRESHOLD: f64 = 1.0;
/// The same with fast division, where the slots of slow targets count by their speed. Hosts fill
/// the fast targets first, so that their queues would grow long before all slots are in use.
const FAST_DIVISION_START: f64 = 0.85;
/// The ratio below which fast division ends. At a single threshold, the slots would be divided and
/// freed again with each report.
const FAST_DIVISION_END: f64 = 0.7;
/// The ratio of granted to existing slots. Some granted slots are briefly free, and a target
/// queues the excess.
const OVERCOMMIT_FACTOR: f64 = 1.05;
/// How long a host's demand counts without a new report.
const DEMAND_TTL: Duration = Duration::from_millis(1500);

/// The most requests of one priority that a report counts. A host has descriptors for some thousands,
/// and the sums of 1,200 hosts fit a `u32`.
const MAX_DEMAND: u32 = 1 << 16;

/// The number of slots wanted by requests of one rank, running ones included.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotDemand {
    /// The pool.
    pub pool: PoolName,
    /// The rank; running requests count as in time.
    pub rank: QueueRank,
    /// Number of slots wanted.
    pub slots: u32,
    /// Number of requests that were refused as overloaded, decayed over a second.
    pub refused: u32,
}

#[derive(Clone, Debug)]
struct HostDemand {
    demands: Vec<SlotDemand>,
    reported_at: Duration,
}

/// Computes, at the leader of a group, how its hosts divide the slots of their shard.
///
/// In a burst beyond the targets' capacity, each host sees the same few slots become free and
/// all hosts send; the excess waits in the targets' queues, which have no priorities, and
/// becomes late. With its own slots, a host keeps requests in its own queue until a slot is
/// free. Requests of the first rank get slots first, regardless of the host at which they wait.
#[derive(Debug, Default)]
pub struct SlotShares {
    hosts: SortedMap<HostName, HostDemand>,
    /// Whether slots are divided before they are full, and refused requests count.
    divides_fast: bool,
    /// Pools whose slots are divided.
    divided: Vec<PoolName>,
}

impl SlotShares {
    /// Sets whether slots are divided before they are full, and refused requests count as demand.
    pub fn set_fast(&mut self, divides_fast: bool) {
        self.divides_fast = divides_fast;
    }

    /// Sets the pools whose slots are divided; division of others starts at a higher demand.
    pub(super) fn set_divided(&mut self, pools: Vec<PoolName>) {
        self.divided = pools;
    }

    /// Updates the demand of a host.
    pub fn update(&mut self, host: &str, mut demands: Vec<SlotDemand>, now: Duration) {
        for demand in &mut demands {
            demand.slots = demand.slots.min(MAX_DEMAND);
            demand.refused = demand.refused.min(MAX_DEMAND);
        }
        let demand = HostDemand {
            demands,
            reported_at: now,
        };
        self.hosts.insert(host.to_owned(), demand);
        self.hosts
            .retain(|_, demand| now.saturating_sub(demand.reported_at) < DEMAND_TTL);
    }

    /// Returns whether the hosts want so many of a pool's `slots` that they are to be divided.
    pub fn is_scarce(&self, pool: &str, slots: u32) -> bool {
        let is_divided = || self.divided.iter().any(|divided| divided == pool);
        let (threshold, counts_refused) = match self.divides_fast {
            false => (DIVISION_THRESHOLD, false),
            true if is_divided() => (FAST_DIVISION_END, true),
            true => (FAST_DIVISION_START, true),
        };
        let demands = self.demands_in(pool);
        let wanted = demands.map(|demand| match counts_refused {
            true => demand.slots + demand.refused,
            false => demand.slots,
        });
        slots > 0 && f64::from(wanted.sum::<u32>()) >= f64::from(slots) * threshold
    }

    /// Returns a host's share of a pool's `slots`, used ones included; `None` while there are enough
    /// for all hosts.
    pub fn share_of(&self, host: &str, pool: &str, slots: u32) -> Option<u32> {
        let is_scarce = self.is_scarce(pool, slots);
        is_scarce.then(|| self.divided_share_of(host, pool, slots))
    }

    /// Returns a host's share of a pool's `slots`, which are to be divided.
    pub(super) fn divided_share_of(&self, host: &str, pool: &str, slots: u32) -> u32 {
        let mut left = f64::from(slots) * OVERCOMMIT_FACTOR;
        let mut share = 0.0;
        for rank in ranks_of(self.demands_in(pool)) {
            let hosts = self.hosts.values();
            let all: f64 = hosts.map(|demand| demand.of(pool, rank)).sum();
            let allotted = all.min(left);
            // The demand of a reported rank may be zero.
            let fraction = if all > 0.0 { allotted / all } else { 0.0 };
            share += self.share_of_rank(host, pool, rank, fraction);
            left -= allotted;
        }
        share as u32 + self.spare_of(host, pool, left)
    }

    /// Returns a host's part of the slots that nobody wants yet, which are for requests that arrive
    /// before the next report: in proportion to what the hosts refused lately, if anything.
    fn spare_of(&self, host: &str, pool: &str, left: f64) -> u32 {
        let hosts = self.hosts.values();
        let refused: f64 = hosts.map(|demand| demand.refused_in(pool)).sum();
        if !self.divides_fast || refused <= 0.0 {
            return (left / self.hosts.len() as f64).ceil() as u32;
        }
        let refused_here = self.hosts.get(host).map(|demand| demand.refused_in(pool));
        (left * refused_here.unwrap_or_default() / refused).ceil() as u32
    }

    /// Returns how many slots the hosts want in each pool.
    pub(super) fn totals(&self) -> Vec<(PoolName, u32)> {
        let mut totals: SortedMap<&PoolName, u32> = SortedMap::new();
        let hosts = self.hosts.values();
        for demand in hosts.flat_map(|host| &host.demands) {
            *totals.get_or_insert_with(&demand.pool, || 0) += demand.slots + demand.refused;
        }
        let totals = totals.iter();
        totals
            .map(|(pool, slots)| (PoolName::clone(pool), *slots))
            .collect()
    }

    fn demands_in(&self, pool: &str) -> impl Iterator<Item = &SlotDemand> {
        let hosts = self.hosts.values();
        hosts.flat_map(move |demand| demand.in_pool(pool))
    }

    /// Returns `fraction` of a host's demand for one rank. The hosts' slots form contiguous
    /// ranges with rounded bounds, so that rounding loses no slot.
    fn share_of_rank(&self, host: &str, pool: &str, rank: QueueRank, fraction: f64) -> f64 {
        let mut end = 0.0;
        for (name, demand) in self.hosts.iter() {
            let start: f64 = end;
            end += demand.of(pool, rank) * fraction;
            if name == host {
                return end.round() - start.round();
            }
        }
        0.0
    }
}

/// Returns all ranks that want slots, the first to be served first.
fn ranks_of<'d>(demands: impl Iterator<Item = &'d SlotDemand>) -> Vec<QueueRank> {
    let mut ranks: Vec<QueueRank> = demands.map(|demand| demand.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    ranks
}

impl HostDemand {
    fn in_pool(&self, pool: &str) -> impl Iterator<Item = &SlotDemand> {
        let demands = self.demands.iter();
        demands.filter(move |demand| demand.pool == pool)
    }

    fn refused_in(&self, pool: &str) -> f64 {
        let refused = self.in_pool(pool).map(|demand| demand.refused);
        f64::from(refused.sum::<u32>())
    }

    fn of(&self, pool: &str, rank: QueueRank) -> f64 {
        let mut demands = self.in_pool(pool);
        let found = demands.find(|demand| demand.rank == rank);
        found.map_or(0.0, |demand| f64::from(demand.slots))
    }
}
