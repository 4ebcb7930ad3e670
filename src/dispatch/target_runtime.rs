//! The state of one target as seen by one host.

use std::time::Duration;

use super::AttemptOutcome;
use super::HostPosition;
use super::PlacedTarget;
use super::PoolMember;
use super::SlotGrant;
use super::brittle_guard::BrittleGuard;
use super::brittle_guard::KnownRejection;
use super::brittle_guard::SlotUsage;
use super::cold_start::ColdStart;
use super::gap_tracker::GapTracker;
use super::limit_table::LimitEntry;
use super::outlier_ejection::OutlierEjection;
use super::peer_loads::LoadSum;
use super::request_limit::RequestLimit;
use crate::capacity::ConcurrencyWindow;
use crate::catalog::ColdLimit;
use crate::view::TargetIncarnation;
use crate::view::TargetPhase;
use crate::view::TargetRecord;

/// How long a target that runs requests of this host may send nothing before it counts as
/// unresponsive and gets no more. A running engine sends an event every 25 to 100 ms, and a
/// plain service answers within tens of ms. A crashed target never sends anything again, and
/// without this limit each request sent to it would be lost until its registration expires
/// after seconds.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval of the probes of a target that sends nothing.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The initial and maximum back-off after a target could not be reached.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The weight of a new outcome in the failure rate, which covers about the last five, so that
/// a target that fails every request is detected after as many requests.
const OUTCOME_WEIGHT: f64 = 0.2;

/// The state of one target as seen by one host.
#[derive(Debug)]
pub(super) struct TargetRuntime {
    pub(super) record: TargetRecord,
    /// Requests of this host that run there.
    pub(super) own_running: u32,
    /// The load of other hosts, by their last reports.
    pub(super) peer_load: LoadSum,
    /// Prompt tokens of this host's requests that are not prefilled yet.
    pub(super) pending_prefill_tokens: u64,
    pub(super) gaps: GapTracker,
    /// Whether the target is in this host's shard.
    pub(super) in_shard: bool,
    /// Whether the target's availability zone is evacuated.
    evacuated: bool,
    /// Whether the target stated in an answer that it is leaving.
    is_leaving: bool,
    /// End of the pause that the target asked for.
    paused_until: Duration,
    cold_limit: Option<ColdLimit>,
    cold_start: Option<ColdStart>,
    limit: Option<RequestLimit>,
    /// Moving average of failures among the outcomes, 0 to 1.
    error_rate: f64,
    ejection: OutlierEjection,
    /// When the target last sent something, or got its first running request; `None` while it
    /// runs no request of this host.
    last_activity_at: Option<Duration>,
    backoff_until: Duration,
    next_backoff: Duration,
    /// What was known of the target before the first loss since its last success.
    before_losses: Option<TargetMarks>,
    next_silence_probe: Duration,
    /// When the first connection failed since the last one that was established.
    unreachable_since: Option<Duration>,
    /// Admission while it crashes when it has to reject many requests.
    pub(super) brittle_guard: BrittleGuard,
    /// What this host may have outstanding there; only for plain targets, if hosts adapt to them.
    pub(super) window: Option<ConcurrencyWindow>,
}

/// What losses change.
#[derive(Clone, Copy, Debug)]
struct TargetMarks {
    error_rate: f64,
    cold_start: Option<ColdStart>,
}

impl TargetRuntime {
    /// Creates the state of a target that is known only by its registration.
    pub(super) fn new(member: PoolMember, now: Duration) -> Self {
        let record = member.record;
        let is_cold = !record.cold_remaining.is_zero();
        Self {
            evacuated: member.evacuated,
            is_leaving: false,
            paused_until: Duration::ZERO,
            cold_limit: member.cold_limit,
            cold_start: is_cold.then(|| ColdStart::registered(record.cold_remaining, now)),
            limit: None,
            record,
            own_running: 0,
            peer_load: LoadSum::default(),
            pending_prefill_tokens: 0,
            gaps: GapTracker::default(),
            in_shard: true,
            error_rate: 0.0,
            ejection: OutlierEjection::default(),
            last_activity_at: None,
            backoff_until: Duration::ZERO,
            next_backoff: INITIAL_BACKOFF,
            before_losses: None,
            next_silence_probe: Duration::ZERO,
            unreachable_since: None,
            brittle_guard: BrittleGuard::default(),
            window: None,
        }
    }

    /// Applies a new registration. After a restart of the target, the state learned of the
    /// former process is discarded, and its requests no longer count.
    pub(super) fn update_registration(&mut self, member: PoolMember, now: Duration) {
        let record = &member.record;
        if !self.is_incarnation(&record.incarnation()) {
            *self = Self::new(member, now);
            return;
        }
        if self.evacuated && !member.evacuated {
            self.cold_start = Some(ColdStart::returned(now));
        }
        // In another era of the store, an unchanged registration keeps its number.
        let has_changed = self.record.revision.number != record.revision.number
            || self.record.cold_remaining != record.cold_remaining;
        if has_changed && !record.cold_remaining.is_zero() {
            let cold_start = self.cold_start.filter(|held| !held.is_over(now));
            let mut cold_start = cold_start.unwrap_or(ColdStart::lost(now));
            cold_start.extend(record.cold_remaining, now);
            self.cold_start = Some(cold_start);
        }
        self.evacuated = member.evacuated;
        self.cold_limit = member.cold_limit;
        self.record = member.record;
    }

    /// Returns whether this is the state of the incarnation that a request was assigned to.
    pub(super) fn is_assigned(&self, placed: &PlacedTarget) -> bool {
        let record = &self.record;
        record.name == placed.name
            && record.address == placed.address
            && record.started_at_ms == placed.started_at_ms
    }

    /// Returns whether this is the state of the given incarnation.
    pub(super) fn is_incarnation(&self, target: &TargetIncarnation) -> bool {
        let record = &self.record;
        record.name == target.name
            && record.address == target.address
            && record.started_at_ms == target.started_at_ms
    }

    /// Returns whether the target accepts new work by its registration.
    pub(super) fn is_registered_ready(&self) -> bool {
        self.record.phase == TargetPhase::Ready && !self.evacuated
    }

    /// Returns whether the target accepts new work by its registration and its answers.
    pub(super) fn is_accepting(&self) -> bool {
        self.is_registered_ready() && !self.is_leaving
    }

    /// Sets whether the target stated that it is leaving. Its registration may state that it is
    /// ready for as long as the store is unavailable.
    pub(super) const fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving;
    }

    /// Sets the end of the pause that the target asked for. Unlike a back-off it is not cut short
    /// by an answer, nor passed over when no other target is healthy.
    pub(super) const fn set_paused_until(&mut self, until: Duration) {
        self.paused_until = until;
    }

    /// Returns how much longer the target wants no requests.
    pub(super) const fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Returns whether the target accepts new work and has not asked for a pause.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        self.is_accepting() && self.pause_left(now).is_zero()
    }

    /// Returns whether hosts send to the target in send windows: it is cold, or may be, or it
    /// states a request limit.
    pub(super) fn is_rate_limited(&self, now: Duration) -> bool {
        self.is_cold(now) || self.limit.is_some() || self.brittle_guard.is_active()
    }

    fn is_cold(&self, now: Duration) -> bool {
        let cold_start = self.cold_start.filter(|_| self.cold_limit.is_some());
        cold_start.is_some_and(|cold_start| !cold_start.is_over(now))
    }

    /// Applies the request limit that the target states.
    pub(super) fn set_limit(&mut self, entry: Option<LimitEntry>) {
        let stated = entry.and_then(|entry| Some((entry.per_second?, entry.since)));
        self.limit = stated.map(|(per_second, since)| match self.limit {
            Some(limit) => limit.with_rate(per_second, since),
            None => RequestLimit::new(per_second, since),
        });
    }

    /// Returns whether the leader of a group may grant the target's slots.
    pub(super) fn is_grantable(&self, now: Duration) -> bool {
        let usable = self.is_available(now) && self.is_healthy(now) && !self.is_ejected(now);
        self.in_shard && usable && !self.is_rate_limited(now)
    }

    /// Returns whether a send window allows this host to send to the target now. A host that
    /// does not know its position must not send to a rate-limited target.
    pub(super) fn may_send(&self, position: Option<HostPosition>, now: Duration) -> bool {
        let usage = self.slot_usage();
        let guard = &self.brittle_guard;
        self.cold_start_allows(position, now)
            && self.limit_allows(position, now)
            && guard.allows(&self.record.name, usage, position, now)
    }

    /// Returns whether this host may have another request outstanding there. Unlike the bounds of
    /// [`TargetRuntime::may_send`], the window is not divided among hosts, so that peers have no
    /// room in theirs either.
    pub(super) fn window_allows(&self, now: Duration) -> bool {
        let window = self.window.as_ref();
        window.is_none_or(|window| window.allows(self.own_running, now))
    }

    /// Sets how many hosts send to the target, if this host limits what it has outstanding
    /// there; `None` if it does not.
    pub(super) fn set_window_hosts(&mut self, hosts: Option<usize>) {
        let Some(hosts) = hosts else {
            self.window = None;
            return;
        };
        let slots = self.record.slots;
        let window = self.window.get_or_insert(ConcurrencyWindow::new(slots));
        window.set_hosts(hosts);
    }

    /// Returns the window while it limits.
    pub(super) fn limiting_window(&self) -> Option<&ConcurrencyWindow> {
        let window = self.window.as_ref();
        window.filter(|window| window.window().is_some())
    }

    /// Returns how many more requests this host may start there within its part of the target's
    /// bounds.
    pub(super) fn room(&self, position: Option<HostPosition>, now: Duration) -> u32 {
        let is_open = self.is_available(now) && self.is_healthy(now);
        if !is_open || !self.may_send(position, now) {
            return 0;
        }
        // A send window is for one request.
        let has_window = self.is_cold(now) || self.limit.is_some();
        let (Some(position), false) = (position, has_window) else {
            return self.free_slots().min(1);
        };
        let guard = &self.brittle_guard;
        guard.room(&self.record.name, self.slot_usage(), position, now) as u32
    }

    fn slot_usage(&self) -> SlotUsage {
        SlotUsage {
            slots: self.record.slots as usize,
            own_running: self.own_running as usize,
            peer_running: self.peer_load.running as usize,
        }
    }

    fn cold_start_allows(&self, position: Option<HostPosition>, now: Duration) -> bool {
        let (true, Some(cold_start), Some(limit)) =
            (self.is_cold(now), self.cold_start, self.cold_limit)
        else {
            return true;
        };
        position
            .is_some_and(|position| cold_start.may_send(&self.record.name, limit, position, now))
    }

    fn limit_allows(&self, position: Option<HostPosition>, now: Duration) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        position.is_some_and(|position| limit.may_send(&self.record.name, position, now))
    }

    /// Returns whether the target seems healthy: it is responsive, and no back-off is in
    /// effect.
    pub(super) fn is_healthy(&self, now: Duration) -> bool {
        now >= self.backoff_until && !self.is_unresponsive(now)
    }

    /// Returns whether the target is ejected, as it fails request after request.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        self.ejection.is_ejected(now)
    }

    /// Returns whether the ejection keeps requests from the target.
    pub(super) fn is_blocked(&self, now: Duration) -> bool {
        self.ejection.blocks(self.own_running, now)
    }

    /// Returns whether the target is suspected to be lost: it could not be reached, or is
    /// unresponsive. A target that is only full is not suspected.
    pub(super) fn is_suspected(&self, now: Duration) -> bool {
        let unreached = now < self.backoff_until && self.next_backoff > INITIAL_BACKOFF;
        unreached || self.is_unresponsive(now)
    }

    /// Returns the number of free slots.
    pub(super) fn free_slots(&self) -> u32 {
        let taken = self.own_running + self.peer_load.running;
        self.record.slots.saturating_sub(taken)
    }

    /// Returns how many requests this host may start there under its grants. Rate-limited
    /// targets are not subject to grants.
    pub(super) fn granted_free_slots(&self, grants: &[SlotGrant], now: Duration) -> u32 {
        if self.is_rate_limited(now) {
            return self.free_slots();
        }
        let name = &self.record.name;
        let index = grants.binary_search_by(|grant| grant.target.cmp(name));
        let granted = index.map_or(0, |index| grants[index].slots);
        granted.saturating_sub(self.own_running)
    }

    /// Returns the number of tokens to be prefilled before a new prompt.
    pub(super) fn tokens_ahead(&self) -> u64 {
        self.pending_prefill_tokens + self.peer_load.pending_prefill_tokens
    }

    /// Returns how many times as slow the target is as one with this mean gap; at least 1.
    pub(super) fn slowness(&self, shortest_mean_gap: Option<f64>) -> f64 {
        match (shortest_mean_gap, self.gaps.mean_ms()) {
            (Some(fastest), Some(own)) => (own / fastest).max(1.0),
            _ => 1.0,
        }
    }

    /// Returns the moving average of outcomes that were no failures, 0 to 1.
    pub(super) fn success_rate(&self) -> f64 {
        1.0 - self.error_rate
    }

    /// Records that a request is sent to the target.
    pub(super) fn record_dispatch(&mut self, prompt_tokens: u64, now: Duration) {
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.record_dispatch(now);
        }
        if let Some(limit) = &mut self.limit {
            limit.record_dispatch(now);
        }
        self.brittle_guard.record_dispatch(now);
        if let Some(window) = &mut self.window {
            window.record_dispatch(self.own_running, now);
        }
        self.own_running += 1;
        self.pending_prefill_tokens += prompt_tokens;
        self.last_activity_at.get_or_insert(now);
    }

    /// Records that the target sent something.
    pub(super) fn record_activity(&mut self, now: Duration) {
        self.last_activity_at = Some(now);
        if let Some(cold_start) = &mut self.cold_start {
            cold_start.record_answer(now);
        }
    }

    /// Records that a prompt is prefilled: its first event arrived, or the request ended.
    pub(super) fn record_prefill_end(&mut self, prompt_tokens: u64) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prompt_tokens);
    }

    /// Records the outcome of a request at the target.
    pub(super) fn record_outcome(&mut self, end: AttemptOutcome, now: Duration) {
        if let (AttemptOutcome::Rejected, Some(window)) = (end, &mut self.window) {
            window.record_rejection(now);
        }
        self.own_running = self.own_running.saturating_sub(1);
        if self.own_running == 0 {
            self.last_activity_at = None;
        }
        let is_loss = matches!(
            end,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable | AttemptOutcome::Unresponsive
        );
        if is_loss {
            self.before_losses.get_or_insert(TargetMarks {
                error_rate: self.error_rate,
                cold_start: self.cold_start,
            });
        }
        match end {
            AttemptOutcome::Succeeded => {
                self.before_losses = None;
                self.ejection.record_success();
                self.error_rate -= OUTCOME_WEIGHT * self.error_rate;
                self.next_backoff = INITIAL_BACKOFF;
                self.backoff_until = Duration::ZERO;
            }
            AttemptOutcome::Failed => {
                self.error_rate += OUTCOME_WEIGHT * (1.0 - self.error_rate);
                self.ejection.record_failure(now);
            }
            AttemptOutcome::Rejected => {
                // The load of peers may be newer than their reports.
                let known = self.own_running + self.peer_load.running;
                let room = known.max(self.record.slots / 2) as usize;
                let rejection = KnownRejection { at: now, room };
                self.brittle_guard.record_rejection(rejection, now);
                self.back_off(now, INITIAL_BACKOFF);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Unresponsive => {
                self.back_off(now, self.next_backoff);
                self.cold_start = Some(ColdStart::lost(now));
                self.next_backoff = (self.next_backoff * 2).min(MAX_BACKOFF);
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Discards what losses since the last success say about the target.
    pub(super) fn forget_losses(&mut self) {
        let Some(marks) = self.before_losses.take() else {
            return;
        };
        self.error_rate = marks.error_rate;
        self.ejection = OutlierEjection::default();
        self.cold_start = marks.cold_start;
        self.backoff_until = Duration::ZERO;
        self.next_backoff = INITIAL_BACKOFF;
    }

    /// Records that a connection to the target was established.
    pub(super) const fn set_reachable(&mut self) {
        self.unreachable_since = None;
    }

    /// Records that a connection to the target could not be established.
    pub(super) fn set_unreachable(&mut self, now: Duration) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Returns whether no connection was established since one failed before `at`.
    pub(super) fn is_unreachable_since(&self, at: Duration) -> bool {
        self.unreachable_since.is_some_and(|since| since < at)
    }

    /// Returns whether the target sends nothing, and its last connection was established.
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        self.is_unresponsive(now) && self.unreachable_since.is_none()
    }

    /// Returns whether the target sends nothing, and is to be probed for that now.
    pub(super) fn take_silence_probe(&mut self, now: Duration) -> bool {
        let is_due = self.is_unresponsive(now) && now >= self.next_silence_probe;
        if is_due {
            self.next_silence_probe = now + SILENCE_PROBE_INTERVAL;
        }
        is_due
    }

    fn back_off(&mut self, now: Duration, delay: Duration) {
        self.backoff_until = self.backoff_until.max(now + delay);
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        self.last_activity_at
            .is_some_and(|since| now.saturating_sub(since) > UNRESPONSIVE_TIMEOUT)
    }
}
