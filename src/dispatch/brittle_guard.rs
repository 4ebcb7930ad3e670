//! Admission to a target that crashes when it rejects many requests in a second.

use std::collections::VecDeque;
use std::time::Duration;

use super::HostPosition;

/// Time within which hosts learn of a rejection at another one.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Time for which the remainder of a division belongs to the same hosts. They use it in the first
/// part only, so that the next ones know of their rejections.
const TURN_LENGTH: Duration = Duration::from_millis(400);
/// Time after a rejection for which a target may have less room than slots.
const DOUBT_TIME: Duration = Duration::from_secs(10);
/// Time after a rejection for which no host sends.
const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// Time between the hosts that send again after that, one by one, and the number of these. The
/// others follow together.
const RESUME_INTERVAL: Duration = Duration::from_millis(400);
const RESUME_STEPS: usize = 8;
/// Time by which a rejection must be later than the last known one. Ages are rounded between hosts.
const MIN_LATER: Duration = Duration::from_millis(50);

/// The statement of a brittle pool's targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrittleState {
    /// Rejections in a second above which a target crashes.
    pub(super) per_second: f64,
    /// When this was first stated, at about the same time on all hosts.
    pub(super) since: Duration,
}

/// A rejection for want of room.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownRejection {
    pub(super) at: Duration,
    /// Requests that the target was known to run then.
    pub(super) room: usize,
}

/// The load of a target as seen by this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotUsage {
    pub(super) slots: usize,
    pub(super) own_running: usize,
    pub(super) peer_running: usize,
}

/// Admission to a target that may be brittle.
///
/// Hosts that see a free slot at the same time would all send to it, so each keeps to its part of
/// the slots, whatever it knows of the others. After a rejection all hosts pause and return one by
/// one; they then divide the room that the target had, and the rejections that are allowed.
#[derive(Debug, Default)]
pub(super) struct BrittleGuard {
    state: Option<BrittleState>,
    /// Times of this host's dispatches within [`REPORT_DELAY`], oldest first.
    recent: VecDeque<Duration>,
    /// The last known rejection by the target, of any host.
    rejection: Option<KnownRejection>,
    /// When this host learned of it.
    learned_at: Duration,
}

impl BrittleGuard {
    /// Sets what the target's pool states; `None` if it is not brittle.
    pub(super) const fn set_state(&mut self, state: Option<BrittleState>) {
        self.state = state;
    }

    pub(super) const fn is_active(&self) -> bool {
        self.state.is_some()
    }

    /// Records that a request of this host is sent.
    pub(super) fn record_dispatch(&mut self, now: Duration) {
        self.recent.push_back(now);
        let is_reported = |at: &Duration| now.saturating_sub(*at) >= REPORT_DELAY;
        while self.recent.front().is_some_and(is_reported) {
            self.recent.pop_front();
        }
    }

    /// Records a rejection of any host; returns whether it is the last one.
    pub(super) fn record_rejection(
        &mut self,
        mut rejection: KnownRejection,
        now: Duration,
    ) -> bool {
        let held = self.rejection;
        let is_later = held.is_none_or(|held| held.at + MIN_LATER < rejection.at);
        if self.state.is_none() || !is_later {
            return false;
        }
        if let Some(held) = held.filter(|held| now.saturating_sub(held.at) < DOUBT_TIME) {
            rejection.room = held.room.saturating_sub(1);
        }
        self.rejection = Some(rejection);
        self.learned_at = now;
        true
    }

    /// Returns the last rejection, if this host learned of it since `since` and it still limits
    /// the hosts.
    pub(super) fn rejection_since(&self, since: Duration, now: Duration) -> Option<KnownRejection> {
        let is_recent = |held: &KnownRejection| now.saturating_sub(held.at) < DOUBT_TIME;
        self.rejection
            .filter(|held| self.learned_at >= since && is_recent(held))
    }

    /// Returns whether this host may send a request.
    pub(super) fn allows(
        &self,
        target: &str,
        usage: SlotUsage,
        position: Option<HostPosition>,
        now: Duration,
    ) -> bool {
        match (self.state, position) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(position)) => self.room(target, usage, position, now) > 0,
        }
    }

    /// Returns how many more requests this host may send.
    pub(super) fn room(
        &self,
        target: &str,
        usage: SlotUsage,
        position: HostPosition,
        now: Duration,
    ) -> usize {
        let rejection = self.rejection;
        let rejection = rejection.filter(|held| now.saturating_sub(held.at) < DOUBT_TIME);
        // A target that was full is tried again with one request, if it has a slot at all.
        let slots = rejection.map_or(usage.slots, |held| held.room.max(1).min(usage.slots));
        let free = slots.saturating_sub(usage.own_running + usage.peer_running);
        let part = position.part_of(slots, target);
        let room = free.min(part.saturating_sub(usage.own_running));
        let (Some(state), Some(held)) = (self.state, rejection) else {
            return room;
        };
        if now < held.at + resume_delay(position, target) {
            return 0;
        }
        let unconfirmed = self.unconfirmed(now).min(usage.own_running);
        let share = share_of(state, target, position, now);
        room.min(share.saturating_sub(unconfirmed))
    }

    /// Returns how many dispatches of this host others may know no rejection of.
    fn unconfirmed(&self, now: Duration) -> usize {
        let recent = self.recent.iter();
        recent
            .filter(|at| now.saturating_sub(**at) < REPORT_DELAY)
            .count()
    }
}

/// Returns this host's part of the allowed rejections. The remainder of the division goes from host
/// to host.
fn share_of(state: BrittleState, target: &str, position: HostPosition, now: Duration) -> usize {
    let count = (state.per_second as usize).max(1);
    let elapsed = now.saturating_sub(state.since).as_millis();
    let turn = (elapsed / TURN_LENGTH.as_millis()) as usize;
    let into_turn = elapsed % TURN_LENGTH.as_millis();
    let hosts = position.hosts.max(1);
    match into_turn + REPORT_DELAY.as_millis() <= TURN_LENGTH.as_millis() {
        true => position.turned(turn * count).part_of(count, target),
        false => count / hosts,
    }
}

/// Returns how long after a rejection the host sends again.
fn resume_delay(position: HostPosition, target: &str) -> Duration {
    let step = position.index_at(target).min(RESUME_STEPS);
    REJECTION_PAUSE + RESUME_INTERVAL * step as u32
}
