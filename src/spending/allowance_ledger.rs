//! The allowances of accounts over all hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::token_bucket::TokenBucket;
use crate::catalog::ClientAccount;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// How long a peer may be silent before its spending is estimated. Peers tell
/// theirs several times a second.
const SILENCE_BOUND: Duration = Duration::from_millis(1000);
/// What a host starts with, as a share of the burst: hosts that start together,
/// after all were killed, would otherwise each spend the whole burst before they
/// heard of one another.
const START_SHARE: f64 = 0.3;

/// What one host has spent of an account's allowance in its life.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountSpending {
    /// The account.
    pub account: AccountName,
    /// The sum over the host's life.
    pub total: f64,
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
    totals: SortedMap<AccountName, f64>,
}

#[derive(Debug)]
struct AccountState {
    bucket: TokenBucket,
    own_total: f64,
    /// Until when the estimate of silent peers was drawn.
    estimated_at: Duration,
}

/// The allowances of accounts over all hosts.
///
/// Each host keeps a bucket at the whole rate and draws from it what it spends and
/// what its peers tell that they spent. The delay of that telling is what can be
/// spent twice: some hundred ms of the rate. For a peer that is silent though it
/// was not said to have left, its even part of the rate is drawn, so that both
/// sides of a split keep within the whole together.
#[derive(Debug, Default)]
pub struct AllowanceLedger {
    accounts: SortedMap<AccountName, AccountState>,
    peers: SortedMap<HostName, PeerSpending>,
}

impl AllowanceLedger {
    /// Counts a request of `cost` if it is within the account's allowance.
    pub fn spend(&mut self, account: &ClientAccount, cost: f64, now: Duration) -> SpendVerdict {
        let Some(rate) = account.allowance else {
            return SpendVerdict::Within;
        };
        let silent = self.silent_peers(now);
        let hosts = self.peers.len() + 1;
        let state = self
            .accounts
            .get_or_insert_with(account.name.clone(), || AccountState {
                bucket: TokenBucket::new(rate, START_SHARE, now),
                own_total: 0.0,
                estimated_at: now,
            });
        state.bucket.set_rate(rate, now);
        state.draw_estimate(rate.per_second * silent as f64 / hosts as f64, now);
        if state.bucket.level(now) < cost.min(rate.burst) {
            return SpendVerdict::Beyond(state.bucket.time_until(cost));
        }
        state.bucket.draw(cost);
        state.own_total += cost;
        SpendVerdict::Within
    }

    /// Returns what this host has spent, for its peers.
    pub fn own_spending(&self) -> Vec<AccountSpending> {
        let spending = self
            .accounts
            .iter()
            .map(|(account, state)| AccountSpending {
                account: account.clone(),
                total: state.own_total,
            });
        spending.collect()
    }

    /// Takes what a peer told that it has spent in its present life.
    pub fn take_peer(
        &mut self,
        host: HostName,
        incarnation: IncarnationId,
        spending: &[AccountSpending],
        now: Duration,
    ) {
        let known = self.peers.get(&host);
        for spent in spending {
            let drawn = match known {
                // What a host spent before this one heard of it lies in windows
                // that are mostly over.
                None => 0.0,
                Some(peer) if peer.incarnation != incarnation => spent.total,
                Some(peer) => {
                    let before = peer.totals.get(&spent.account).copied();
                    spent.total - before.unwrap_or(0.0)
                }
            };
            if let Some(state) = self.accounts.get_mut(&spent.account) {
                state.bucket.level(now);
                state.bucket.draw(drawn.max(0.0));
            }
        }
        let totals = spending
            .iter()
            .map(|spent| (spent.account.clone(), spent.total))
            .collect();
        let told = PeerSpending {
            incarnation,
            heard: now,
            totals,
        };
        self.peers.insert(host, told);
    }

    /// Forgets a host that has left: it spends nothing any more.
    pub fn forget_peer(&mut self, host: &str) {
        self.peers.remove(host);
    }

    fn silent_peers(&self, now: Duration) -> usize {
        let silent = |peer: &&PeerSpending| now.saturating_sub(peer.heard) > SILENCE_BOUND;
        self.peers.values().filter(silent).count()
    }
}

impl AccountState {
    /// Draws what silent peers may have spent since the last look.
    fn draw_estimate(&mut self, per_second: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.estimated_at).as_secs_f64();
        self.estimated_at = now;
        self.bucket.level(now);
        self.bucket.draw(per_second * elapsed.min(1.0));
    }
}
