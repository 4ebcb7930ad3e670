//! Fleet-wide enforcement of account quotas.

use std::time::Duration;

use super::account_state::AccountState;
use super::account_state::AdmissionPlan;
use super::account_state::QuotaDecision;
use super::account_state::QuotaRequest;
use super::account_state::rate_correction;
use super::demand_tracker::add_demand;
use super::host_clock::HostClock;
use super::host_shares::DeadHosts;
use super::peer_usage::PeerUsage;
use super::peer_usage::REPORT_TIMEOUT;
use super::peer_usage::ReportBasis;
use super::peer_usage::UsageScope;
use super::priority_split::share_by_priority;
use super::quota_tolerance::QuotaRate;
use super::quota_tolerance::QuotaTolerance;
use super::quota_tolerance::QuotaTransition;
use super::report_merge::UsageHandover;
use super::usage_totals::UsageTotals;
use super::usage_window::available;
use super::usage_window::bucket_length;
use crate::catalog::ClientAccount;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// How long the admission plan of an account is used before it is recomputed.
const PLAN_TTL: Duration = Duration::from_millis(25);

/// Age of a host's last heartbeat above which the host counts as unresponsive. Heartbeat
/// ages are relayed over two hops, a few per message.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3000);

/// Fraction of the hosts whose reports cover the fleet; some hosts are always starting.
const COVERED_FRACTION: f64 = 0.9;

/// Factor by which a host may exceed its even share of what has accrued since a start of the
/// fleet, as requests arrive unevenly.
const UNEVEN_FACTOR: f64 = 2.0;

/// Time for which reports of all hosts are taken as such without another look at all peers.
const COVERAGE_TTL: Duration = Duration::from_millis(50);

/// Fleet-wide quotas of accounts.
///
/// Each host knows its own usage and demand and those that its peers reported. While enough
/// quota remains, it admits everything. Below that, every host admits the same fraction of its
/// demand per priority class, so the fleet keeps to the rate and callers are treated alike on
/// all hosts. The share of a peer that stopped reporting without announcing a shutdown counts
/// as used, so all sides of a network partition together stay within the quota.
#[derive(Debug)]
pub struct QuotaLimiter {
    tolerance: QuotaTolerance,
    /// When this host started.
    pub(super) started_at: Duration,
    /// Largest possible number of live hosts, including this one.
    pub(super) hosts: usize,
    /// Dead hosts that may be serving callers.
    pub(super) dead: DeadHosts,
    pub(super) accounts: SortedMap<AccountName, AccountState>,
    pub(super) peers: SortedMap<HostName, PeerUsage>,
    /// Whether hosts report through group leaders.
    pub(super) grouped: bool,
    /// This host's own incarnation.
    pub(super) incarnation: IncarnationId,
    /// When the reports of peers last covered all hosts.
    pub(super) covered_at: Option<Duration>,
    /// Since when the usage of all hosts is known.
    known_since: Duration,
    /// Clocks of the hosts that counted usage.
    pub(super) clocks: SortedMap<IncarnationId, HostClock>,
    /// What was last reported to a leader.
    pub(super) handover: Option<UsageHandover>,
    pub(super) group_totals: Option<UsageTotals>,
    pub(super) fleet_totals: Option<UsageTotals>,
    /// When the accounts near their quota were logged.
    pub(super) logged_at: Duration,
}

impl QuotaLimiter {
    /// Creates the limiter of a host that starts now in a fleet of `hosts`.
    pub const fn new(tolerance: QuotaTolerance, hosts: usize, now: Duration) -> Self {
        Self {
            tolerance,
            started_at: now,
            hosts,
            dead: DeadHosts::NONE,
            accounts: SortedMap::new(),
            peers: SortedMap::new(),
            grouped: false,
            incarnation: 0,
            covered_at: None,
            known_since: now,
            clocks: SortedMap::new(),
            handover: None,
            group_totals: None,
            fleet_totals: None,
            logged_at: now,
        }
    }

    /// Sets the incarnation under which this host reports.
    pub const fn with_incarnation(mut self, incarnation: IncarnationId) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Replaces the tolerance. Usage that was counted stays counted.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance, now: Duration) {
        if self.tolerance == tolerance {
            return;
        }
        self.tolerance = tolerance;
        for (_, state) in self.accounts.iter_mut() {
            state.counters.resize(tolerance.window, now);
            state.plan = None;
        }
    }

    /// Sets whether hosts report through group leaders. Usage counted from earlier reports
    /// stays counted and is not counted again from later ones.
    pub fn set_grouped(&mut self, grouped: bool, now: Duration) {
        if self.grouped == grouped {
            return;
        }
        self.grouped = grouped;
        self.remove_peers(|_, _| true, now);
    }

    /// Sets the number of known hosts, including this one. Hosts that never reported are
    /// assumed to use their share.
    ///
    /// A lower number is ignored on a host that has just started, since it does not know all
    /// hosts yet.
    pub fn set_host_count(&mut self, hosts: usize, now: Duration) {
        if now.saturating_sub(self.started_at) >= REPORT_TIMEOUT || hosts > self.hosts {
            self.hosts = hosts;
        }
    }

    /// Sets when each dead host was last seen that did not announce a shutdown. Its share counts
    /// as used for a while, as it may be unreachable from this host only.
    pub fn set_dead_hosts(&mut self, last_seen: &[Duration], now: Duration) {
        self.dead = DeadHosts::since(last_seen, now);
    }

    /// Sets the least number of hosts that a host assumes which has just started.
    pub fn assume_hosts(&mut self, hosts: usize, now: Duration) {
        if now.saturating_sub(self.started_at) < REPORT_TIMEOUT {
            self.hosts = self.hosts.max(hosts);
        }
    }

    /// Charges a request to the account's quota if the quota allows it. `random` is uniform
    /// between 0 and 1.
    pub fn try_consume(
        &mut self,
        account: &ClientAccount,
        request: QuotaRequest,
        now: Duration,
        random: f64,
    ) -> QuotaDecision {
        let Some(quota) = account.quota else {
            return QuotaDecision::Admitted;
        };
        let window = self.tolerance.window;
        let state = self.accounts.get_or_insert_with(account.name.clone(), || {
            AccountState::new(window, self.started_at)
        });
        let transition = state.quota.get_or_insert(QuotaTransition::new(quota));
        let quota = transition.effective(quota, window, now);
        let rate = self.tolerance.quota_rate(quota);
        let known = state.known_demand(now);
        state.surge_guard.record_demand(known, rate.per_second, now);
        state
            .demand
            .record(request.priority_class, request.cost, now);
        state.own_changed_at = Some(now);
        let created_at = state.plan.as_ref().map(|plan| plan.created_at);
        if created_at.is_none_or(|created_at| now.saturating_sub(created_at) >= PLAN_TTL) {
            self.refresh_plan(&account.name, rate, now);
        }
        match self.accounts.get_mut(&account.name) {
            Some(state) => state.try_consume(request, now, random),
            None => QuotaDecision::Rejected {
                retry_after: Duration::ZERO,
            },
        }
    }

    /// Updates the fraction of each unresponsive peer's hosts that no host has seen recently.
    /// The others may report to another leader. `time_since_seen` returns the age of a
    /// host's last heartbeat, and `unseen_share` is the fraction of all hosts without a recent
    /// one.
    pub fn set_unseen_hosts(
        &mut self,
        time_since_seen: impl Fn(u32) -> Option<Duration>,
        unseen_share: f64,
        now: Duration,
    ) {
        for (_, peer) in self.peers.iter_mut() {
            if !peer.is_unresponsive(now) || !self.grouped {
                peer.unseen = 1.0;
            } else if peer.scope == UsageScope::Fleet {
                peer.unseen = unseen_share;
            } else if !peer.covered.is_empty() {
                let is_unseen =
                    |host: &&u32| time_since_seen(**host).is_none_or(|age| age > HEARTBEAT_TIMEOUT);
                let unseen = peer.covered.iter().filter(is_unseen).count();
                peer.unseen = unseen as f64 / peer.covered.len() as f64;
            }
        }
    }

    /// Returns the state of an account, which is created if it is new.
    pub(super) fn account_mut(&mut self, account: &AccountName) -> &mut AccountState {
        let window = self.tolerance.window;
        let start = self.started_at;
        self.accounts
            .get_or_insert_with(account.clone(), || AccountState::new(window, start))
    }

    /// Updates since when this host knows the usage of all hosts.
    pub(super) fn update_coverage(&mut self, now: Duration) {
        let is_fresh = |at: Duration| now.saturating_sub(at) < COVERAGE_TTL;
        if self.covered_at.is_some_and(is_fresh) {
            return;
        }
        let reporting = || self.peers.values().filter(|peer| peer.is_reporting(now));
        let known = reporting().map(|peer| peer.known).max();
        let counted = reporting().map(|peer| peer.hosts).sum::<usize>() + 1;
        let is_minority = 2 * counted < self.host_counts(now).sharing;
        if is_minority || (counted as f64) < COVERED_FRACTION * self.hosts as f64 {
            if !self.was_just_covered(now) {
                self.forget_former_demand();
            }
            return;
        }
        self.forget_former_demand();
        self.covered_at = Some(now);
        let since = now.saturating_sub(known.unwrap_or_default());
        self.known_since = self.known_since.min(since);
    }

    fn forget_former_demand(&mut self) {
        for (_, state) in self.accounts.iter_mut() {
            state.former_demand.clear();
        }
    }

    /// Removes what is older than a window.
    pub fn remove_expired(&mut self, now: Duration) {
        let oldest = 2 * self.tolerance.window;
        self.clocks.retain(|_, clock| !clock.is_older(oldest, now));
        let clocks = &self.clocks;
        for (_, state) in self.accounts.iter_mut() {
            let time_of = |host: IncarnationId| clocks.get(&host).map(|clock| clock.now(now));
            state.counters.remove_expired(time_of, now);
        }
    }

    /// Returns the length of the buckets in reports, in milliseconds.
    pub(super) fn bucket_ms(&self) -> u32 {
        bucket_length(self.tolerance.window).as_millis() as u32
    }

    /// Returns what a report of this host for a scope is based on.
    pub fn basis(&self, scope: UsageScope, now: Duration) -> ReportBasis {
        let known = now
            .saturating_sub(self.known_since)
            .min(self.tolerance.window);
        let peers = self.peers_of(scope);
        let hosts = peers.map(|peer| peer.counted_hosts(now)).sum::<usize>() + 1;
        ReportBasis {
            clock_ms: now.as_millis() as u64,
            bucket_ms: self.bucket_ms(),
            known_ms: known.as_millis() as u32,
            hosts: hosts.min(usize::from(u16::MAX)) as u16,
            age_ms: self.mean_age(scope, now).as_millis() as u32,
        }
    }

    /// Returns whether reports of all hosts arrived recently. Hosts that are missing now may
    /// report over another leader.
    pub(super) fn was_just_covered(&self, now: Duration) -> bool {
        self.last_coverage(now).is_some()
    }

    /// Returns the time since reports of all hosts arrived, if it is short.
    pub(super) fn last_coverage(&self, now: Duration) -> Option<Duration> {
        let elapsed = self.covered_at.map(|at| now.saturating_sub(at));
        elapsed.filter(|elapsed| *elapsed < HEARTBEAT_TIMEOUT)
    }

    /// Returns the part of a window that this host may use of an account before it knows the
    /// demand elsewhere. Until reports of all hosts have arrived, the usage before its start is
    /// not known either. If the demand known so far, scaled to all hosts, exceeds the quota, no
    /// more counts than what has accrued since.
    fn even_share(&self, usable: f64, demand: f64, rate: QuotaRate, now: Duration) -> f64 {
        let uptime = now.saturating_sub(self.started_at);
        let hosts = self.host_counts(now).sharing as f64;
        let is_known = self.covered_at.is_some() || uptime >= REPORT_TIMEOUT || hosts <= 1.0;
        let scale = hosts / (self.counted_hosts(now) + 1) as f64;
        let amount = match is_known || demand * scale <= rate.per_second {
            true => usable,
            false => usable.min(UNEVEN_FACTOR * rate.per_second * uptime.as_secs_f64()),
        };
        amount / hosts
    }

    /// Marks a host that announced its shutdown and will use no more quota. Its past usage
    /// still counts, and is not counted twice if it keeps reporting until it stops.
    pub fn mark_departed(&mut self, host: &str) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.departed = true;
        }
    }

    /// Computes which fraction of each priority class of an account is admitted.
    fn refresh_plan(&mut self, name: &str, rate: QuotaRate, now: Duration) {
        let unresponsive = self.unresponsive_gaps(name, now);
        let gaps = self.usage_gaps(now);
        let usable = rate.burst + rate.per_second * self.tolerance.window.as_secs_f64();
        let state = self.accounts.get_mut(name);
        let demand = state.map_or(0.0, |state| state.known_demand(now));
        let even_share = self.even_share(usable, demand, rate, now);
        let Some(state) = self.accounts.get_mut(name) else {
            return;
        };
        let used_per_second = demand.min(rate.per_second);
        let estimated = |period: Duration| -> f64 {
            let used = unresponsive.iter().map(|gap| gap.seconds(period));
            let unreported = gaps.iter().map(|gap| gap.seconds(period));
            used.sum::<f64>() * rate.per_second + unreported.sum::<f64>() * used_per_second
        };
        let mut reported = Vec::new();
        for peer in self
            .peers
            .values()
            .filter(|peer| !peer.is_unresponsive(now))
        {
            let account = peer.account(name).map(|account| &account.usage.demands);
            for demand in account.into_iter().flatten() {
                add_demand(&mut reported, *demand);
            }
        }
        let unresponsive_share: f64 = unresponsive.iter().map(|gap| gap.share).sum();
        let responsive_share = (1.0 - unresponsive_share).max(0.0);
        let former_demand = &state.former_demand;
        let (mut demands, quota_share) = former_demand.larger(reported, responsive_share, now);
        for demand in state.demand.demands(now) {
            add_demand(&mut demands, demand);
        }
        // Each side of a partition may use its share of the burst only.
        let shared = QuotaRate {
            burst: rate.burst * quota_share,
            reserved: rate.reserved * quota_share,
            ..rate
        };
        let recent = state.counters.recent(now);
        let bucket = bucket_length(self.tolerance.window);
        let available = available(&recent, bucket, shared, self.known_since, now, estimated);
        let per_second = rate.per_second * quota_share + rate_correction(available, shared);
        state.plan = Some(AdmissionPlan {
            created_at: now,
            available,
            overdraft: rate.overdraft,
            per_second: rate.per_second * quota_share,
            usable,
            quota_share,
            even_share,
            fractions: share_by_priority(per_second, &demands),
            demands,
        });
    }
}
