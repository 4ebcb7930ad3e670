//! The allowances of accounts over all hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::spend_window::SpendWindow;
use crate::catalog::ClientAccount;
use crate::catalog::TokenRate;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// How long a peer may be silent before its spending is estimated. Peers tell
/// theirs several times a second.
const SILENCE_BOUND: Duration = Duration::from_millis(1000);
/// How long the spending of a silent peer is estimated. A host that is gone for
/// longer has been replaced, or serves nobody.
const SILENCE_MEMORY: Duration = Duration::from_secs(30);
/// The share of the tolerance that hosts use: the rest is for what two of them let
/// in at the same moment, some tenths of a second of the account's demand.
const TOLERANCE_SHARE: f64 = 0.5;
/// What a host supposes to be spent already when it starts and nobody tells. After
/// all hosts were killed an account could otherwise use its whole window twice.
const START_SPENT: f64 = 0.6;

/// How far all hosts together may go beyond an allowance.
///
/// Without it accounts that ask just what they may are refused now and then: what
/// peers tell comes late, and an account's requests come in clumps. On a day whose
/// accounts keep within their limits that refused one request in fourteen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendTolerance {
    /// The window over which spending is counted.
    pub window: Duration,
    /// A share of the rate and the burst.
    pub overage: f64,
    /// A fixed amount in a window.
    pub slack: f64,
}

/// What one host has spent of an account's allowance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountSpending {
    /// The account.
    pub account: AccountName,
    /// The sum over the host's life.
    pub total: f64,
    /// The sum over the last window.
    pub recent: f64,
}

/// Whether a request is within its account's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendVerdict {
    /// It is, and was counted.
    Within,
    /// It is not; there is enough for it again after this time.
    Beyond(Duration),
}

#[derive(Debug)]
struct PeerSpending {
    incarnation: IncarnationId,
    heard: Duration,
    left: bool,
    spending: Vec<AccountSpending>,
}

#[derive(Debug)]
struct AccountState {
    /// What all hosts spent, as far as it is known here.
    all: SpendWindow,
    /// What this host spent.
    own: SpendWindow,
    own_total: f64,
    /// Until when the estimate of silent peers was counted.
    estimated_at: Duration,
    limit: PhasedLimit,
}

/// The limit of a window during which the allowance may have been lowered.
///
/// A lower allowance counts for the part of the window that lies behind the change:
/// what was asked before it was within the one before, and an account that did as
/// it was told must not be shut out for a whole window.
#[derive(Clone, Copy, Debug, Default)]
struct PhasedLimit {
    present: f64,
    before: f64,
    changed: Duration,
}

/// The allowances of accounts over all hosts.
///
/// Each host counts over a sliding window what it spends and what its peers tell
/// that they spent. The delay of that telling is what can be spent twice: some
/// hundred ms of the rate. For a peer that is silent though it was not said to have
/// left, its even part of the rate is counted, so that both sides of a split keep
/// within the whole together.
#[derive(Debug)]
pub struct AllowanceLedger {
    tolerance: SpendTolerance,
    started: Duration,
    /// Whether a peer told that was there before this host.
    told: bool,
    accounts: SortedMap<AccountName, AccountState>,
    peers: SortedMap<HostName, PeerSpending>,
}

impl AllowanceLedger {
    /// Makes the ledger of a host that starts now.
    pub const fn new(tolerance: SpendTolerance, now: Duration) -> Self {
        Self {
            tolerance,
            started: now,
            told: false,
            accounts: SortedMap::new(),
            peers: SortedMap::new(),
        }
    }

    /// Counts a request of `cost` if it is within the account's allowance.
    pub fn spend(&mut self, account: &ClientAccount, cost: f64, now: Duration) -> SpendVerdict {
        let Some(rate) = account.allowance else {
            return SpendVerdict::Within;
        };
        let tolerance = self.tolerance;
        let silent = self.silent_peers(now);
        let hosts = self.peers.len() + 1;
        let supposed = self.supposed_spent(now);
        let state = self.account(&account.name, now);
        let most = state.limit.at(tolerance.limit(rate), tolerance.window, now);
        state.count_estimate(rate.per_second * silent as f64 / hosts as f64, now);
        let level = most * (1.0 - supposed) - cost.min(most);
        if state.all.sum(now) > level {
            return SpendVerdict::Beyond(state.all.time_until(level, now));
        }
        state.all.add(cost, now);
        state.own.add(cost, now);
        state.own_total += cost;
        SpendVerdict::Within
    }

    /// Returns what this host has spent, for its peers.
    pub fn own_spending(&mut self, now: Duration) -> Vec<AccountSpending> {
        let accounts = self.accounts.iter_mut();
        accounts
            .filter(|(_, state)| state.own_total > 0.0)
            .map(|(account, state)| AccountSpending {
                account: account.clone(),
                total: state.own_total,
                recent: state.own.sum(now),
            })
            .collect()
    }

    /// Takes what a peer told that it has spent in its present life.
    pub fn take_peer(
        &mut self,
        host: HostName,
        incarnation: IncarnationId,
        spending: Vec<AccountSpending>,
        now: Duration,
    ) {
        let known = self.peers.remove(&host);
        for spent in &spending {
            let state = self.account(&spent.account, now);
            match &known {
                // It was there before this host, which counts from now on.
                None => state.all.add_spread(spent.recent, now),
                Some(peer) if peer.incarnation != incarnation => state.all.add(spent.total, now),
                Some(peer) => {
                    let before = peer.total_of(&spent.account);
                    state.all.add((spent.total - before).max(0.0), now);
                }
            }
        }
        self.told |= !spending.is_empty();
        let told = PeerSpending {
            incarnation,
            heard: now,
            left: false,
            spending,
        };
        self.peers.insert(host, told);
    }

    /// Notes that a host has left: it spends nothing any more. What it spent still
    /// counts, and is not taken twice if it goes on telling until its end.
    pub fn note_left(&mut self, host: &str) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.left = true;
        }
    }

    fn account(&mut self, name: &AccountName, now: Duration) -> &mut AccountState {
        let window = self.tolerance.window;
        self.accounts
            .get_or_insert_with(name.clone(), || AccountState {
                all: SpendWindow::new(window, now),
                own: SpendWindow::new(window, now),
                own_total: 0.0,
                estimated_at: now,
                limit: PhasedLimit::default(),
            })
    }

    /// Returns the share of a window that is supposed to be spent already.
    fn supposed_spent(&self, now: Duration) -> f64 {
        let window = self.tolerance.window.as_secs_f64().max(0.001);
        let age = now.saturating_sub(self.started).as_secs_f64();
        match self.told {
            true => 0.0,
            false => START_SPENT * (1.0 - age / window).max(0.0),
        }
    }

    fn silent_peers(&self, now: Duration) -> usize {
        let silent = |peer: &&PeerSpending| {
            let age = now.saturating_sub(peer.heard);
            !peer.left && age > SILENCE_BOUND && age < SILENCE_MEMORY
        };
        self.peers.values().filter(silent).count()
    }
}

impl SpendTolerance {
    /// Returns how much hosts let in over a window.
    fn limit(self, rate: TokenRate) -> f64 {
        let exact = rate.per_second * self.window.as_secs_f64() + rate.burst;
        exact * (1.0 + self.overage * TOLERANCE_SHARE) + self.slack * TOLERANCE_SHARE
    }
}

impl PhasedLimit {
    /// Returns the limit now, where `wanted` is that of the allowance in force.
    fn at(&mut self, wanted: f64, window: Duration, now: Duration) -> f64 {
        if wanted != self.present {
            self.before = self.present;
            self.present = wanted;
            self.changed = now;
        }
        let passed = now.saturating_sub(self.changed).as_secs_f64();
        let share = 1.0 - passed / window.as_secs_f64().max(0.001);
        let above = (self.before - self.present).max(0.0);
        self.present + above * share.max(0.0)
    }
}

impl PeerSpending {
    fn total_of(&self, account: &str) -> f64 {
        let mut spending = self.spending.iter();
        let found = spending.find(|spent| spent.account == account);
        found.map_or(0.0, |spent| spent.total)
    }
}

impl AccountState {
    /// Counts what silent peers may have spent since the last look.
    fn count_estimate(&mut self, per_second: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.estimated_at).as_secs_f64();
        self.estimated_at = now;
        self.all.add(per_second * elapsed.min(1.0), now);
    }
}
