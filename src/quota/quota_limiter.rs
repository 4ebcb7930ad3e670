//! Fleet-wide enforcement of account quotas.

use std::time::Duration;

use super::demand_tracker::DemandTracker;
use super::demand_tracker::add_demand;
use super::demand_tracker::subtract_demand;
use super::peer_usage::AccountUsage;
use super::peer_usage::PeerAccount;
use super::peer_usage::PeerUsage;
use super::peer_usage::REPORT_TIMEOUT;
use super::peer_usage::UnresponsiveHosts;
use super::peer_usage::UsageReport;
use super::peer_usage::UsageScope;
use super::peer_usage::omitted_accounts;
use super::priority_split::ClassDemand;
use super::priority_split::PriorityClass;
use super::priority_split::share_by_priority;
use super::quota_tolerance::QuotaRate;
use super::quota_tolerance::QuotaTolerance;
use super::quota_tolerance::QuotaTransition;
use super::usage_window::UsageWindow;
use crate::catalog::ClientAccount;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// Fraction of an unresponsive peer's quota share that is an equal split among hosts; the rest
/// follows the demand it reported before. Callers may move to another host when theirs is cut
/// off.
const EVEN_FRACTION: f64 = 0.25;
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
/// How long the admission plan of an account is used before it is recomputed.
const PLAN_TTL: Duration = Duration::from_millis(25);

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
    Rejected,
}

/// How long totals over peers are reused for reports.
const TOTALS_TTL: Duration = Duration::from_millis(50);
/// Age of a host's last heartbeat above which the host counts as unresponsive. Heartbeat
/// ages are relayed over two hops, a few per message.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3000);

/// Fraction of each priority class that is currently admitted.
#[derive(Debug)]
struct AdmissionPlan {
    created_at: Duration,
    /// Amount available when the plan was made, minus what this host has admitted since.
    available: f64,
    overdraft: f64,
    demands: Vec<ClassDemand>,
    /// Admitted fractions, 0 to 1, in the order of `demands`.
    fractions: Vec<f64>,
}

#[derive(Debug)]
struct AccountState {
    window: UsageWindow,
    demand: DemandTracker,
    own_total: f64,
    /// Counted usage of hosts that report here directly.
    direct_total: f64,
    /// Counted usage of all other hosts, from aggregated reports.
    relayed_total: f64,
    /// Sum of the demand that peers reported, in tokens per second.
    peer_demand: f64,
    /// `None` until this host gets a request of the account.
    quota: Option<QuotaTransition>,
    plan: Option<AdmissionPlan>,
}

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
    started_at: Duration,
    /// Largest possible number of hosts, including this one.
    hosts: usize,
    accounts: SortedMap<AccountName, AccountState>,
    peers: SortedMap<HostName, PeerUsage>,
    /// Whether hosts report through group leaders.
    grouped: bool,
    /// When `grouped` last changed.
    regrouped_at: Option<Duration>,
    group_totals: Option<UsageTotals>,
    fleet_totals: Option<UsageTotals>,
}

/// Totals over several hosts, for aggregated reports.
#[derive(Clone, Debug)]
struct UsageTotals {
    computed_at: Duration,
    accounts: Vec<AccountUsage>,
    unresponsive: UnresponsiveHosts,
}

impl QuotaLimiter {
    /// Creates the limiter of a host that starts now in a fleet of `hosts`.
    pub const fn new(tolerance: QuotaTolerance, hosts: usize, now: Duration) -> Self {
        Self {
            tolerance,
            started_at: now,
            hosts,
            accounts: SortedMap::new(),
            peers: SortedMap::new(),
            grouped: false,
            regrouped_at: None,
            group_totals: None,
            fleet_totals: None,
        }
    }

    /// Sets whether hosts report through group leaders. Usage counted from earlier reports
    /// stays counted and is not counted again from later ones.
    pub fn set_grouped(&mut self, grouped: bool, now: Duration) {
        if self.grouped == grouped {
            return;
        }
        self.grouped = grouped;
        self.regrouped_at = Some(now);
        self.remove_peers(|_| true);
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
        state
            .demand
            .record(request.priority_class, request.cost, now);
        let transition = state.quota.get_or_insert(QuotaTransition::new(quota));
        let quota = transition.effective(quota, window, now);
        let rate = self.tolerance.quota_rate(quota);
        let created_at = state.plan.as_ref().map(|plan| plan.created_at);
        if created_at.is_none_or(|created_at| now.saturating_sub(created_at) >= PLAN_TTL) {
            self.refresh_plan(&account.name, rate, now);
        }
        match self.accounts.get_mut(&account.name) {
            Some(state) => state.try_consume(request, now, random),
            None => QuotaDecision::Rejected,
        }
    }

    /// Returns this host's usage for a report: accounts with recent demand, or `all`. A peer
    /// that received all accounts once keeps the totals of those that are left out later.
    pub fn own_usage(&mut self, all: bool, now: Duration) -> Vec<AccountUsage> {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(account, state)| AccountUsage {
                account: account.clone(),
                total: state.own_total,
                demands: state.demand.demands(now),
                unresponsive_share: 0.0,
            })
            .filter(|usage| usage.is_reported(all))
            .collect()
    }

    /// Returns the usage of this host and its reporting hosts, for other leaders.
    pub fn group_usage(
        &mut self,
        all: bool,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let totals = self.totals(UsageScope::Group, now);
        let reported = totals.accounts.into_iter();
        let accounts = reported.filter(|usage| usage.is_reported(all));
        (accounts.collect(), totals.unresponsive)
    }

    /// Returns the usage of all hosts except the receiver, for a host that reports here.
    pub fn fleet_usage(
        &mut self,
        receiver: &str,
        all: bool,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let mut totals = self.totals(UsageScope::Fleet, now);
        let receiver = self.peers.get(receiver);
        for usage in &mut totals.accounts {
            let Some(account) = receiver.and_then(|peer| peer.account(&usage.account)) else {
                continue;
            };
            usage.total = (usage.total - account.counted).max(0.0);
            for demand in &account.usage.demands {
                subtract_demand(&mut usage.demands, *demand);
            }
        }
        let reported = totals.accounts.into_iter();
        let accounts = reported.filter(|usage| usage.is_reported(all));
        (accounts.collect(), totals.unresponsive)
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

    /// Applies the usage that a host reported about itself; `uptime` is the time since it
    /// started.
    pub fn apply_host_usage(
        &mut self,
        host: HostName,
        incarnation: IncarnationId,
        uptime: Duration,
        usage: Vec<AccountUsage>,
        now: Duration,
    ) {
        self.apply_report(host, UsageReport::of_host(incarnation, uptime, usage), now);
    }

    /// Applies a peer's report.
    pub fn apply_report(&mut self, host: HostName, report: UsageReport, now: Duration) {
        let UsageReport {
            incarnation,
            uptime,
            ..
        } = report;
        let known = self.peers.remove(&host);
        let same_incarnation = known
            .as_ref()
            .filter(|peer| peer.incarnation == incarnation && peer.scope == report.scope);
        // The usage is already counted from another peer's report.
        let is_already_counted = (self.grouped || self.has_just_regrouped(now))
            && same_incarnation.is_none()
            && uptime > REPORT_TIMEOUT
            && now.saturating_sub(self.started_at) > REPORT_TIMEOUT;
        let is_direct = report.scope == UsageScope::Host;
        self.remove_covered(report.scope);
        let mut accounts: Vec<PeerAccount> = Vec::with_capacity(report.accounts.len());
        for usage in report.accounts {
            let previous = known.as_ref().and_then(|peer| peer.account(&usage.account));
            let counted = same_incarnation.and(previous);
            // Usage between two reports is counted at the time of the later one. If it were
            // spread evenly, part of a surge would leave the window too early. After a gap,
            // or in a host's first report, the usage cannot all be recent, so it is spread.
            let since = match same_incarnation {
                Some(peer) if peer.is_unresponsive(now) => peer.received_at,
                None if uptime > REPORT_TIMEOUT => now.saturating_sub(uptime),
                _ => now,
            };
            let window = self.tolerance.window;
            let start = self.started_at;
            let state = self
                .accounts
                .get_or_insert_with(usage.account.clone(), || AccountState::new(window, start));
            let used = usage.total - counted.map_or(0.0, |previous| previous.usage.total);
            let used = match is_already_counted {
                true => 0.0,
                false => used.max(0.0),
            };
            state.add_peer_usage(used, since, start, now);
            match is_direct {
                true => state.direct_total += used,
                false => state.relayed_total += used,
            }
            let share = state.update_demand(previous, &usage, now);
            let counted = previous.map_or(0.0, |previous| previous.counted) + used;
            accounts.push(PeerAccount {
                usage,
                share,
                counted,
            });
        }
        let omitted = omitted_accounts(known.as_ref(), &accounts);
        for account in &omitted {
            if let Some(state) = self.accounts.get_mut(&account.usage.account) {
                state.peer_demand = (state.peer_demand - account.usage.demand()).max(0.0);
            }
        }
        if same_incarnation.is_some() {
            accounts.extend(omitted.iter().map(PeerAccount::without_demand));
            accounts.sort_by(|left, right| left.usage.account.cmp(&right.usage.account));
        }
        let peer = PeerUsage {
            incarnation,
            scope: report.scope,
            covered: report.covered,
            hosts: report.hosts.max(1),
            unresponsive: report.unresponsive,
            received_at: now,
            departed: false,
            unseen: 1.0,
            accounts,
        };
        self.peers.insert(host, peer);
    }

    /// Removes the reports that a report of this scope supersedes. A leader's report on the
    /// fleet covers all other hosts, and an earlier report of a leader covers the hosts that
    /// now report here directly.
    fn remove_covered(&mut self, scope: UsageScope) {
        self.remove_peers(|peer| scope == UsageScope::Fleet || peer.scope == UsageScope::Fleet);
    }

    fn remove_peers(&mut self, is_removed: impl Fn(&PeerUsage) -> bool) {
        let removed = self.peers.values().filter(|peer| is_removed(peer));
        for account in removed.flat_map(|peer| &peer.accounts) {
            if let Some(state) = self.accounts.get_mut(&account.usage.account) {
                state.peer_demand = (state.peer_demand - account.usage.demand()).max(0.0);
            }
        }
        self.peers.retain(|_, peer| !is_removed(peer));
    }

    /// Returns whether the reporting path changed recently, so that some hosts may not have
    /// reported over the new one yet.
    fn has_just_regrouped(&self, now: Duration) -> bool {
        let regrouped_at = self.regrouped_at;
        regrouped_at.is_some_and(|at| now.saturating_sub(at) < HEARTBEAT_TIMEOUT)
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
        let unresponsive = self.unresponsive_shares(name, now);
        let estimated = |period: Duration| -> f64 {
            let used = unresponsive
                .iter()
                .map(|(share, age)| share * period.min(*age).as_secs_f64());
            used.sum::<f64>() * rate.per_second
        };
        let Some(state) = self.accounts.get_mut(name) else {
            return;
        };
        let available = state
            .window
            .available(rate, self.started_at, now, estimated);
        let mut demands = state.demand.demands(now);
        for peer in self
            .peers
            .values()
            .filter(|peer| !peer.is_unresponsive(now))
        {
            let reported = peer.account(name).map(|account| &account.usage.demands);
            for demand in reported.into_iter().flatten() {
                add_demand(&mut demands, *demand);
            }
        }
        let unresponsive: f64 = unresponsive.iter().map(|(share, _)| share).sum();
        let responsive = (1.0 - unresponsive).max(0.0);
        let per_second = rate.per_second * responsive + rate_correction(available, rate);
        state.plan = Some(AdmissionPlan {
            created_at: now,
            available,
            overdraft: rate.overdraft,
            fractions: share_by_priority(per_second, &demands),
            demands,
        });
    }

    /// Returns the shares of an account's requests that reach unresponsive hosts, each with the
    /// time since their last report. Hosts that never reported count since this host started.
    fn unresponsive_shares(&self, name: &str, now: Duration) -> Vec<(f64, Duration)> {
        let counted: usize = self
            .peers
            .values()
            .filter(|peer| peer.may_consume(now))
            .map(|peer| peer.hosts)
            .sum();
        let hosts = self.hosts.max(counted + 1) as f64;
        let mut shares = self.unresponsive_peer_shares(name, hosts, UsageScope::Fleet, now);
        let unreported = self.hosts.saturating_sub(counted + 1) as f64;
        if unreported > 0.0 && !self.has_just_regrouped(now) {
            shares.push((unreported / hosts, now.saturating_sub(self.started_at)));
        }
        shares
    }

    /// Returns the same for the hosts covered by reports of a scope, in a fleet of `hosts`.
    fn unresponsive_peer_shares(
        &self,
        name: &str,
        hosts: f64,
        scope: UsageScope,
        now: Duration,
    ) -> Vec<(f64, Duration)> {
        let mut shares = Vec::new();
        for peer in self.peers_of(scope).filter(|peer| peer.may_consume(now)) {
            let account = peer.account(name);
            if peer.is_unresponsive(now) {
                let demanded = account.map_or(0.0, |account| account.share);
                let even = EVEN_FRACTION * peer.hosts as f64 / hosts;
                let share = (even + (1.0 - EVEN_FRACTION) * demanded) * peer.unseen;
                shares.push((share, now.saturating_sub(peer.received_at)));
            } else if peer.unresponsive.hosts > 0 {
                let demanded = account.map_or(0.0, |account| account.usage.unresponsive_share);
                let share = EVEN_FRACTION * f64::from(peer.unresponsive.hosts) / hosts + demanded;
                shares.push((
                    share,
                    Duration::from_millis(u64::from(peer.unresponsive.age_ms)),
                ));
            }
        }
        shares.retain(|(share, _)| *share > 0.0);
        shares
    }

    /// Returns the peers whose usage is included in a report of this scope.
    fn peers_of(&self, scope: UsageScope) -> impl Iterator<Item = &PeerUsage> {
        let peers = self.peers.values();
        peers.filter(move |peer| scope != UsageScope::Group || peer.scope == UsageScope::Host)
    }

    /// Returns the totals of this host and the peers of a scope.
    fn totals(&mut self, scope: UsageScope, now: Duration) -> UsageTotals {
        let cached = match scope {
            UsageScope::Group => &self.group_totals,
            UsageScope::Host | UsageScope::Fleet => &self.fleet_totals,
        };
        if let Some(cached) = cached
            && now.saturating_sub(cached.computed_at) < TOTALS_TTL
        {
            return cached.clone();
        }
        let totals = self.compute_totals(scope, now);
        match scope {
            UsageScope::Group => self.group_totals = Some(totals.clone()),
            UsageScope::Host | UsageScope::Fleet => self.fleet_totals = Some(totals.clone()),
        }
        totals
    }

    fn compute_totals(&mut self, scope: UsageScope, now: Duration) -> UsageTotals {
        let mut accounts: Vec<AccountUsage> = self
            .accounts
            .iter_mut()
            .map(|(account, state)| AccountUsage {
                account: account.clone(),
                total: state.own_total
                    + state.direct_total
                    + match scope {
                        UsageScope::Group => 0.0,
                        UsageScope::Host | UsageScope::Fleet => state.relayed_total,
                    },
                demands: state.demand.demands(now),
                unresponsive_share: 0.0,
            })
            .collect();
        let hosts = self.hosts.max(1) as f64;
        let mut unresponsive = UnresponsiveHosts::default();
        for peer in self.peers_of(scope).filter(|peer| peer.may_consume(now)) {
            if peer.is_unresponsive(now) {
                let age = now.saturating_sub(peer.received_at).as_millis() as u32;
                unresponsive.hosts += (peer.hosts as f64 * peer.unseen).round() as u16;
                unresponsive.age_ms = unresponsive.age_ms.max(age);
            } else {
                unresponsive.hosts += peer.unresponsive.hosts;
                unresponsive.age_ms = unresponsive.age_ms.max(peer.unresponsive.age_ms);
            }
        }
        for total in &mut accounts {
            for peer in self
                .peers_of(scope)
                .filter(|peer| !peer.is_unresponsive(now))
            {
                let reported = peer.account(&total.account);
                for demand in reported
                    .into_iter()
                    .flat_map(|account| &account.usage.demands)
                {
                    add_demand(&mut total.demands, *demand);
                }
            }
            let shares = self.unresponsive_peer_shares(&total.account, hosts, scope, now);
            let even = EVEN_FRACTION * f64::from(unresponsive.hosts) / hosts;
            let all: f64 = shares.iter().map(|(share, _)| share).sum();
            total.unresponsive_share = (all - even).max(0.0);
        }
        UsageTotals {
            computed_at: now,
            accounts,
            unresponsive,
        }
    }
}

impl AccountState {
    fn new(window: Duration, started_at: Duration) -> Self {
        Self {
            window: UsageWindow::new(window),
            demand: DemandTracker::new(started_at),
            own_total: 0.0,
            direct_total: 0.0,
            relayed_total: 0.0,
            peer_demand: 0.0,
            quota: None,
            plan: None,
        }
    }

    fn try_consume(&mut self, request: QuotaRequest, now: Duration, random: f64) -> QuotaDecision {
        if let Some(plan) = &mut self.plan {
            let has_quota = plan.available + plan.overdraft >= request.cost;
            if !has_quota || random >= plan.fraction(request.priority_class) {
                return QuotaDecision::Rejected;
            }
            plan.available -= request.cost;
        }
        self.window.add(request.cost, now);
        self.own_total += request.cost;
        QuotaDecision::Admitted
    }

    /// Adds a peer's usage since `since`, limited to the part after this host started.
    fn add_peer_usage(&mut self, used: f64, since: Duration, started_at: Duration, now: Duration) {
        if since >= started_at {
            return self.window.add_since(used, since, now);
        }
        let length = now.saturating_sub(since).as_secs_f64();
        let uptime = now.saturating_sub(started_at).as_secs_f64();
        self.window
            .add_since(used * uptime / length.max(0.001), started_at, now);
    }

    /// Applies the demand that a peer reported; returns the peer's smoothed share of the
    /// fleet's demand.
    fn update_demand(
        &mut self,
        previous: Option<&PeerAccount>,
        usage: &AccountUsage,
        now: Duration,
    ) -> f64 {
        let demand = usage.demand();
        let previous_demand = previous.map_or(0.0, |previous| previous.usage.demand());
        self.peer_demand = (self.peer_demand + demand - previous_demand).max(0.0);
        let own: f64 = self
            .demand
            .demands(now)
            .iter()
            .map(|demand| demand.per_second)
            .sum();
        let share = demand / (self.peer_demand + own).max(1.0);
        match previous {
            Some(previous) => previous.share + SHARE_SMOOTHING * (share - previous.share),
            None => share,
        }
    }
}

impl AdmissionPlan {
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
fn rate_correction(available: f64, rate: QuotaRate) -> f64 {
    let surplus = available - rate.reserved;
    let time = match surplus > 0.0 {
        true => SURPLUS_TIME,
        false => DEFICIT_TIME,
    };
    surplus / time.as_secs_f64()
}
