//! Usage reports of a host, and totals over hosts for aggregated reports.

use std::time::Duration;

use super::QuotaLimiter;
use super::account_state::AccountState;
use super::demand_tracker::add_demand;
use super::demand_tracker::subtract_demand;
use super::peer_usage::AccountUsage;
use super::peer_usage::PeerUsage;
use super::peer_usage::UnresponsiveHosts;
use super::peer_usage::UsageScope;
use super::quota_limiter::EVEN_FRACTION;

/// How long totals over peers are reused for reports.
const TOTALS_TTL: Duration = Duration::from_millis(50);

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

impl AccountTotal {
    /// Returns whether it changed since the time of a report, or was ever used if `since` is
    /// `None`. Totals may be older than the report by their TTL.
    fn is_changed(&self, since: Option<Duration>) -> bool {
        is_after(self.changed_at, since) && self.usage.is_used()
    }

    fn is_published(&self, since: Option<Duration>) -> bool {
        is_after(self.published_at, since) && self.usage.is_used()
    }
}

/// The receiver of a report keeps what it got before and decays the demand itself. A report of
/// all accounts with demand to each of 36 leaders takes most of the link of a small host.
impl QuotaLimiter {
    /// Returns this host's usage for a report: the accounts that changed since the previous one,
    /// or all if `since` is `None`.
    pub fn own_usage(&mut self, since: Option<Duration>, now: Duration) -> Vec<AccountUsage> {
        let accounts = self.accounts.iter_mut();
        let changed = accounts.filter(|(_, state)| is_after(state.own_changed_at, since));
        changed
            .map(|(account, state)| AccountUsage {
                account: account.clone(),
                total: state.own_total,
                demands: state.demand.demands(now),
                unresponsive_share: 0.0,
            })
            .filter(AccountUsage::is_used)
            .collect()
    }

    /// Returns the usage of this host and its reporting hosts, for another leader: the accounts
    /// that changed since the previous report, or all if `since` is `None`.
    pub fn group_usage(
        &mut self,
        since: Option<Duration>,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let totals = self.totals(UsageScope::Group, now);
        let accounts = totals.accounts.into_iter();
        let changed = accounts.filter(|total| total.is_changed(since));
        let reported = changed.map(|total| total.usage);
        (reported.collect(), totals.unresponsive)
    }

    /// Returns the usage of all hosts except the receiver, for a host that reports here: the
    /// accounts that it serves if they changed since the previous report, and others less
    /// often; all if `since` is `None`.
    pub fn fleet_usage(
        &mut self,
        receiver: &str,
        since: Option<Duration>,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let totals = self.totals(UsageScope::Fleet, now);
        let receiver = self.peers.get(receiver);
        let mut reported = Vec::new();
        for mut total in totals.accounts {
            let account = receiver.and_then(|peer| peer.account(&total.usage.account));
            let is_served = account.is_some_and(|account| !account.usage.demands.is_empty());
            if !(total.is_published(since) || is_served && total.is_changed(since)) {
                continue;
            }
            if let Some(account) = account {
                let usage = &mut total.usage;
                usage.total = (usage.total - account.counted).max(0.0);
                for demand in &account.usage.demands {
                    subtract_demand(&mut usage.demands, *demand);
                }
            }
            reported.push(total.usage);
        }
        (reported, totals.unresponsive)
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
        let mut usages = self.usage_without_peers(scope, now);
        let peers = self.peers_of(scope);
        for peer in peers.filter(|peer| !peer.is_unresponsive(now)) {
            add_peer_demands(&mut usages, peer);
        }
        let unresponsive = self.unresponsive_hosts(scope, now);
        if unresponsive.hosts > 0 {
            let hosts = self.hosts.max(1) as f64;
            let even = EVEN_FRACTION * f64::from(unresponsive.hosts) / hosts;
            for usage in &mut usages {
                let shares = self.unresponsive_peer_shares(&usage.account, hosts, scope, now);
                let all: f64 = shares.iter().map(|(share, _)| share).sum();
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

    /// Returns the usage of a scope by account, with the demand of this host only.
    fn usage_without_peers(&mut self, scope: UsageScope, now: Duration) -> Vec<AccountUsage> {
        let accounts = self.accounts.iter_mut();
        let usages = accounts.map(|(account, state)| AccountUsage {
            account: account.clone(),
            total: state.own_total
                + state.direct_total
                + match scope {
                    UsageScope::Group => 0.0,
                    UsageScope::Host | UsageScope::Fleet => state.relayed_total,
                },
            demands: state.demand.demands(now),
            unresponsive_share: 0.0,
        });
        usages.collect()
    }

    fn unresponsive_hosts(&self, scope: UsageScope, now: Duration) -> UnresponsiveHosts {
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
        unresponsive
    }
}

impl AccountState {
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

fn is_after(changed_at: Option<Duration>, since: Option<Duration>) -> bool {
    let since = since.map(|since| since.saturating_sub(TOTALS_TTL));
    since.is_none() || changed_at.is_some_and(|at| Some(at) >= since)
}
