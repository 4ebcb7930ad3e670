//! Rate limiting of requests to a cold target, across hosts.

use std::time::Duration;

use super::HostPosition;
use super::shared_rate::SharedRate;
use crate::catalog::ColdLimit;

/// The fraction of a cold target's permitted rate that all hosts use together. Hosts learn at
/// different times that the target is cold, so some send without the limit for a moment.
const USED_FRACTION: f64 = 0.75;
/// Length of a host's send window. An unused window expires, since hosts could otherwise use
/// all their saved windows at once.
const WINDOW_LENGTH: Duration = Duration::from_millis(700);
/// Time within which a target's registration shows that it is cold: two heartbeats.
const REGISTRATION_DELAY: Duration = Duration::from_millis(2500);

/// A target that is cold, or may be.
///
/// A restarted target has more free slots than all others, so without a limit every host sends
/// to it at once. A cold target crashes under that load and is cold again when it returns.
/// Instead, each host sends in its own windows at its share of the rate, so the total holds
/// even during a network partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ColdStart {
    /// When this host learned that the target is, or may be, cold.
    since: Duration,
    /// End of the cold phase; `None` if the target was lost and has not answered since.
    until: Option<Duration>,
    /// Last send of this host.
    last_sent_at: Option<Duration>,
}

impl ColdStart {
    /// Creates the state of a target that reports how long it stays cold.
    pub(super) fn registered(remaining: Duration, now: Duration) -> Self {
        Self {
            since: now,
            until: Some(now + remaining),
            last_sent_at: None,
        }
    }

    /// Creates the state of a lost target, which may be cold when it answers again.
    pub(super) const fn lost(now: Duration) -> Self {
        Self {
            since: now,
            until: None,
            last_sent_at: None,
        }
    }

    /// Creates the state of a target that is back in use. It may be cold, which its next
    /// registration shows.
    pub(super) fn returned(now: Duration) -> Self {
        Self::registered(REGISTRATION_DELAY, now)
    }

    /// Extends the cold phase to at least `remaining` from now.
    pub(super) fn extend(&mut self, remaining: Duration, now: Duration) {
        let until = now + remaining;
        self.until = Some(self.until.unwrap_or_default().max(until));
    }

    /// Records an answer of the target: after a loss, the cold phase then ends once the
    /// registration has had time to report it.
    pub(super) fn record_answer(&mut self, now: Duration) {
        self.until.get_or_insert(now + REGISTRATION_DELAY);
    }

    /// Returns whether the cold phase is over.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Returns whether this host may send to the target now.
    pub(super) fn may_send(
        &self,
        target: &str,
        limit: ColdLimit,
        position: HostPosition,
        now: Duration,
    ) -> bool {
        let rate = SharedRate {
            per_second: limit.requests_per_second * USED_FRACTION,
            since: self.since,
            window_length: WINDOW_LENGTH,
        };
        rate.allows(target, position, self.last_sent_at, now)
    }

    /// Records a send of this host.
    pub(super) const fn record_dispatch(&mut self, now: Duration) {
        self.last_sent_at = Some(now);
    }
}
