//! The allowances of accounts over all hosts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::token_bucket::BucketRate;
use super::token_bucket::TokenBucket;
use crate::catalog::ClientAccount;
use crate::catalog::TokenRate;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// How long a peer may be silent before its spending is estimated. In the largest
/// fleets a host hears from every other one about once a second.
const SILENCE_BOUND: Duration = Duration::from_millis(2000);
/// How long the spending of a silent peer is estimated. A host that is gone for
/// longer has been replaced, or serves nobody.
const SILENCE_MEMORY: Duration = Duration::from_secs(30);
/// How a window's worth and its tolerance are shared out, as parts of what the
/// allowance gives in a window:
///
/// - The bucket fills at the window's whole worth, burst included, and 3% more.
/// - It holds a tenth of that worth and two fifths of the slack.
/// - A host starts with half of that: after a kill of all hosts nobody knows what
///   was spent, and two such starts in one window must not break the bound.
///
/// What is left of the tolerance covers what hosts let in before they hear of each
/// other, some tenths of a second of the account's demand. A window that could be
/// used up at once let an account at five times its usual load take all engines for
/// seconds, and twice as much when all hosts were killed behind that.
const FILL_FACTOR: f64 = 1.03;
const SIZE_SHARE: f64 = 0.1;
const SLACK_SHARE: f64 = 0.4;
const START_SHARE: f64 = 0.5;

/// How many seconds of the rate may be owed because peers spent more than there was:
/// all of it, where a fleet of a hundred hears of a sudden demand a second late.
const LONGEST_DEBT: f64 = 3.0;
/// By how much two hosts' starts may differ that count as one.
const SAME_START: Duration = Duration::from_millis(1500);
/// How long a host is cautious behind its first request: until then it has heard
/// little of what others spend, and they of it.
const CAUTION_TIME: Duration = Duration::from_millis(2500);
/// For how long before its first request it counts the rate, so that it may begin.
const CAUTION_START: Duration = Duration::from_millis(400);
/// Up to how many hosts there is no need for caution: their words are quick.
const SMALL_FLEET: usize = 16;
/// How many even parts of the rate a cautious host may spend.
const LARGE_FLEET_PARTS: f64 = 1.5;

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
    bucket: TokenBucket,
    own_total: f64,
    /// Until when the estimate of silent peers was drawn.
    estimated_at: Duration,
    phase: PhasedRate,
}

/// The rate of an allowance that may have been lowered a moment ago.
///
/// A lower allowance counts for the part of the window that lies behind the change:
/// what was asked before it was within the one before, and an account that did as
/// it was told must not be shut out for a whole window.
#[derive(Clone, Copy, Debug)]
struct PhasedRate {
    present: BucketRate,
    before: BucketRate,
    changed: Duration,
}

/// The allowances of accounts over all hosts.
///
/// Each host keeps a bucket at the whole rate, and draws from it what it spends and
/// what its peers tell that they spent. The delay of that telling is what can be
/// spent twice: some hundred ms of the rate. For a peer that is silent though it was
/// not said to have left, its even part of the rate is drawn, so that both sides of
/// a split keep within the whole together.
#[derive(Debug)]
pub struct AllowanceLedger {
    tolerance: SpendTolerance,
    /// When this host started.
    born: Duration,
    /// When the first request was counted.
    began: Option<Duration>,
    accounts: SortedMap<AccountName, AccountState>,
    peers: SortedMap<HostName, PeerSpending>,
}

impl AllowanceLedger {
    /// Makes the ledger of a host that starts now.
    pub const fn new(tolerance: SpendTolerance, now: Duration) -> Self {
        Self {
            tolerance,
            born: now,
            began: None,
            accounts: SortedMap::new(),
            peers: SortedMap::new(),
        }
    }

    /// Counts a request of `cost` if it is within the account's allowance.
    pub fn spend(&mut self, account: &ClientAccount, cost: f64, now: Duration) -> SpendVerdict {
        let Some(allowance) = account.allowance else {
            return SpendVerdict::Within;
        };
        let window = self.tolerance.window;
        let wanted = self.tolerance.bucket_rate(allowance);
        let silent = self.silent_peers(now) as f64 / (self.peers.len() + 1) as f64;
        let caution = self.caution(now);
        let state = self
            .accounts
            .get_or_insert_with(account.name.clone(), || AccountState::new(wanted, now));
        let rate = state.phase.rate(wanted, window, now);
        state.draw_estimate(rate.per_second * silent, now);
        let level = state.bucket.fill(rate, now);
        state.bucket.forgive(rate.per_second * LONGEST_DEBT);
        if level < cost.min(rate.size) {
            return SpendVerdict::Beyond(state.bucket.time_until(cost, rate));
        }
        if let Some(seconds) = caution
            && state.own_total > 0.0
            && state.own_total + cost > rate.per_second * seconds
        {
            return SpendVerdict::Beyond(CAUTION_TIME / 5);
        }
        state.bucket.draw(cost);
        state.own_total += cost;
        SpendVerdict::Within
    }

    /// Returns what this host has spent, for its peers.
    pub fn own_spending(&self) -> Vec<AccountSpending> {
        let accounts = self.accounts.iter();
        accounts
            .filter(|(_, state)| state.own_total > 0.0)
            .map(|(account, state)| AccountSpending {
                account: account.clone(),
                total: state.own_total,
            })
            .collect()
    }

    /// Takes what a peer told that it has spent in its present life of `age`.
    pub fn take_peer(
        &mut self,
        host: HostName,
        incarnation: IncarnationId,
        age: Duration,
        spending: Vec<AccountSpending>,
        now: Duration,
    ) {
        // It began when this host did: after a kill of all hosts nothing of what it
        // spent was heard before, and all of it lies in the present window.
        let began_together = age <= now.saturating_sub(self.born) + SAME_START;
        let known = self.peers.remove(&host);
        for spent in &spending {
            let Some(state) = self.accounts.get_mut(&spent.account) else {
                continue;
            };
            let drawn = match &known {
                // What was spent before this host heard of it is accounted for by
                // the little that it starts with.
                None if !began_together => 0.0,
                None => spent.total,
                Some(peer) if peer.incarnation != incarnation => spent.total,
                Some(peer) => spent.total - peer.total_of(&spent.account),
            };
            state.bucket.draw(drawn.max(0.0));
        }
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

    /// Returns how many seconds' worth of the whole rate this host may have spent by
    /// now, while it is cautious.
    ///
    /// Load it answers: an account at several times its limit, at all hosts of a
    /// large fleet, right after all of them were killed. Each of them would let in
    /// all that it is asked until it hears of the others.
    fn caution(&mut self, now: Duration) -> Option<f64> {
        let age = now.saturating_sub(*self.began.get_or_insert(now));
        if age >= CAUTION_TIME {
            return None;
        }
        let hosts = self.peers.len() + 1;
        if hosts <= SMALL_FLEET {
            return None;
        }
        let seconds = (age + CAUTION_START).as_secs_f64();
        Some(seconds * LARGE_FLEET_PARTS / hosts as f64)
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
    /// Returns how an allowance is let in.
    fn bucket_rate(self, allowance: TokenRate) -> BucketRate {
        let seconds = self.window.as_secs_f64().max(0.001);
        let worth = allowance.per_second * seconds + allowance.burst;
        // Without any tolerance the burst is all that may come at once.
        let strict = self.overage <= 0.0;
        BucketRate {
            per_second: match strict {
                true => allowance.per_second,
                false => worth / seconds * FILL_FACTOR,
            },
            size: match strict {
                true => allowance.burst,
                false => worth * SIZE_SHARE + self.slack * SLACK_SHARE,
            },
        }
    }
}

impl PhasedRate {
    /// Returns the rate now, where `wanted` is that of the allowance in force.
    fn rate(&mut self, wanted: BucketRate, window: Duration, now: Duration) -> BucketRate {
        if wanted != self.present {
            self.before = self.present;
            self.present = wanted;
            self.changed = now;
        }
        let passed = now.saturating_sub(self.changed).as_secs_f64();
        let share = (1.0 - passed / window.as_secs_f64().max(0.001)).max(0.0);
        let blend = |before: f64, present: f64| present + (before - present).max(0.0) * share;
        BucketRate {
            per_second: blend(self.before.per_second, self.present.per_second),
            size: blend(self.before.size, self.present.size),
        }
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
    fn new(rate: BucketRate, now: Duration) -> Self {
        Self {
            bucket: TokenBucket::new(rate.size * START_SHARE, now),
            own_total: 0.0,
            estimated_at: now,
            phase: PhasedRate {
                present: rate,
                before: rate,
                changed: Duration::ZERO,
            },
        }
    }

    /// Draws what silent peers may have spent since the last look.
    fn draw_estimate(&mut self, per_second: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.estimated_at).as_secs_f64();
        self.estimated_at = now;
        self.bucket.draw(per_second * elapsed.min(1.0));
    }
}
