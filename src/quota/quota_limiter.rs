//! Fleet-wide enforcement of account quotas.

use std::time::Duration;

use super::account_state::AccountState;
use super::account_state::AdmissionPlan;
use super::account_state::PUBLISH_PERIOD;
use super::account_state::QuotaDecision;
use super::account_state::QuotaRequest;
use super::account_state::rate_correction;
use super::demand_tracker::add_demand;
use super::peer_usage::AccountUsage;
use super::peer_usage::PeerAccount;
use super::peer_usage::PeerUsage;
use super::peer_usage::REPORT_TIMEOUT;
use super::peer_usage::UsageReport;
use super::peer_usage::UsageScope;
use super::peer_usage::omitted_accounts;
use super::priority_split::share_by_priority;
use super::quota_tolerance::QuotaRate;
use super::quota_tolerance::QuotaTolerance;
use super::quota_tolerance::QuotaTransition;
use super::usage_totals::UsageTotals;
use crate::catalog::ClientAccount;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// Fraction of an unresponsive peer's quota share that is an equal split among hosts; the rest
/// follows the demand it reported before. Callers may move to another host when theirs is cut
/// off.
pub(super) const EVEN_FRACTION: f64 = 0.25;
/// How long the admission plan of an account is used before it is recomputed.
const PLAN_TTL: Duration = Duration::from_millis(25);

/// Age of a host's last heartbeat above which the host counts as unresponsive. Heartbeat
/// ages are relayed over two hops, a few per message.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3000);

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
    /// Largest possible number of hosts, including this one.
    pub(super) hosts: usize,
    pub(super) accounts: SortedMap<AccountName, AccountState>,
    pub(super) peers: SortedMap<HostName, PeerUsage>,
    /// Whether hosts report through group leaders.
    grouped: bool,
    /// When `grouped` last changed.
    regrouped_at: Option<Duration>,
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
            accounts: SortedMap::new(),
            peers: SortedMap::new(),
            grouped: false,
            regrouped_at: None,
            group_totals: None,
            fleet_totals: None,
            logged_at: now,
        }
    }

    /// Replaces the tolerance. Usage that was counted stays counted.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance, now: Duration) {
        if self.tolerance == tolerance {
            return;
        }
        self.tolerance = tolerance;
        for (_, state) in self.accounts.iter_mut() {
            state.window = state.window.resized(tolerance.window, now);
            state.own_window = state.own_window.resized(tolerance.window, now);
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
            None => QuotaDecision::Rejected,
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
        let is_first = (self.grouped || self.has_just_regrouped(now)) && same_incarnation.is_none();
        let is_new_host = report.scope == UsageScope::Host && uptime <= REPORT_TIMEOUT;
        // The usage is already counted from another peer's report: a leader that has just started
        // reports that of hosts that have not.
        let is_already_counted =
            is_first && !is_new_host && now.saturating_sub(self.started_at) > REPORT_TIMEOUT;
        // Other leaders counted this usage from the report of a former leader.
        let is_already_reported = is_first && uptime > REPORT_TIMEOUT;
        let is_direct = report.scope == UsageScope::Host;
        self.remove_covered(report.scope);
        let mut accounts: Vec<PeerAccount> = Vec::with_capacity(report.accounts.len());
        for usage in report.accounts {
            let previous = known.as_ref().and_then(|peer| peer.account(&usage.account));
            let counted = same_incarnation.and(previous);
            let window = self.tolerance.window;
            let start = self.started_at;
            let state = self
                .accounts
                .get_or_insert_with(usage.account.clone(), || AccountState::new(window, start));
            // Usage between two reports is counted at the time of the later one. If it were
            // spread evenly, part of a surge would leave the window too early. After a gap,
            // or in a host's first report, the usage cannot all be recent, so it is spread, as
            // is the usage of accounts that this host does not serve, which is reported less
            // often.
            let is_periodic = report.scope == UsageScope::Fleet && !state.is_served(now);
            let since = match (same_incarnation, counted) {
                (Some(peer), _) if peer.is_unresponsive(now) => peer.received_at,
                (Some(_), Some(previous)) if is_periodic => {
                    previous.listed_at.max(now.saturating_sub(PUBLISH_PERIOD))
                }
                (None, _) if uptime > REPORT_TIMEOUT => now.saturating_sub(uptime),
                _ => now,
            };
            let used = usage.total - counted.map_or(0.0, |previous| previous.usage.total);
            let used = match is_already_counted {
                true => 0.0,
                false => used.max(0.0),
            };
            state.add_peer_usage(used, since, start, now);
            let used = match is_already_reported {
                true => 0.0,
                false => used,
            };
            match is_direct {
                true => {
                    state.direct_total += used;
                    state.direct_changed_at = Some(now);
                }
                false => {
                    state.relayed_total += used;
                    state.relayed_changed_at = Some(now);
                }
            }
            let share = state.update_demand(previous, &usage, now);
            let counted = previous.map_or(0.0, |previous| previous.counted) + used;
            accounts.push(PeerAccount {
                usage,
                listed_at: now,
                share,
                counted,
            });
        }
        for mut account in omitted_accounts(known.as_ref(), &accounts) {
            let Some(state) = self.accounts.get_mut(&account.usage.account) else {
                continue;
            };
            match same_incarnation {
                Some(peer) => {
                    // The fleet's usage of accounts that this host does not serve is reported
                    // less often.
                    let is_due = is_direct
                        || report.scope == UsageScope::Group
                        || state.is_served(now)
                        || now.saturating_sub(account.listed_at) > PUBLISH_PERIOD;
                    if is_due {
                        let elapsed = now.saturating_sub(peer.received_at);
                        state.decay_demand(&mut account, elapsed, now);
                    }
                    accounts.push(account);
                }
                None => state.subtract_peer_demand(&account),
            }
        }
        accounts.sort_by(|left, right| left.usage.account.cmp(&right.usage.account));
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
        let peers = self.peers.len();
        for (_, state) in self.accounts.iter_mut() {
            state.record_report(peers, now);
        }
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
                state.subtract_peer_demand(account);
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
        let window = self.tolerance.window.as_secs_f64();
        let usable = rate.burst + rate.per_second * window;
        state.plan = Some(AdmissionPlan {
            created_at: now,
            available,
            overdraft: rate.overdraft,
            usable,
            even_share: usable / self.hosts.max(1) as f64,
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
    pub(super) fn unresponsive_peer_shares(
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
    pub(super) fn peers_of(&self, scope: UsageScope) -> impl Iterator<Item = &PeerUsage> {
        let peers = self.peers.values();
        peers.filter(move |peer| scope != UsageScope::Group || peer.scope == UsageScope::Host)
    }
}
