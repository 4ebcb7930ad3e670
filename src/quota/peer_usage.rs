//! What peers report of the accounts' usage.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::priority_split::ClassDemand;
use crate::ids::AccountName;
use crate::ids::IncarnationId;

/// How long a peer may be silent before its usage is estimated.
pub(super) const SILENCE_BOUND: Duration = Duration::from_millis(2000);
/// The same for a report on behalf of other hosts: they turn to another leader meanwhile.
const RELAY_SILENCE_BOUND: Duration = Duration::from_millis(3000);
/// How long the usage of a silent peer is estimated. A host that is gone for
/// longer has been replaced, or serves nobody.
const SILENCE_MEMORY: Duration = Duration::from_secs(30);

/// What one host tells of an account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountName,
    /// What was admitted, summed over the reporting host's life.
    pub total: f64,
    /// What is asked for now, by kind, sorted.
    pub demands: Vec<ClassDemand>,
    /// The share of the account's work that silent hosts of the report get, 0 to 1.
    pub unresponsive_share: f64,
}

/// Whose usage a report tells.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UsageScope {
    /// The reporting host's.
    Host,
    /// That of all hosts that report to it.
    Group,
    /// That of all hosts but the receiver.
    Fleet,
}

/// Hosts of a report that are silent and may serve callers all the same.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnresponsiveHosts {
    /// How many.
    pub hosts: u16,
    /// For how long the first of them has been, in milliseconds.
    pub age_ms: u32,
}

/// What a peer reports.
#[derive(Clone, Debug)]
pub struct UsageReport {
    /// The reporting host's present life.
    pub incarnation: IncarnationId,
    /// For how long it has lasted.
    pub uptime: Duration,
    /// Whose usage it tells.
    pub scope: UsageScope,
    /// The hosts of a group by the hashes of their names.
    pub covered: Vec<u32>,
    /// How many hosts it covers.
    pub hosts: usize,
    /// The usage, sorted by account.
    pub accounts: Vec<AccountUsage>,
    /// Silent hosts among those that it covers.
    pub unresponsive: UnresponsiveHosts,
}

/// What a peer told of an account, and how much of the account's work it gets.
#[derive(Clone, Debug)]
pub(super) struct PeerAccount {
    pub(super) told: AccountUsage,
    /// The part of what is asked of all hosts that was asked of this one, 0 to 1.
    pub(super) part: f64,
    /// What was counted of its usage here.
    pub(super) counted: f64,
}

/// The last report of a peer.
#[derive(Debug)]
pub(super) struct PeerUsage {
    pub(super) incarnation: IncarnationId,
    pub(super) scope: UsageScope,
    pub(super) covered: Vec<u32>,
    pub(super) hosts: usize,
    pub(super) unresponsive: UnresponsiveHosts,
    pub(super) heard: Duration,
    pub(super) left: bool,
    /// The part of its hosts that nobody has seen lately, 0 to 1.
    pub(super) unseen: f64,
    /// Sorted by account.
    pub(super) accounts: Vec<PeerAccount>,
}

impl UsageReport {
    /// Makes a host's report of itself.
    pub fn of_host(
        incarnation: IncarnationId,
        uptime: Duration,
        accounts: Vec<AccountUsage>,
    ) -> Self {
        Self {
            incarnation,
            uptime,
            scope: UsageScope::Host,
            covered: Vec::new(),
            hosts: 1,
            accounts,
            unresponsive: UnresponsiveHosts::default(),
        }
    }
}

impl AccountUsage {
    /// Tells whether a report names the account: it was asked for lately, or `all` are named.
    pub(super) fn is_reported(&self, all: bool) -> bool {
        !self.demands.is_empty() || all && self.total > 0.0
    }

    /// Returns what is asked for, in tokens a second, over all kinds.
    pub(super) fn demand(&self) -> f64 {
        self.demands.iter().map(|demand| demand.per_second).sum()
    }
}

impl PeerAccount {
    /// Returns what stands of the account while nobody asks for it.
    pub(super) fn at_rest(&self) -> Self {
        Self {
            told: AccountUsage {
                demands: Vec::new(),
                ..self.told.clone()
            },
            ..*self
        }
    }
}

impl PeerUsage {
    pub(super) fn account(&self, name: &str) -> Option<&PeerAccount> {
        find_account(&self.accounts, name)
    }

    /// Tells whether its hosts may consume quota: they have not left, and are not long gone.
    pub(super) fn counts(&self, now: Duration) -> bool {
        !self.left && now.saturating_sub(self.heard) < SILENCE_MEMORY
    }

    pub(super) fn is_silent(&self, now: Duration) -> bool {
        let bound = match self.scope {
            UsageScope::Host => SILENCE_BOUND,
            UsageScope::Group | UsageScope::Fleet => RELAY_SILENCE_BOUND,
        };
        now.saturating_sub(self.heard) > bound
    }
}

/// Returns the accounts that a peer told of before and does not now: nobody asks for
/// them there any more.
pub(super) fn untold_of(before: Option<&PeerUsage>, accounts: &[PeerAccount]) -> Vec<PeerAccount> {
    let before = before.into_iter().flat_map(|peer| &peer.accounts);
    let untold = before.filter(|account| find_account(accounts, &account.told.account).is_none());
    untold.cloned().collect()
}

fn find_account<'a>(accounts: &'a [PeerAccount], name: &str) -> Option<&'a PeerAccount> {
    let found = accounts.binary_search_by(|account| account.told.account.as_str().cmp(name));
    found.ok().map(|index| &accounts[index])
}
