//! Grants of target slots to the hosts of a group.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::SlotDemand;
use super::SlotShares;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// How long a grant counts without renewal. This is longer than hosts use a grant.
const GRANT_TTL: Duration = Duration::from_millis(1500);

/// How many requests a target may queue, so that the next request is already there when one
/// ends, before the hosts learn of the end.
const QUEUED_SLOTS: u32 = 1;

/// The most requests at one target that a grant counts: more than the slots of any target, and little
/// enough that the sum over a pool of 6,000 targets fits a `u32`.
const MAX_GRANTED: u32 = 1 << 16;

/// The number of requests that a host may run at a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotGrant {
    /// The target.
    pub target: TargetName,
    /// Number of requests, running ones included.
    pub slots: u32,
}

/// The slots of one pool that a host may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolGrants {
    /// The pool.
    pub pool: PoolName,
    /// Number of requests that the host may run in total.
    pub slots: u32,
    /// The slots at each target, sorted; none at targets that are not listed.
    pub grants: Vec<SlotGrant>,
}

impl PoolGrants {
    /// Returns the grants with at most [`MAX_GRANTED`] at each target.
    pub(super) fn bounded(mut self) -> Self {
        for grant in &mut self.grants {
            grant.slots = grant.slots.min(MAX_GRANTED);
        }
        self
    }
}

/// Returns the slots of targets, each given with its slowness, where those of slow targets count by
/// their speed.
pub(super) fn full_speed_slots(targets: impl Iterator<Item = (u32, f64)>) -> u32 {
    let slots = targets.map(|(slots, slowness)| f64::from(slots) / slowness.max(1.0));
    slots.sum::<f64>().round() as u32
}

/// A target as the leader of a group sees it while granting slots to one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantTarget {
    /// The target.
    pub name: TargetName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Requests of that host that run there.
    pub running: u32,
    /// Requests of hosts without a grant that run there.
    pub ungranted_running: u32,
    /// How many times as slow it is as the fastest target, in percent; at least 100.
    pub slowness_percent: u32,
}

#[derive(Clone, Debug)]
struct HostGrants {
    grants: SortedMap<TargetName, u32>,
    granted_at: Duration,
}

/// The slots that the leader of a group has granted.
///
/// Near or above capacity, hosts that choose targets by the slightly outdated loads of others
/// overload one target and leave slots free at another, and the excess waits in the target's
/// queue, which has no priorities. Grants are per target, so that no target holds more than
/// its slots and requests wait at the hosts.
#[derive(Debug, Default)]
pub struct SlotGrants {
    shares: SlotShares,
    granted: SortedMap<HostName, HostGrants>,
    /// Whether a host keeps its grants at the same targets where possible.
    divides_fast: bool,
}

impl SlotGrants {
    /// Sets whether slots are divided before they are full, and refused requests count as demand.
    pub fn set_fast(&mut self, divides_fast: bool) {
        self.divides_fast = divides_fast;
        self.shares.set_fast(divides_fast);
    }

    /// Updates the demand of a host.
    pub fn update_demands(&mut self, host: &str, demands: Vec<SlotDemand>, now: Duration) {
        self.shares.update(host, demands, now);
        self.granted
            .retain(|_, held| now.saturating_sub(held.granted_at) < GRANT_TTL);
    }

    /// Returns the hosts that hold grants.
    pub fn hosts(&self) -> Vec<HostName> {
        self.granted.iter().map(|(host, _)| host.clone()).collect()
    }

    /// Returns how many slots the hosts want in each pool.
    pub fn demand_totals(&self) -> Vec<(PoolName, u32)> {
        self.shares.totals()
    }

    /// Returns whether the hosts want at least all of a pool's `slots`, so that they are divided.
    pub fn is_scarce(&self, pool: &str, slots: u32) -> bool {
        self.shares.is_scarce(pool, slots)
    }

    /// Grants a host its share of each pool's slots, replacing its former grants. A pool with
    /// enough slots for all hosts is left out: each host may use all of it.
    pub fn grant(
        &mut self,
        host: &str,
        pools: Vec<(PoolName, Vec<GrantTarget>)>,
        now: Duration,
    ) -> Vec<PoolGrants> {
        let former = self.granted.remove(host);
        let former = former.filter(|_| self.divides_fast);
        let former = former.map_or_else(SortedMap::new, |held| held.grants);
        let mut held = SortedMap::new();
        let mut granted = Vec::new();
        for (pool, targets) in pools {
            let slots = targets.iter().map(|target| target.slots).sum();
            let scarce_slots = match self.divides_fast {
                true => full_speed_slots(
                    targets
                        .iter()
                        .map(|target| (target.slots, f64::from(target.slowness_percent) / 100.0)),
                ),
                false => slots,
            };
            if !self.shares.is_scarce(&pool, scarce_slots) {
                continue;
            }
            let share = self.shares.divided_share_of(host, &pool, slots);
            let grants = self.divide(&targets, &former, share);
            for grant in &grants {
                held.insert(grant.target.clone(), grant.slots);
            }
            granted.push(PoolGrants {
                pool,
                slots: share,
                grants,
            });
        }
        let divided = granted.iter().map(|granted| granted.pool.clone());
        self.shares.set_divided(divided.collect());
        if !granted.is_empty() {
            let grants = HostGrants {
                grants: held,
                granted_at: now,
            };
            self.granted.insert(host.to_owned(), grants);
        }
        granted
    }

    /// Distributes `share` slots: first to the requests that the host runs, then to the targets
    /// of its `former` grants, then to the targets with the most slots left.
    ///
    /// A request that starts under a former grant while the new grants are on their way is over
    /// its target's slots if the grant moved to another target.
    fn divide(
        &self,
        targets: &[GrantTarget],
        former: &SortedMap<TargetName, u32>,
        share: u32,
    ) -> Vec<SlotGrant> {
        let mut granted: Vec<u32> = targets.iter().map(|target| target.running).collect();
        let mut left: Vec<u32> = targets
            .iter()
            .map(|target| {
                let taken =
                    self.granted_slots_at(&target.name) + target.ungranted_running + target.running;
                (target.slots + QUEUED_SLOTS).saturating_sub(taken)
            })
            .collect();
        let running: u32 = granted.iter().sum();
        let mut spare = share.saturating_sub(running);
        for (index, target) in targets.iter().enumerate() {
            let held = former.get(&target.name).copied().unwrap_or(0);
            let kept = held.saturating_sub(target.running);
            let kept = kept.min(left[index]).min(spare);
            left[index] -= kept;
            granted[index] += kept;
            spare -= kept;
        }
        for _ in 0..spare {
            let rank = |index: &usize| match self.divides_fast {
                // Fast targets first, as hosts choose them.
                true => left[*index] * 100_000 / targets[*index].slowness_percent.max(100),
                false => left[*index],
            };
            let Some(index_of_most) = (0..left.len()).max_by_key(rank) else {
                break;
            };
            if left[index_of_most] == 0 {
                break;
            }
            left[index_of_most] -= 1;
            granted[index_of_most] += 1;
        }
        let mut grants: Vec<SlotGrant> = targets
            .iter()
            .zip(granted)
            .filter(|(_, slots)| *slots > 0)
            .map(|(target, slots)| SlotGrant {
                target: target.name.clone(),
                slots,
            })
            .collect();
        grants.sort_by(|one, other| one.target.cmp(&other.target));
        grants
    }

    fn granted_slots_at(&self, target: &str) -> u32 {
        let hosts = self.granted.values();
        hosts.filter_map(|held| held.grants.get(target)).sum()
    }
}
