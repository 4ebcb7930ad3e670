//! Reports of a host to the leader that divides the slots of its group.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PlacementRequest;
use super::PoolTable;
use super::QueueRank;
use super::SlotDemand;
use super::TargetLoad;
use super::pool_entry::PoolEntry;
use super::rate_meter::RateMeter;
use super::slot_grants::full_speed_slots;
use super::target_choice::shortest_mean_gap;

/// The least time between two fast reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The time between two fast reports while requests wait and nothing else has changed. Slots that
/// other hosts no longer use are to be filled within 50 ms.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(40);
/// The fraction of the shard's slots in use at or above which a host without grants reports the
/// requests that it starts, so that the leader starts to divide the slots in time. Division starts
/// at 0.85, and what the host knows of others' loads is up to 0.2 s old.
const REPORTED_USAGE: f64 = 0.6;
/// The same for a host that starts [`REPORTED_GROWTH`] requests more than it reported, as at the
/// begin of a burst, which it notices before others' reports show it.
const GROWING_USAGE: f64 = 0.3;
const REPORTED_GROWTH: u32 = 2;

/// What a host reports to the leader of its group when its grants don't fit its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReport {
    /// The engine slots that the host wants.
    pub demands: Vec<SlotDemand>,
    /// The host's load at each engine.
    pub loads: Vec<TargetLoad>,
}

/// When the host last reported to its leader, and what.
#[derive(Debug, Default)]
pub(super) struct SlotReporting {
    pub(super) enabled: bool,
    reported_at: Option<Duration>,
    /// The slots wanted at the last report, for running and waiting requests.
    wanted: u32,
}

/// How the slots that a host may use fit its requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SlotFit {
    running: u32,
    waiting: u32,
    /// Granted slots that no request uses.
    idle: u32,
    /// By how many slots the demand must have grown to be reported while the slots are not
    /// divided.
    least_growth: Option<u32>,
}

impl PoolTable {
    /// Sets whether the host reports at once when its grants don't fit its requests, and counts
    /// the requests that it refuses as demand.
    pub fn set_fast_reports(&mut self, enabled: bool) {
        self.slot_reporting.enabled = enabled;
    }

    /// Records that a request was refused as overloaded.
    pub fn record_refusal(&mut self, request: &PlacementRequest, now: Duration) {
        if let Some(pool) = self.pools.get_mut(&request.pool)
            && pool.engine
        {
            pool.refused
                .get_or_insert_with(request.priority, RateMeter::default)
                .record(now);
        }
    }

    /// Returns how many engine slots this host wants, by rank.
    pub fn slot_demands(&self, now: Duration) -> Vec<SlotDemand> {
        let mut demands: Vec<SlotDemand> = Vec::new();
        for (name, pool) in self.pools.iter().filter(|(_, pool)| pool.engine) {
            let first = demands.len();
            let mut add = |rank: QueueRank, slots: u32, refused: u32| {
                let held = demands[first..].iter_mut();
                let held = held.into_iter().find(|demand| demand.rank == rank);
                match held {
                    Some(held) => {
                        held.slots += slots;
                        held.refused += refused;
                    }
                    None => demands.push(SlotDemand {
                        pool: name.clone(),
                        rank,
                        slots,
                        refused,
                    }),
                }
            };
            for (priority, running) in pool.running.iter() {
                add(QueueRank::in_time(*priority), *running, 0);
            }
            for (_, _, rank) in pool.queue.iter() {
                add(rank, 1, 0);
            }
            for (priority, refused) in pool.refused.iter() {
                let refused = refused.per_second(now).round() as u32;
                if self.slot_reporting.enabled && refused > 0 {
                    add(QueueRank::in_time(*priority), 0, refused);
                }
            }
        }
        demands
    }

    /// Returns a report to the leader if one is due: requests wait without a free granted slot,
    /// granted slots are idle although no request waits, or slots that are not divided yet fill
    /// up.
    pub fn take_slot_report(&mut self, now: Duration) -> Option<SlotReport> {
        let reporting = &self.slot_reporting;
        if !reporting.enabled {
            return None;
        }
        let elapsed = reporting.reported_at.map(|at| now.saturating_sub(at));
        if elapsed.is_some_and(|elapsed| elapsed < MIN_REPORT_INTERVAL) {
            return None;
        }
        let fit = self.slot_fit(now);
        let wanted = fit.running + fit.waiting;
        let is_due = match fit.waiting {
            0 => {
                let grows = |least| wanted >= reporting.wanted + least;
                fit.idle > 0 && wanted < reporting.wanted || fit.least_growth.is_some_and(grows)
            }
            _ => {
                wanted > reporting.wanted
                    || elapsed.is_none_or(|elapsed| elapsed >= WAITING_REPORT_INTERVAL)
            }
        };
        if !is_due {
            return None;
        }
        self.slot_reporting.reported_at = Some(now);
        self.slot_reporting.wanted = wanted;
        let mut loads = self.own_loads();
        loads.retain(|load| self.is_engine(&load.target));
        Some(SlotReport {
            demands: self.slot_demands(now),
            loads,
        })
    }

    /// Records that demands and loads are reported by regular gossip.
    pub fn record_slot_report(&mut self, now: Duration) {
        let fit = self.slot_fit(now);
        self.slot_reporting.wanted = fit.running + fit.waiting;
    }

    /// Makes the next report due, as the last one got no answer.
    pub fn forget_slot_report(&mut self) {
        self.slot_reporting.wanted = 0;
    }

    /// Returns whether requests of this host run or wait at engines.
    pub fn has_engine_requests(&self) -> bool {
        let mut engines = self.pools.values().filter(|pool| pool.engine);
        engines.any(|pool| pool.queue.len() > 0 || pool.running.values().any(|count| *count > 0))
    }

    /// Returns the number of granted slots that no request uses.
    pub fn idle_granted_slots(&self, now: Duration) -> u32 {
        self.slot_fit(now).idle
    }

    fn slot_fit(&self, now: Duration) -> SlotFit {
        let mut sum = SlotFit::default();
        for pool in self.pools.values().filter(|pool| pool.engine) {
            let fit = pool.slot_fit(now);
            sum.running += fit.running;
            sum.waiting += fit.waiting;
            sum.idle += fit.idle;
            sum.least_growth = sum.least_growth.or(fit.least_growth);
        }
        sum
    }
}

impl PoolEntry {
    /// Returns whether granted slots are free.
    pub(super) fn has_idle_grants(&self, now: Duration) -> bool {
        self.grants(now).is_some() && self.slot_fit(now).idle > 0
    }

    fn slot_fit(&self, now: Duration) -> SlotFit {
        let running = self.running.values().sum();
        let waiting = self.queue.len() as u32;
        let Some(granted) = self.grants(now) else {
            let in_shard = || self.targets.iter().filter(|target| target.in_shard);
            let fastest = shortest_mean_gap(&self.targets);
            let slots = full_speed_slots(
                in_shard().map(|target| (target.record.slots, target.slowness(fastest))),
            );
            let used: u32 = in_shard()
                .map(|target| target.record.slots - target.free_slots())
                .sum();
            return SlotFit {
                running,
                waiting,
                idle: 0,
                least_growth: match f64::from(used) / f64::from(slots.max(1)) {
                    REPORTED_USAGE.. => Some(1),
                    GROWING_USAGE.. => Some(REPORTED_GROWTH),
                    _ => None,
                },
            };
        };
        let free = self.targets.iter().map(|target| {
            match target.is_available(now) && !target.is_rate_limited(now) {
                true => target.granted_free_slots(&granted.grants, now),
                false => 0,
            }
        });
        let left = granted.slots.saturating_sub(self.granted_running(now));
        SlotFit {
            running,
            waiting,
            idle: free.sum::<u32>().min(left),
            least_growth: None,
        }
    }
}
