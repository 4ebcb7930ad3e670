//! Usage reports of a host, and totals over hosts for aggregated reports.

use std::time::Duration;

use super::QuotaLimiter;
use super::account_state::AccountState;
use super::demand_tracker::add_demand;
use super::demand_tracker::subtract_demand;
use super::host_shares::EVEN_FRACTION;
use super::peer_usage::AccountUsage;
use super::peer_usage::FormerUsage;
use super::peer_usage::PeerUsage;
use super::peer_usage::UnresponsiveHosts;
use super::peer_usage::UsageScope;
use super::report_merge::UsageHandover;
use crate::ids::AccountName;
use crate::ids::IncarnationId;

/// How long totals over peers are reused for reports.
const TOTALS_TTL: Duration = Duration::from_millis(50);

/// Time for which a peer that is new here, or that has just started, gets whole reports.
const INTRODUCTION: Duration = Duration::from_secs(2);

/// Age of the last report of a host from which others pass on what it counted.
const FORMER_AGE: Duration = Duration::from_millis(1500);

/// Smallest change of an account's unresponsive share that is reported.
const SHARE_STEP: f64 = 0.001;

/// Totals over several hosts, for aggregated reports.
#[derive(Clone, Debug)]
pub(super) struct UsageTotals {
    computed_at: Duration,
    accounts: Vec<AccountTotal>,
    unresponsive: UnresponsiveHosts,
}

#[derive(Clone, Debug)]
struct AccountTotal {
    usage: AccountUsage,
    /// When it last changed.
    changed_at: Option<Duration>,
    /// When it was last reported to hosts that do not serve it.
    published_at: Option<Duration>,
}

/// The receiver of a report keeps what it got before and decays the demand itself. A report of
/// all accounts with demand to each of 36 leaders takes most of the link of a small host.
impl QuotaLimiter {
    /// Returns this host's usage for a report to `receiver`: the accounts that changed since the
    /// previous one, or all if the receiver is new here.
    pub fn own_usage(
        &mut self,
        receiver: &str,
        since: Option<Duration>,
        now: Duration,
    ) -> Vec<AccountUsage> {
        let since = self.known_reports_since(receiver, since, now);
        let grouped = self.grouped;
        let accounts = self.accounts.iter_mut();
        let usages = accounts.map(|(account, state)| {
            let is_changed = is_after(state.own_changed_at, since);
            state.own_report(account, grouped, is_changed, since, now)
        });
        let reported: Vec<AccountUsage> = usages.filter(AccountUsage::is_used).collect();
        let pending = reported.iter().filter(|usage| !usage.pending.is_empty());
        let pending = pending.map(|usage| (usage.account.clone(), usage.pending.clone()));
        self.handover = grouped.then(|| UsageHandover {
            leader: receiver.to_owned(),
            accounts: pending.collect(),
        });
        reported
    }

    /// Returns the usage of this host and its reporting hosts, for another leader: the accounts
    /// that changed since the previous report, or all if the receiver is new here.
    pub fn group_usage(
        &mut self,
        receiver: &str,
        since: Option<Duration>,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let since = self.known_reports_since(receiver, since, now);
        let totals = self.totals(UsageScope::Group, now);
        let mut reported = Vec::new();
        for mut total in totals.accounts {
            let Some(state) = self.accounts.get_mut(&total.usage.account) else {
                continue;
            };
            if !is_after(total.changed_at, since) {
                continue;
            }
            state.counters.count_own(now);
            total.usage.counted = state.counters.counted_since(margin_before(since));
            reported.push(total.usage);
        }
        reported.retain(AccountUsage::is_used);
        (reported, totals.unresponsive)
    }

    /// Returns the usage of all hosts, for a host that reports here: the accounts that it serves
    /// if they changed since the previous report, and others less often; all if the receiver is
    /// new here.
    pub fn fleet_usage(
        &mut self,
        receiver: &str,
        since: Option<Duration>,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let since = self.known_reports_since(receiver, since, now);
        let totals = self.totals(UsageScope::Fleet, now);
        let receiver = self.peers.get(receiver);
        let mut reported = Vec::new();
        for mut total in totals.accounts {
            let account = receiver.and_then(|peer| peer.account(&total.usage.account));
            let served = account.filter(|account| !account.usage.demands.is_empty());
            let is_changed = is_after(total.changed_at, since);
            if !(is_after(total.published_at, since) || served.is_some() && is_changed) {
                continue;
            }
            let Some(state) = self.accounts.get_mut(&total.usage.account) else {
                continue;
            };
            state.counters.count_own(now);
            // Reports leave out most changes of accounts that the receiver did not serve.
            let is_complete =
                served.is_some_and(|account| has_passed(account.listed_since, INTRODUCTION, now));
            let since = margin_before(since).filter(|_| is_complete);
            let usage = &mut total.usage;
            usage.counted = state.counters.counted_since(since);
            usage.relayed = state.counters.relayed_since(since);
            let own = account.map_or(&[][..], |account| &account.usage.demands);
            for demand in own {
                subtract_demand(&mut usage.demands, *demand);
            }
            reported.push(total.usage);
        }
        reported.retain(AccountUsage::is_used);
        (reported, totals.unresponsive)
    }

    /// Returns what hosts counted that no longer report here, for a host that is new here.
    pub fn former_usage(&mut self, receiver: &str, now: Duration) -> Vec<FormerUsage> {
        if self.is_introduced(receiver, now) {
            return Vec::new();
        }
        let peers = self.peers.values();
        let reporting = peers.filter(|peer| {
            peer.scope != UsageScope::Fleet
                && !peer.departed
                && !has_passed(peer.received_at, FORMER_AGE, now)
        });
        let reporting: Vec<IncarnationId> = reporting.map(|peer| peer.incarnation).collect();
        let clocks = self.clocks.iter();
        let former = clocks.filter(|(origin, _)| !reporting.contains(origin));
        let former = former.map(|(origin, clock)| {
            let accounts = self.accounts.iter();
            let counted =
                accounts.map(|(account, state)| (account.clone(), state.counters.origin(*origin)));
            FormerUsage {
                origin: *origin,
                clock_ms: clock.now(now).as_millis() as u64,
                accounts: counted.filter(|(_, counted)| !counted.is_empty()).collect(),
            }
        });
        former
            .filter(|former| !former.accounts.is_empty())
            .collect()
    }

    /// Returns whether a peer has got whole reports of this host.
    fn is_introduced(&self, receiver: &str, now: Duration) -> bool {
        let peer = self.peers.get(receiver);
        peer.is_some_and(|peer| has_passed(peer.met_at, INTRODUCTION, now))
    }

    /// Returns since when changes are reported to a peer; `None` if it needs everything.
    fn known_reports_since(
        &self,
        receiver: &str,
        since: Option<Duration>,
        now: Duration,
    ) -> Option<Duration> {
        since.filter(|_| self.is_introduced(receiver, now))
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
        let mut usages = self.usage_without_peers(now);
        let peers = self.peers_of(scope);
        for peer in peers.filter(|peer| !peer.is_unresponsive(now)) {
            add_peer_demands(&mut usages, peer);
        }
        let unresponsive = self.unresponsive_hosts(scope, now);
        if unresponsive.hosts > 0 {
            let counts = self.host_counts(now);
            let even = EVEN_FRACTION * f64::from(unresponsive.hosts) / counts.sharing as f64;
            for usage in &mut usages {
                let gaps = self.unresponsive_peer_gaps(&usage.account, counts, scope, now);
                let all: f64 = gaps.iter().map(|gap| gap.share).sum();
                usage.unresponsive_share = (all - even).max(0.0);
            }
        }
        let states = self.accounts.iter_mut();
        let accounts = states.zip(usages).map(|((_, state), usage)| {
            state.update_unresponsive_share(scope, usage.unresponsive_share, now);
            state.publish(now);
            AccountTotal {
                changed_at: state.changed_at(scope),
                published_at: state.published_at,
                usage,
            }
        });
        UsageTotals {
            computed_at: now,
            accounts: accounts.collect(),
            unresponsive,
        }
    }

    /// Returns the accounts with the demand of this host only.
    fn usage_without_peers(&mut self, now: Duration) -> Vec<AccountUsage> {
        let accounts = self.accounts.iter_mut();
        let usages = accounts.map(|(account, state)| AccountUsage {
            demands: state.demand.demands(now),
            ..AccountUsage::of_account(account)
        });
        usages.collect()
    }

    pub(super) fn unresponsive_hosts(&self, scope: UsageScope, now: Duration) -> UnresponsiveHosts {
        let mut unresponsive = UnresponsiveHosts::default();
        for peer in self.peers_of(scope).filter(|peer| peer.may_consume(now)) {
            if peer.is_unresponsive(now) {
                let age = now.saturating_sub(peer.received_at).as_millis() as u32;
                unresponsive.hosts += peer.counted_hosts(now) as u16;
                unresponsive.age_ms = unresponsive.age_ms.max(age);
            } else {
                unresponsive.hosts += peer.unresponsive.hosts;
                unresponsive.age_ms = unresponsive.age_ms.max(peer.unresponsive.age_ms);
            }
        }
        unresponsive
    }
}

impl AccountState {
    /// Returns the account's usage for a report of this host about itself.
    fn own_report(
        &mut self,
        account: &AccountName,
        grouped: bool,
        is_changed: bool,
        since: Option<Duration>,
        now: Duration,
    ) -> AccountUsage {
        let mut usage = AccountUsage::of_account(account);
        if grouped {
            (usage.pending, usage.handed_over) = self.counters.pending();
        }
        if is_changed && !grouped {
            self.counters.count_own(now);
        }
        if is_changed || !usage.pending.is_empty() {
            usage.counted = self.counters.counted_since(margin_before(since));
            usage.demands = self.demand.demands(now);
        }
        usage
    }

    /// Updates the share of the account's requests that reach unresponsive hosts of a scope; a
    /// different share is a change to report.
    fn update_unresponsive_share(&mut self, scope: UsageScope, share: f64, now: Duration) {
        let (held, changed_at) = match scope {
            UsageScope::Group => (
                &mut self.group_unresponsive_share,
                &mut self.direct_changed_at,
            ),
            UsageScope::Host | UsageScope::Fleet => (
                &mut self.fleet_unresponsive_share,
                &mut self.relayed_changed_at,
            ),
        };
        if (*held - share).abs() >= SHARE_STEP {
            *held = share;
            *changed_at = Some(now);
        }
    }
}

/// Adds the demand of a peer's accounts. Both lists are sorted by account.
fn add_peer_demands(usages: &mut [AccountUsage], peer: &PeerUsage) {
    let mut usages = usages.iter_mut().peekable();
    for reported in &peer.accounts {
        let name = &reported.usage.account;
        while usages.next_if(|usage| usage.account < *name).is_some() {}
        let Some(usage) = usages.next_if(|usage| usage.account == *name) else {
            continue;
        };
        for demand in &reported.usage.demands {
            add_demand(&mut usage.demands, *demand);
        }
    }
}

/// Totals may be older than a report by their TTL.
fn margin_before(since: Option<Duration>) -> Option<Duration> {
    since.map(|since| since.saturating_sub(TOTALS_TTL))
}

fn has_passed(since: Duration, period: Duration, now: Duration) -> bool {
    now.saturating_sub(since) >= period
}

/// Returns whether a change is to be reported; all are if `since` is `None`.
fn is_after(changed_at: Option<Duration>, since: Option<Duration>) -> bool {
    let since = margin_before(since);
    since.is_none() || changed_at.is_some_and(|at| Some(at) >= since)
}
