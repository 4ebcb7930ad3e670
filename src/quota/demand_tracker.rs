//! Requested tokens per second by priority class, as exponentially decaying averages.

use std::time::Duration;

use super::priority_split::ClassDemand;
use super::priority_split::PriorityClass;
use super::quota_limiter::HEARTBEAT_TIMEOUT;

/// Time constant of the decay: a surge shows within a second, and a single large
/// request does not look like one.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Lower bound on the host's uptime in the start-up correction: below it, the first
/// request alone would look like a surge.
const MIN_UPTIME: Duration = Duration::from_millis(250);
/// Rate below which a priority class has no demand, in tokens per second.
pub(super) const MIN_RATE: f64 = 0.5;

/// Demand on this host by priority class, in tokens per second.
#[derive(Clone, Debug)]
pub(super) struct DemandTracker {
    /// Sorted by priority class, decayed up to `updated_at`.
    demands: Vec<ClassDemand>,
    updated_at: Duration,
    /// When the host started; there are no samples from before.
    started_at: Duration,
}

impl DemandTracker {
    /// Creates the tracker of a host that started at `started_at`.
    pub(super) const fn new(started_at: Duration) -> Self {
        Self {
            demands: Vec::new(),
            updated_at: started_at,
            started_at,
        }
    }

    /// Adds a request.
    pub(super) fn record(&mut self, priority_class: PriorityClass, cost: f64, now: Duration) {
        self.decay(now);
        let demand = ClassDemand {
            priority_class,
            per_second: cost / DECAY_TIME.as_secs_f64(),
        };
        add_demand(&mut self.demands, demand);
    }

    /// Returns the current demand, sorted by priority class.
    ///
    /// On a host that has just started, the average is divided by the weight of the time
    /// observed so far, since it would otherwise be far below the actual rate. Without
    /// this, hosts that were all killed while an account exceeded its quota admitted
    /// everything for a third of a second after each restart, a seventh of a window.
    pub(super) fn demands(&mut self, now: Duration) -> Vec<ClassDemand> {
        self.decay(now);
        let uptime = now.saturating_sub(self.started_at).max(MIN_UPTIME);
        let observed = 1.0 - (-uptime.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let demands = self.demands.iter();
        demands
            .map(|demand| ClassDemand {
                per_second: demand.per_second / observed,
                ..*demand
            })
            .collect()
    }

    fn decay(&mut self, now: Duration) {
        let factor = decay_factor(now.saturating_sub(self.updated_at));
        for demand in &mut self.demands {
            demand.per_second *= factor;
        }
        self.demands.retain(|demand| demand.per_second > MIN_RATE);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Demand in reports that have been replaced, such as those of a former leader. It holds until
/// reports have arrived from all hosts over the new one, [`HEARTBEAT_TIMEOUT`] at most.
#[derive(Clone, Debug)]
pub(super) struct FormerDemand {
    /// Sorted by priority class.
    demands: Vec<ClassDemand>,
    /// Share of the quota that the reporting hosts had, 0 to 1.
    quota_share: f64,
    /// When the reports were replaced.
    kept_at: Duration,
}

impl FormerDemand {
    pub(super) const NONE: Self = Self {
        demands: Vec::new(),
        quota_share: 1.0,
        kept_at: Duration::ZERO,
    };

    /// Keeps the demand of reports that will be replaced, unless it is smaller than what is kept.
    /// `quota_share` is the share of the quota that the reporting hosts have, 0 to 1.
    pub(super) fn keep(&mut self, demands: Vec<ClassDemand>, quota_share: f64, now: Duration) {
        if sum_of(&demands) >= self.total(now) {
            *self = Self {
                demands,
                quota_share,
                kept_at: now,
            };
        }
    }

    /// Forgets it, as all hosts have reported.
    pub(super) fn clear(&mut self) {
        *self = Self::NONE;
    }

    /// Returns the sum over all priority classes, in tokens per second.
    pub(super) fn total(&self, now: Duration) -> f64 {
        match now.saturating_sub(self.kept_at) < HEARTBEAT_TIMEOUT {
            true => sum_of(&self.demands),
            false => 0.0,
        }
    }

    /// Returns this demand and the share of the quota for it if it is larger than the reported
    /// demand and its share. Few hosts may have reported to a new leader yet.
    pub(super) fn larger(
        &self,
        reported: Vec<ClassDemand>,
        quota_share: f64,
        now: Duration,
    ) -> (Vec<ClassDemand>, f64) {
        match self.total(now) > sum_of(&reported) {
            true => (self.demands.clone(), self.quota_share.min(quota_share)),
            false => (reported, quota_share),
        }
    }
}

fn sum_of(demands: &[ClassDemand]) -> f64 {
    demands.iter().map(|demand| demand.per_second).sum()
}

/// Returns the factor by which a demand without new requests decays within `elapsed`.
pub(super) fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Adds to the demand of a priority class; `demands` stays sorted by priority class.
pub(super) fn add_demand(demands: &mut Vec<ClassDemand>, added: ClassDemand) {
    match demands.binary_search_by_key(&added.priority_class, |demand| demand.priority_class) {
        Ok(index) => demands[index].per_second += added.per_second,
        Err(index) => demands.insert(index, added),
    }
}

/// Subtracts from the demand of a priority class.
pub(super) fn subtract_demand(demands: &mut Vec<ClassDemand>, removed: ClassDemand) {
    if let Ok(index) =
        demands.binary_search_by_key(&removed.priority_class, |demand| demand.priority_class)
    {
        demands[index].per_second -= removed.per_second;
        if demands[index].per_second <= MIN_RATE {
            demands.remove(index);
        }
    }
}
