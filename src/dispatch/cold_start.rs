//! How often a cold target may be sent requests, and by which host when.

use std::time::Duration;

use super::HostPosition;
use super::shared_rate::SharedRate;
use crate::catalog::ColdLimit;

/// The part of a cold target's rate that all hosts use together: they learn at different
/// moments that it is cold.
const USED_PART: f64 = 0.75;
/// How long a host may use its turn. What it doesn't use is not kept for later, or all hosts
/// could use what they have kept at once.
const TURN_LENGTH: Duration = Duration::from_millis(700);
/// Within which a target's registration shows that it has turned cold: two heartbeats.
const REGISTRATION_DELAY: Duration = Duration::from_millis(2500);

/// A target that is cold, or may be.
///
/// Load it answers: a target that comes back empty has more free slots than all others, so
/// every host sends to it at once. While it is cold it crashes under that, and comes back
/// cold. All hosts may use it by turns instead, each in its own part of the rate, so the sum
/// holds also for hosts that don't reach each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ColdStart {
    /// When this host learned of it.
    since: Duration,
    /// Until when it is cold; `None` where it was lost and has not answered since.
    until: Option<Duration>,
    /// When this host sent there last.
    used_at: Option<Duration>,
}

impl ColdStart {
    /// Starts with a target that says for how long it stays cold.
    pub(super) fn registered(remaining: Duration, now: Duration) -> Self {
        Self {
            since: now,
            until: Some(now + remaining),
            used_at: None,
        }
    }

    /// Starts with a target that was lost, and may be cold when it answers again.
    pub(super) const fn lost(now: Duration) -> Self {
        Self {
            since: now,
            until: None,
            used_at: None,
        }
    }

    /// Starts with a target that is used again and may be cold, as its registration will say.
    pub(super) fn returned(now: Duration) -> Self {
        Self::registered(REGISTRATION_DELAY, now)
    }

    /// Takes in for how long the target says that it stays cold.
    pub(super) fn extend(&mut self, remaining: Duration, now: Duration) {
        let until = now + remaining;
        self.until = Some(self.until.unwrap_or_default().max(until));
    }

    /// Notes an answer of the target.
    pub(super) fn note_answer(&mut self, now: Duration) {
        self.until.get_or_insert(now + REGISTRATION_DELAY);
    }

    /// Tells whether the target is warm again.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Tells whether this host may send there now.
    pub(super) fn has_turn(
        &self,
        target: &str,
        limit: ColdLimit,
        turn: HostPosition,
        now: Duration,
    ) -> bool {
        let rate = SharedRate {
            per_second: limit.requests_per_second * USED_PART,
            since: self.since,
            turn_length: TURN_LENGTH,
        };
        rate.is_open(target, turn, self.used_at, now)
    }

    /// Notes that this host sends there.
    pub(super) const fn record_dispatch(&mut self, now: Duration) {
        self.used_at = Some(now);
    }
}
