//! What one host knows of one target.

use std::time::Duration;

use super::AttemptOutcome;
use super::HostPosition;
use super::PoolMember;
use super::SlotGrant;
use super::cold_start::ColdStart;
use super::gap_tracker::GapTracker;
use super::limit_table::LimitEntry;
use super::peer_loads::LoadSum;
use super::request_limit::RequestLimit;
use crate::catalog::ColdLimit;
use crate::view::TargetPhase;
use crate::view::TargetRecord;

/// How long a target with work of this host may say nothing before it gets no
/// more. A running engine sends an event each 25 to 100 ms, a plain service
/// answers in tens of ms; a crashed host is silent for ever, and without this
/// each request sent there is lost until its registration lapses after seconds.
const SILENCE_BOUND: Duration = Duration::from_millis(700);
/// How long a target that could not be reached is left alone at first, and at most.
const FIRST_REST: Duration = Duration::from_millis(250);
const LONGEST_REST: Duration = Duration::from_secs(2);
/// The weight of a new outcome in the share of failures: the last five or so
/// count, so that a target that fails all is known after as many requests.
const OUTCOME_WEIGHT: f64 = 0.2;

/// What one host knows of one target.
#[derive(Debug)]
pub(super) struct TargetRuntime {
    pub(super) record: TargetRecord,
    /// Requests of this host there.
    pub(super) own: u32,
    /// What other hosts have there, as they last told.
    pub(super) peers: LoadSum,
    /// Tokens of this host's prompts there that are still to be read.
    pub(super) pending_prefill_tokens: u64,
    pub(super) pace: GapTracker,
    /// Whether this host uses it first.
    pub(super) in_shard: bool,
    /// Whether its availability zone is evacuated.
    evacuated: bool,
    cold_limit: Option<ColdLimit>,
    cold_start: Option<ColdStart>,
    limit: Option<RequestLimit>,
    /// Share of failures among the last outcomes.
    failures: f64,
    /// Since when nothing was heard although work of this host is there.
    silent_since: Option<Duration>,
    rest_until: Duration,
    next_rest: Duration,
}

impl TargetRuntime {
    /// Starts with a target of which nothing but its registration is known.
    pub(super) fn new(member: PoolMember, now: Duration) -> Self {
        let record = member.record;
        let is_cold = !record.cold_remaining.is_zero();
        Self {
            evacuated: member.evacuated,
            cold_limit: member.cold_limit,
            cold_start: is_cold.then(|| ColdStart::registered(record.cold_remaining, now)),
            limit: None,
            record,
            own: 0,
            peers: LoadSum::default(),
            pending_prefill_tokens: 0,
            pace: GapTracker::default(),
            in_shard: true,
            failures: 0.0,
            silent_since: None,
            rest_until: Duration::ZERO,
            next_rest: FIRST_REST,
        }
    }

    /// Takes a new registration in. A new life of the target knows nothing of
    /// the one before, so what was seen of that is forgotten.
    pub(super) fn renew(&mut self, member: PoolMember, now: Duration) {
        let record = &member.record;
        if self.record.started_at_ms != record.started_at_ms
            || self.record.address != record.address
        {
            let own = self.own;
            *self = Self::new(member, now);
            self.own = own;
            return;
        }
        if self.evacuated && !member.evacuated {
            self.cold_start = Some(ColdStart::returned(now));
        }
        let is_news = self.record.revision != record.revision;
        if is_news && !record.cold_remaining.is_zero() {
            let cold_start = self.cold_start.filter(|held| !held.is_over(now));
            let mut cold_start = cold_start.unwrap_or(ColdStart::lost(now));
            cold_start.extend(record.cold_remaining, now);
            self.cold_start = Some(cold_start);
        }
        self.evacuated = member.evacuated;
        self.cold_limit = member.cold_limit;
        self.record = member.record;
    }

    /// Tells whether the target may get new work at all.
    pub(super) fn is_accepting(&self) -> bool {
        self.record.phase == TargetPhase::Ready && !self.evacuated
    }

    /// Tells whether all hosts use it by turns: it is cold, or may be, or it names how many
    /// requests it takes.
    pub(super) fn is_rate_limited(&self, now: Duration) -> bool {
        self.is_cold(now) || self.limit.is_some()
    }

    fn is_cold(&self, now: Duration) -> bool {
        let cold_start = self.cold_start.filter(|_| self.cold_limit.is_some());
        cold_start.is_some_and(|cold_start| !cold_start.is_over(now))
    }

    /// Takes the limit that the target names.
    pub(super) fn set_limit(&mut self, entry: Option<LimitEntry>) {
        let named = entry.and_then(|entry| Some((entry.per_second?, entry.since)));
        self.limit = named.map(|(per_second, since)| match self.limit {
            Some(limit) => limit.renew(per_second, since),
            None => RequestLimit::new(per_second, since),
        });
    }

    /// Tells whether the leader of a group may grant its slots.
    pub(super) fn is_grantable(&self, now: Duration) -> bool {
        let usable = self.is_accepting() && self.is_healthy(now);
        self.in_shard && usable && !self.is_rate_limited(now)
    }

    /// Tells whether this host may send to it now, as far as hosts use it by turns. A host
    /// that doesn't know its turn sends to no such target.
    pub(super) fn has_turn(&self, turn: Option<HostPosition>, now: Duration) -> bool {
        self.has_cold_turn(turn, now) && self.has_limit_turn(turn, now)
    }

    fn has_cold_turn(&self, turn: Option<HostPosition>, now: Duration) -> bool {
        let (true, Some(cold_start), Some(limit)) =
            (self.is_cold(now), self.cold_start, self.cold_limit)
        else {
            return true;
        };
        turn.is_some_and(|turn| cold_start.has_turn(&self.record.name, limit, turn, now))
    }

    fn has_limit_turn(&self, turn: Option<HostPosition>, now: Duration) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        turn.is_some_and(|turn| limit.has_turn(&self.record.name, turn, now))
    }

    /// Tells whether the target seems fit for new work.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        now >= self.rest_until && !self.is_silent(now)
    }

    /// Tells whether the target is held for lost: it could not be reached, or says
    /// nothing. A target that is only full is not.
    pub(super) fn is_suspected(&self, now: Duration) -> bool {
        let unreached = now < self.rest_until && self.next_rest > FIRST_REST;
        unreached || self.is_silent(now)
    }

    /// Returns how many requests it can start at once.
    pub(super) fn free_slots(&self) -> u32 {
        let taken = self.own + self.peers.running;
        self.record.slots.saturating_sub(taken)
    }

    /// Returns how many requests this host may start there by what it was granted. A target
    /// that all hosts use by turns is not granted to anybody.
    pub(super) fn granted_room(&self, grants: &[SlotGrant], now: Duration) -> u32 {
        if self.is_rate_limited(now) {
            return self.free_slots();
        }
        let name = &self.record.name;
        let index = grants.binary_search_by(|grant| grant.target.cmp(name));
        let granted = index.map_or(0, |index| grants[index].slots);
        granted.saturating_sub(self.own)
    }

    /// Returns how many tokens are read there before those of a new prompt.
    pub(super) fn tokens_ahead(&self) -> u64 {
        self.pending_prefill_tokens + self.peers.pending_prefill_tokens
    }

    /// Returns how many times as slow it is as a target with this pause.
    pub(super) fn slowness(&self, fastest_pause: Option<f64>) -> f64 {
        match (fastest_pause, self.pace.pause_ms()) {
            (Some(fastest), Some(own)) => (own / fastest).max(1.0),
            _ => 1.0,
        }
    }

    /// Returns the share of outcomes that were no failures, 0 to 1.
    pub(super) fn success_rate(&self) -> f64 {
        1.0 - self.failures
    }

    /// Notes that work is sent there.
    pub(super) fn record_dispatch(&mut self, prompt_tokens: u64, now: Duration) {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.record_dispatch(now);
        }
        if let Some(limit) = &mut self.limit {
            limit.record_dispatch(now);
        }
        self.own += 1;
        self.pending_prefill_tokens += prompt_tokens;
        self.silent_since.get_or_insert(now);
    }

    /// Notes that the target sent something.
    pub(super) fn record_activity(&mut self, now: Duration) {
        self.silent_since = Some(now);
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.note_answer(now);
        }
    }

    /// Notes that a prompt was read: its first event came, or it ended before.
    pub(super) fn note_prompt_read(&mut self, prompt_tokens: u64) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prompt_tokens);
    }

    /// Notes that work there ended.
    pub(super) fn record_outcome(&mut self, end: AttemptOutcome, now: Duration) {
        self.own = self.own.saturating_sub(1);
        if self.own == 0 {
            self.silent_since = None;
        }
        match end {
            AttemptOutcome::Succeeded => {
                self.failures -= OUTCOME_WEIGHT * self.failures;
                self.next_rest = FIRST_REST;
                self.rest_until = Duration::ZERO;
            }
            AttemptOutcome::Failed => self.failures += OUTCOME_WEIGHT * (1.0 - self.failures),
            AttemptOutcome::Rejected => self.rest(now, FIRST_REST),
            AttemptOutcome::Unreachable | AttemptOutcome::Unresponsive => {
                self.rest(now, self.next_rest);
                self.cold_start = Some(ColdStart::lost(now));
                self.next_rest = (self.next_rest * 2).min(LONGEST_REST);
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    fn rest(&mut self, now: Duration, rest: Duration) {
        self.rest_until = self.rest_until.max(now + rest);
    }

    fn is_silent(&self, now: Duration) -> bool {
        self.silent_since
            .is_some_and(|since| now.saturating_sub(since) > SILENCE_BOUND)
    }
}
