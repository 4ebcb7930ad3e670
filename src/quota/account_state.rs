//! Usage and demand of one account, as known to one host.

use std::time::Duration;

use super::demand_tracker::DemandTracker;
use super::demand_tracker::FormerDemand;
use super::peer_usage::AccountUsage;
use super::peer_usage::PeerAccount;
use super::peer_usage::UsageScope;
use super::priority_split::ClassDemand;
use super::priority_split::PriorityClass;
use super::quota_tolerance::QuotaRate;
use super::quota_tolerance::QuotaTransition;
use super::surge_guard::SurgeGuard;
use super::usage_counters::UsageCounters;

/// Weight of a peer's newest report in its smoothed demand share, which covers several
/// seconds of reports.
const SHARE_SMOOTHING: f64 = 0.05;
/// Time over which excess usage is compensated. It is short compared to a window, so that
/// no window is exceeded, and long compared to the delay of peer reports, so that hosts do
/// not oscillate together.
const DEFICIT_TIME: Duration = Duration::from_secs(2);
/// Time over which the amount above the reserve may be used. Otherwise each host of a large
/// fleet would admit all of it before receiving reports from the others: with 60 hosts, an
/// account above its quota got half a window every three seconds and nothing in between.
const SURPLUS_TIME: Duration = Duration::from_secs(1);

/// Period at which the usage of an account is reported to hosts that do not serve it. They need
/// it once they get its first request, and from then on get each change.
pub(super) const PUBLISH_PERIOD: Duration = Duration::from_secs(2);

/// Period whose demand an account is expected to repeat.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// The longest refill that is predicted.
const MAX_REFILL_TIME: Duration = Duration::from_secs(60);

/// A request to be charged to an account's quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest {
    /// Its priority class.
    pub priority_class: PriorityClass,
    /// Amount to charge to the quota.
    pub cost: f64,
}

/// Whether a request is within its account's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is within the quota and was charged.
    Admitted,
    /// It exceeds the quota.
    Rejected {
        /// Time after which the quota is expected to admit it.
        retry_after: Duration,
    },
}

/// Fraction of each priority class that is currently admitted.
#[derive(Debug)]
pub(super) struct AdmissionPlan {
    pub(super) created_at: Duration,
    /// Amount available when the plan was made, minus what this host has admitted since.
    pub(super) available: f64,
    pub(super) overdraft: f64,
    /// Rate at which quota accrues for the responsive hosts, in tokens per second.
    pub(super) per_second: f64,
    /// What may be used within a window.
    pub(super) usable: f64,
    /// Share of the quota that belongs to the responsive hosts, 0 to 1.
    pub(super) quota_share: f64,
    /// This host's even share of what may be used.
    pub(super) even_share: f64,
    pub(super) demands: Vec<ClassDemand>,
    /// Admitted fractions, 0 to 1, in the order of `demands`.
    pub(super) fractions: Vec<f64>,
}

#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) counters: UsageCounters,
    pub(super) demand: DemandTracker,
    /// Sum of the demand that peers reported, in tokens per second.
    peer_demand: f64,
    /// Demand in reports that others are about to replace.
    pub(super) former_demand: FormerDemand,
    /// Shares of the requests that reach unresponsive hosts, as last reported for the group and
    /// for the fleet.
    pub(super) group_unresponsive_share: f64,
    pub(super) fleet_unresponsive_share: f64,
    /// When this host last got a request of the account.
    pub(super) own_changed_at: Option<Duration>,
    /// When a host that reports here directly last reported a change.
    pub(super) direct_changed_at: Option<Duration>,
    /// When an aggregated report last reported a change.
    pub(super) relayed_changed_at: Option<Duration>,
    /// When the account was last reported to all hosts, including those that do not serve it.
    pub(super) published_at: Option<Duration>,
    /// `None` until this host gets a request of the account.
    pub(super) quota: Option<QuotaTransition>,
    pub(super) plan: Option<AdmissionPlan>,
    pub(super) surge_guard: SurgeGuard,
}

impl AccountState {
    pub(super) fn new(window: Duration, started_at: Duration) -> Self {
        Self {
            counters: UsageCounters::new(window),
            demand: DemandTracker::new(started_at),
            peer_demand: 0.0,
            former_demand: FormerDemand::NONE,
            group_unresponsive_share: 0.0,
            fleet_unresponsive_share: 0.0,
            own_changed_at: None,
            direct_changed_at: None,
            relayed_changed_at: None,
            published_at: None,
            quota: None,
            plan: None,
            surge_guard: SurgeGuard::default(),
        }
    }

    pub(super) fn try_consume(
        &mut self,
        request: QuotaRequest,
        now: Duration,
        random: f64,
    ) -> QuotaDecision {
        if let Some(plan) = &mut self.plan {
            let missing = (request.cost - plan.available - plan.overdraft).max(0.0);
            let fraction = plan.fraction(request.priority_class);
            let is_settled = self.surge_guard.allows(request.cost, plan.even_share, now);
            if missing > 0.0 || !is_settled || random >= fraction {
                let settles_in = match is_settled {
                    true => Duration::ZERO,
                    false => self.surge_guard.settles_in(now),
                };
                return QuotaDecision::Rejected {
                    retry_after: plan.refill_time(missing, fraction).max(settles_in),
                };
            }
            plan.available -= request.cost;
        }
        self.surge_guard.record_admission(request.cost);
        self.counters.consume(request.cost, now);
        QuotaDecision::Admitted
    }

    /// Applies the demand that a peer reported; returns the peer's smoothed share of the fleet's
    /// demand. It begins at `even_share`, as few peers may have reported yet.
    pub(super) fn update_demand(
        &mut self,
        previous: Option<&PeerAccount>,
        usage: &AccountUsage,
        even_share: f64,
        now: Duration,
    ) -> f64 {
        if let Some(previous) = previous {
            self.subtract_peer_demand(previous);
        }
        self.peer_demand += usage.demand();
        let share = usage.demand() / self.known_demand(now).max(1.0);
        smooth_share(
            previous.map_or(even_share, |previous| previous.share),
            share,
        )
    }

    /// Updates the demand and the share of a peer whose report, `elapsed` after its previous one,
    /// omits the account.
    pub(super) fn decay_demand(
        &mut self,
        account: &mut PeerAccount,
        elapsed: Duration,
        now: Duration,
    ) {
        self.subtract_peer_demand(account);
        account.decay(elapsed);
        let demand = account.usage.demand();
        self.peer_demand += demand;
        let share = demand / self.known_demand(now).max(1.0);
        account.share = smooth_share(account.share, share);
    }

    /// Records that one of `peers` reported, whether or not its report lists the account.
    pub(super) fn record_report(&mut self, peers: usize, now: Duration) {
        let elsewhere = self.peer_demand;
        self.surge_guard.record_peer_demand(elsewhere, now);
        if !self.surge_guard.is_settled(now) {
            let own = self.known_demand(now) - elsewhere;
            self.surge_guard.compare_demand(own, elsewhere, peers);
        }
    }

    /// Subtracts the demand of a peer whose report is replaced.
    pub(super) fn subtract_peer_demand(&mut self, account: &PeerAccount) {
        self.peer_demand = (self.peer_demand - account.usage.demand()).max(0.0);
    }

    /// Returns whether this host recently got requests of the account.
    pub(super) fn is_served(&mut self, now: Duration) -> bool {
        !self.demand.demands(now).is_empty()
    }

    /// Returns the usage of all hosts within the last window, as far as known.
    pub(super) fn known_usage(&self, now: Duration) -> f64 {
        let recent = self.counters.recent(now);
        recent.last().copied().unwrap_or_default()
    }

    /// Returns the demand on all hosts as far as known, in tokens per second.
    pub(super) fn known_demand(&mut self, now: Duration) -> f64 {
        self.own_demand(now) + self.peer_demand.max(self.former_demand.total(now))
    }

    /// Returns the demand on this host, in tokens per second.
    fn own_demand(&mut self, now: Duration) -> f64 {
        let demands = self.demand.demands(now);
        demands.iter().map(|demand| demand.per_second).sum()
    }

    /// Returns when the account last changed at the hosts of a scope.
    pub(super) fn changed_at(&self, scope: UsageScope) -> Option<Duration> {
        let direct = self.own_changed_at.max(self.direct_changed_at);
        match scope {
            UsageScope::Host => self.own_changed_at,
            UsageScope::Group => direct,
            UsageScope::Fleet => direct.max(self.relayed_changed_at),
        }
    }

    /// Updates when the account was last published, given that a period has passed since.
    pub(super) fn publish(&mut self, now: Duration) {
        let is_changed = self.changed_at(UsageScope::Fleet) > self.published_at;
        let is_due = |at: Duration| now.saturating_sub(at) >= PUBLISH_PERIOD;
        if is_changed && self.published_at.is_none_or(is_due) {
            self.published_at = Some(now);
        }
    }
}

impl AdmissionPlan {
    /// Returns the time in which `missing` tokens accrue, and in which the rate works off what a
    /// priority class asks for each second beyond its admitted `fraction`.
    fn refill_time(&self, missing: f64, fraction: f64) -> Duration {
        let accrual = missing / self.per_second.max(f64::MIN_POSITIVE);
        let excess = DEMAND_PERIOD.as_secs_f64() * (1.0 / fraction.max(f64::MIN_POSITIVE) - 1.0);
        let seconds = accrual.max(excess).min(MAX_REFILL_TIME.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    /// Returns the admitted fraction of a priority class, 0 to 1.
    fn fraction(&self, priority_class: PriorityClass) -> f64 {
        let found = self
            .demands
            .binary_search_by_key(&priority_class, |demand| demand.priority_class);
        // A class without recent demand does not cause the excess.
        found.map_or(1.0, |index| self.fractions[index])
    }
}

/// Returns the correction to the admission rate, in tokens per second: positive if quota is
/// left above the reserve, negative otherwise.
pub(super) fn rate_correction(available: f64, rate: QuotaRate) -> f64 {
    let surplus = available - rate.reserved;
    let time = match surplus > 0.0 {
        true => SURPLUS_TIME,
        false => DEFICIT_TIME,
    };
    surplus / time.as_secs_f64()
}

fn smooth_share(previous: f64, share: f64) -> f64 {
    previous + SHARE_SMOOTHING * (share - previous)
}
