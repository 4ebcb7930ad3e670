//! Account usage as reported by peers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::demand_tracker::MIN_RATE;
use super::demand_tracker::decay_factor;
use super::priority_split::ClassDemand;
use super::usage_window::UsageBuckets;
use crate::ids::AccountName;
use crate::ids::IncarnationId;

/// Time without a report after which a peer's usage is estimated.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(2000);
/// The same for aggregated reports. It is longer because the reporting hosts switch to
/// another leader in the meantime.
const AGGREGATE_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long the usage of an unresponsive peer is estimated. A host that is away for longer has
/// been replaced or serves no callers.
pub(super) const ESTIMATE_PERIOD: Duration = Duration::from_secs(30);

/// Usage of one account in a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountName,
    /// What the reporting host was the first to count: what it admitted, and what was reported
    /// to it as a leader.
    pub counted: UsageBuckets,
    /// What it knows that others counted; in a report on the fleet.
    pub relayed: UsageBuckets,
    /// What a member of a group admitted and no leader has acknowledged.
    pub pending: UsageBuckets,
    /// The part of the same buckets that a leader acknowledged.
    pub handed_over: UsageBuckets,
    /// Current demand, sorted by priority class.
    pub demands: Vec<ClassDemand>,
    /// Share of the account's requests that reach the report's unresponsive hosts, 0 to 1.
    pub unresponsive_share: f64,
}

/// Which hosts a report covers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UsageScope {
    /// The reporting host.
    Host,
    /// The reporting host and the hosts that report to it.
    Group,
    /// All hosts except the receiver.
    Fleet,
}

/// Unresponsive hosts covered by a report. They may still be serving callers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnresponsiveHosts {
    /// Number of hosts.
    pub hosts: u16,
    /// Time since the last report of the one that has been unresponsive longest, in milliseconds.
    pub age_ms: u32,
}

/// Usage that a host counted which may not report it any more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FormerUsage {
    /// Incarnation of the host that counted it.
    pub origin: IncarnationId,
    /// Time on that host's clock, in milliseconds.
    pub clock_ms: u64,
    /// Usage by account.
    pub accounts: Vec<(AccountName, UsageBuckets)>,
}

/// What a usage report says about itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportBasis {
    /// Time on the reporting host's clock, in milliseconds.
    pub clock_ms: u64,
    /// Length of its buckets, in milliseconds.
    pub bucket_ms: u32,
    /// For how long it has known the usage of the fleet, in milliseconds.
    pub known_ms: u32,
    /// Number of hosts, including itself, whose reports it includes.
    pub hosts: u16,
    /// Mean age of the usage of these hosts, in milliseconds.
    pub age_ms: u32,
}

/// A usage report of a peer.
#[derive(Clone, Debug)]
pub struct UsageReport {
    /// Incarnation of the reporting host.
    pub incarnation: IncarnationId,
    /// What it is based on.
    pub basis: ReportBasis,
    /// Which hosts it covers.
    pub scope: UsageScope,
    /// Name hashes of the covered hosts; empty for the whole fleet.
    pub covered: Vec<u32>,
    /// Number of covered hosts.
    pub hosts: usize,
    /// Usage, sorted by account.
    pub accounts: Vec<AccountUsage>,
    /// Usage that hosts counted before they stopped or left their role.
    pub former: Vec<FormerUsage>,
    /// Unresponsive hosts among those covered.
    pub unresponsive: UnresponsiveHosts,
}

/// An account in a peer's last report, with the peer's share of its requests.
#[derive(Clone, Debug)]
pub(super) struct PeerAccount {
    pub(super) usage: AccountUsage,
    /// When a report last listed the account.
    pub(super) listed_at: Duration,
    /// Smoothed share of the fleet's demand that arrives at this peer, 0 to 1.
    pub(super) share: f64,
    /// Since when its reports list the account.
    pub(super) listed_since: Duration,
}

/// Last report of a peer.
#[derive(Debug)]
pub(super) struct PeerUsage {
    pub(super) incarnation: IncarnationId,
    pub(super) scope: UsageScope,
    pub(super) covered: Vec<u32>,
    pub(super) hosts: usize,
    pub(super) unresponsive: UnresponsiveHosts,
    pub(super) received_at: Duration,
    /// When the first report of this incarnation and scope was received.
    pub(super) met_at: Duration,
    /// For how long it had known the usage of the fleet.
    pub(super) known: Duration,
    /// Mean age of the usage in its last report.
    pub(super) age: Duration,
    /// Whether it announced its shutdown.
    pub(super) departed: bool,
    /// Fraction of its hosts without a recent heartbeat anywhere, 0 to 1.
    pub(super) unseen: f64,
    /// Sorted by account.
    pub(super) accounts: Vec<PeerAccount>,
}

impl UsageReport {
    /// Creates a host's report about itself.
    pub fn of_host(
        incarnation: IncarnationId,
        basis: ReportBasis,
        accounts: Vec<AccountUsage>,
    ) -> Self {
        Self {
            incarnation,
            basis,
            scope: UsageScope::Host,
            covered: Vec::new(),
            hosts: 1,
            accounts,
            former: Vec::new(),
            unresponsive: UnresponsiveHosts::default(),
        }
    }
}

impl AccountUsage {
    /// Creates a report of no usage and no demand.
    pub fn of_account(account: &AccountName) -> Self {
        Self {
            account: account.clone(),
            counted: UsageBuckets::default(),
            relayed: UsageBuckets::default(),
            pending: UsageBuckets::default(),
            handed_over: UsageBuckets::default(),
            demands: Vec::new(),
            unresponsive_share: 0.0,
        }
    }

    /// Returns whether it reports usage or demand.
    pub(super) fn is_used(&self) -> bool {
        let reported = [&self.counted, &self.relayed, &self.pending];
        !self.demands.is_empty() || reported.iter().any(|buckets| !buckets.is_empty())
    }

    /// Returns the total demand over all priority classes, in tokens per second.
    pub(super) fn demand(&self) -> f64 {
        self.demands.iter().map(|demand| demand.per_second).sum()
    }
}

impl PeerAccount {
    /// Decays the demand of an account without requests within `elapsed`, as reports leave out
    /// the accounts that did not change.
    pub(super) fn decay(&mut self, elapsed: Duration) {
        let factor = decay_factor(elapsed);
        for demand in &mut self.usage.demands {
            demand.per_second *= factor;
        }
        let demands = &mut self.usage.demands;
        demands.retain(|demand| demand.per_second > MIN_RATE);
    }
}

impl PeerUsage {
    pub(super) fn account(&self, name: &str) -> Option<&PeerAccount> {
        find_account(&self.accounts, name)
    }

    /// Returns whether it reports as this incarnation and for this scope.
    pub(super) fn has_role(&self, incarnation: IncarnationId, scope: UsageScope) -> bool {
        self.incarnation == incarnation && self.scope == scope
    }

    /// Returns whether its hosts may be consuming quota: they have not announced a shutdown,
    /// and their last report is not too old.
    pub(super) fn may_consume(&self, now: Duration) -> bool {
        !self.departed && now.saturating_sub(self.received_at) < ESTIMATE_PERIOD
    }

    /// Returns the number of its hosts that may be consuming quota. Those of an unresponsive peer
    /// that were seen elsewhere report to another leader.
    pub(super) fn counted_hosts(&self, now: Duration) -> usize {
        match (self.may_consume(now), self.is_unresponsive(now)) {
            (false, _) => 0,
            (true, false) => self.hosts,
            (true, true) => (self.hosts as f64 * self.unseen).round() as usize,
        }
    }

    /// Returns whether it knows the demand at its hosts. A new leader has received few
    /// reports.
    pub(super) fn knows_demand(&self) -> bool {
        let reported_for = self.received_at.saturating_sub(self.met_at);
        self.scope == UsageScope::Host || reported_for >= REPORT_TIMEOUT
    }

    /// Returns the mean age of what is known of its hosts' usage.
    pub(super) fn usage_age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.received_at)
    }

    /// Returns whether its last report is recent and it has not announced its shutdown.
    pub(super) fn is_reporting(&self, now: Duration) -> bool {
        !self.departed && !self.is_unresponsive(now)
    }

    /// Returns whether its last report is older than the timeout for its scope.
    pub(super) fn is_unresponsive(&self, now: Duration) -> bool {
        let timeout = match self.scope {
            UsageScope::Host => REPORT_TIMEOUT,
            UsageScope::Group | UsageScope::Fleet => AGGREGATE_TIMEOUT,
        };
        now.saturating_sub(self.received_at) > timeout
    }
}

/// Returns the accounts in a peer's previous reports that are missing from the new one: they
/// have not changed since.
pub(super) fn omitted_accounts(
    previous: Option<&PeerUsage>,
    accounts: &[PeerAccount],
) -> Vec<PeerAccount> {
    let previous = previous.into_iter().flat_map(|peer| &peer.accounts);
    let omitted =
        previous.filter(|account| find_account(accounts, &account.usage.account).is_none());
    omitted.cloned().collect()
}

fn find_account<'a>(accounts: &'a [PeerAccount], name: &str) -> Option<&'a PeerAccount> {
    let found = accounts.binary_search_by(|account| account.usage.account.as_str().cmp(name));
    found.ok().map(|index| &accounts[index])
}
