//! How the hosts of a group divide the slots of their shard when all are wanted.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RequestPriority;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::sorted::SortedMap;

/// From which part of the slots on that are wanted they are divided.
const DIVIDED_FROM: f64 = 1.0;
/// How many slots are given out, in parts of those that there are: some of those given are
/// free for a moment, and a target queues what comes too much.
const GIVEN_PART: f64 = 1.05;
/// The part of the slots that late work leaves free, for what comes before the next report.
const LATE_RESERVE: f64 = 0.06;
/// How long the demand of a host counts that tells no other.
const DEMAND_MEMORY: Duration = Duration::from_millis(1500);

/// How many slots requests of one urgency want, running ones included.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotDemand {
    /// The pool.
    pub pool: PoolName,
    /// Their urgency; `None` for those that can't be in time any more, behind all others.
    pub priority: Option<RequestPriority>,
    /// How many they want.
    pub slots: u32,
}

/// How many slots of a pool a host may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotShare {
    /// How many in all, running ones included.
    pub slots: u32,
    /// How many more requests may start that can't be in time any more.
    pub late: u32,
}

#[derive(Clone, Debug)]
struct HostDemand {
    demands: Vec<SlotDemand>,
    at: Duration,
}

/// How the hosts of a group divide the slots of their shard, as its leader works it out.
///
/// Load it answers: a burst beyond what the targets can start. Each host sees the same few
/// slots become free, and all of them send; what is sent too much waits in the targets'
/// queues, which know no priorities, and all of it is late. With slots of its own a host
/// keeps its requests in its own queue until it has one for them. The most urgent requests
/// get theirs first, at whichever host they wait.
#[derive(Debug, Default)]
pub struct SlotShares {
    hosts: SortedMap<HostName, HostDemand>,
}

impl SlotShares {
    /// Takes what a host wants.
    pub fn take(&mut self, host: &str, demands: Vec<SlotDemand>, now: Duration) {
        let demand = HostDemand { demands, at: now };
        self.hosts.insert(host.to_owned(), demand);
        self.hosts
            .retain(|_, demand| now.saturating_sub(demand.at) < DEMAND_MEMORY);
    }

    /// Returns how many of a pool's `slots` a host may use; `None` while there are enough for
    /// all.
    pub fn share_of(&self, host: &str, pool: &str, slots: u32) -> Option<SlotShare> {
        let demands = || self.hosts.values().flat_map(|demand| demand.in_pool(pool));
        let wanted: u32 = demands().map(|demand| demand.slots).sum();
        if slots == 0 || f64::from(wanted) < f64::from(slots) * DIVIDED_FROM {
            return None;
        }
        let mut left = f64::from(slots) * GIVEN_PART;
        let mut share = 0.0;
        let mut late = 0.0;
        let reserve = f64::from(slots) * LATE_RESERVE;
        for priority in ranks_of(demands()) {
            let hosts = self.hosts.values();
            let all: f64 = hosts.map(|demand| demand.of(pool, priority)).sum();
            let given = match priority {
                Some(_) => all.min(left),
                None => all.min((left - reserve).max(0.0)),
            };
            // Nobody may want slots of an urgency any more that was reported before.
            let part = if all > 0.0 { given / all } else { 0.0 };
            let granted = self.share_of_rank(host, pool, priority, part);
            share += granted;
            if priority.is_none() {
                late = granted;
            }
            left -= given;
        }
        // What nobody wants yet is for what comes before the next report.
        let spare = (left / self.hosts.len() as f64).ceil();
        Some(SlotShare {
            slots: share as u32 + spare as u32,
            late: late as u32,
        })
    }

    /// Returns the `part` of what a host wants for one urgency. Each host's slots end where
    /// the next one's start, so that rounding loses none.
    fn share_of_rank(
        &self,
        host: &str,
        pool: &str,
        priority: Option<RequestPriority>,
        part: f64,
    ) -> f64 {
        let mut end = 0.0;
        for (name, demand) in self.hosts.iter() {
            let start: f64 = end;
            end += demand.of(pool, priority) * part;
            if name == host {
                return end.round() - start.round();
            }
        }
        0.0
    }
}

/// Returns all urgencies that want slots, the most urgent first.
fn ranks_of<'d>(demands: impl Iterator<Item = &'d SlotDemand>) -> Vec<Option<RequestPriority>> {
    let mut ranks: Vec<Option<RequestPriority>> = demands.map(|demand| demand.priority).collect();
    ranks.sort_by_key(|priority| (priority.is_none(), *priority));
    ranks.dedup();
    ranks
}

impl HostDemand {
    fn in_pool(&self, pool: &str) -> impl Iterator<Item = &SlotDemand> {
        let demands = self.demands.iter();
        demands.filter(move |demand| demand.pool == pool)
    }

    fn of(&self, pool: &str, priority: Option<RequestPriority>) -> f64 {
        let mut demands = self.in_pool(pool);
        let found = demands.find(|demand| demand.priority == priority);
        found.map_or(0.0, |demand| f64::from(demand.slots))
    }
}
