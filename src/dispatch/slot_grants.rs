//! Which slots of a group's targets each of its hosts may use.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::SlotDemand;
use super::SlotShares;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// How long a grant counts that is not renewed; longer than hosts use one.
const GRANT_MEMORY: Duration = Duration::from_millis(1500);

/// How many requests a target may queue: what takes the place of one that has ended is there
/// before the hosts know of the end.
const QUEUED_SLOTS: u32 = 1;

/// How many requests a host may run at a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotGrant {
    /// The target.
    pub target: TargetName,
    /// How many requests, running ones included.
    pub slots: u32,
}

/// The slots of one pool that a host may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolGrants {
    /// The pool.
    pub pool: PoolName,
    /// How many requests it may run in all.
    pub slots: u32,
    /// How many requests may start that can't be in time any more.
    pub late: u32,
    /// What it may use at each target, sorted; nothing at all others.
    pub grants: Vec<SlotGrant>,
}

/// A target as the leader of a group knows it while it grants slots to one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantTarget {
    /// The target.
    pub name: TargetName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many that host runs there.
    pub running: u32,
    /// How many hosts run there that hold no grant.
    pub outside: u32,
}

#[derive(Clone, Debug)]
struct HostGrants {
    grants: SortedMap<TargetName, u32>,
    at: Duration,
}

/// The slots that the leader of a group has granted.
///
/// Load it answers: demand near or above what the targets can run. Hosts that choose by what
/// others ran a moment ago send too much to one target and too little to the next, and what
/// is too much waits in the target's queue, which knows no urgency. A grant names targets, so
/// that no target ever holds more than its slots, and all that waits does so at the hosts.
#[derive(Debug, Default)]
pub struct SlotGrants {
    shares: SlotShares,
    granted: SortedMap<HostName, HostGrants>,
}

impl SlotGrants {
    /// Takes what a host wants.
    pub fn update_demands(&mut self, host: &str, demands: Vec<SlotDemand>, now: Duration) {
        self.shares.take(host, demands, now);
        self.granted
            .retain(|_, held| now.saturating_sub(held.at) < GRANT_MEMORY);
    }

    /// Returns the hosts that hold grants.
    pub fn hosts(&self) -> Vec<HostName> {
        self.granted.iter().map(|(host, _)| host.clone()).collect()
    }

    /// Grants a host its share of each pool's slots, in place of what it held. A pool whose
    /// slots suffice for all hosts is left out: each host may use all of it.
    pub fn grant(
        &mut self,
        host: &str,
        pools: Vec<(PoolName, Vec<GrantTarget>)>,
        now: Duration,
    ) -> Vec<PoolGrants> {
        self.granted.remove(host);
        let mut held = SortedMap::new();
        let mut granted = Vec::new();
        for (pool, targets) in pools {
            let slots = targets.iter().map(|target| target.slots).sum();
            let Some(share) = self.shares.share_of(host, &pool, slots) else {
                continue;
            };
            let grants = self.divide(&targets, share.slots);
            for grant in &grants {
                held.insert(grant.target.clone(), grant.slots);
            }
            granted.push(PoolGrants {
                pool,
                slots: share.slots,
                late: share.late,
                grants,
            });
        }
        if !granted.is_empty() {
            let grants = HostGrants {
                grants: held,
                at: now,
            };
            self.granted.insert(host.to_owned(), grants);
        }
        granted
    }

    /// Returns `share` slots at the targets that have most left, behind what the host runs.
    fn divide(&self, targets: &[GrantTarget], share: u32) -> Vec<SlotGrant> {
        let mut granted: Vec<u32> = targets.iter().map(|target| target.running).collect();
        let mut left: Vec<u32> = targets
            .iter()
            .map(|target| {
                let taken = self.granted_at(&target.name) + target.outside + target.running;
                (target.slots + QUEUED_SLOTS).saturating_sub(taken)
            })
            .collect();
        let running: u32 = granted.iter().sum();
        for _ in running..share {
            let Some(most) = (0..left.len()).max_by_key(|index| left[*index]) else {
                break;
            };
            if left[most] == 0 {
                break;
            }
            left[most] -= 1;
            granted[most] += 1;
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

    fn granted_at(&self, target: &str) -> u32 {
        let hosts = self.granted.values();
        hosts.filter_map(|held| held.grants.get(target)).sum()
    }
}
