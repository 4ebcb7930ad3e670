//! How much of each kind is asked for, as decaying rates.

use std::time::Duration;

use super::priority_split::ClassDemand;
use super::priority_split::PriorityClass;

/// How long the memory is: a sudden demand shows within a second, and single large
/// requests don't look like one.
const MEMORY: Duration = Duration::from_secs(1);
/// The age that a host is taken to have at least: before, its first request alone would
/// look like a sudden demand.
const LEAST_AGE: Duration = Duration::from_millis(250);
/// Below this a lane asks for nothing any more, in tokens a second.
const LEAST_RATE: f64 = 0.5;

/// How much of each kind is asked for, in tokens a second.
#[derive(Clone, Debug)]
pub(super) struct DemandTrack {
    /// Sorted by lane; as of `counted_at`.
    demands: Vec<ClassDemand>,
    counted_at: Duration,
    /// When the host started: nothing was counted before.
    began: Duration,
}

impl DemandTrack {
    /// Begins to count on a host that started at `began`.
    pub(super) const fn new(began: Duration) -> Self {
        Self {
            demands: Vec::new(),
            counted_at: began,
            began,
        }
    }

    /// Counts a request.
    pub(super) fn note(&mut self, priority_class: PriorityClass, cost: f64, now: Duration) {
        self.decay(now);
        let demand = ClassDemand {
            priority_class,
            per_second: cost / MEMORY.as_secs_f64(),
        };
        add_demand(&mut self.demands, demand);
    }

    /// Returns what is asked for now, sorted by lane.
    ///
    /// A host that has just started takes what it was asked so far for the rate that it
    /// is, and not for the little that its memory holds of it: hosts that were killed
    /// together under an account that asked too much admitted it all for a third of
    /// a second each time, a seventh of a window.
    pub(super) fn demands(&mut self, now: Duration) -> Vec<ClassDemand> {
        self.decay(now);
        let age = now.saturating_sub(self.began).max(LEAST_AGE);
        let seen = 1.0 - (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        let demands = self.demands.iter();
        demands
            .map(|demand| ClassDemand {
                per_second: demand.per_second / seen,
                ..*demand
            })
            .collect()
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        let factor = (-passed / MEMORY.as_secs_f64()).exp();
        for demand in &mut self.demands {
            demand.per_second *= factor;
        }
        self.demands.retain(|demand| demand.per_second > LEAST_RATE);
        self.counted_at = self.counted_at.max(now);
    }
}

/// Adds a demand to those of its lane; `demands` stay sorted by lane.
pub(super) fn add_demand(demands: &mut Vec<ClassDemand>, more: ClassDemand) {
    match demands.binary_search_by_key(&more.priority_class, |demand| demand.priority_class) {
        Ok(index) => demands[index].per_second += more.per_second,
        Err(index) => demands.insert(index, more),
    }
}

/// Takes a demand from those of its lane.
pub(super) fn subtract_demand(demands: &mut Vec<ClassDemand>, less: ClassDemand) {
    if let Ok(index) =
        demands.binary_search_by_key(&less.priority_class, |demand| demand.priority_class)
    {
        demands[index].per_second -= less.per_second;
        if demands[index].per_second <= LEAST_RATE {
            demands.remove(index);
        }
    }
}
