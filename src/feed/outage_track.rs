//! When the store was away, and until when what lapsed meanwhile may be back.

use std::time::Duration;

/// How long the store must have been away for a registration to lapse because of
/// that: targets renew theirs each 1.2 s and lose it after three missed renewals,
/// one of which may have been due just before the outage.
const SHORTEST_LAPSE: Duration = Duration::from_millis(2300);
/// How long after the store's return a lapsed target may still serve. Targets
/// that live are back within about 2 s; a target that really left must get no
/// new work 2 s after its removal, so the time ends before that.
const RETURN_GRACE: Duration = Duration::from_millis(1800);

/// When the store was away, as this host saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageTrack {
    last_answer: Option<Duration>,
    grace_until: Option<Duration>,
}

impl OutageTrack {
    /// Notes an answer of the store to a call that was begun at `begun`.
    pub fn note_answer(&mut self, begun: Duration, now: Duration) {
        let away = self
            .last_answer
            .map_or(Duration::ZERO, |last| begun.saturating_sub(last));
        if away >= SHORTEST_LAPSE {
            self.grace_until = Some(now + RETURN_GRACE);
        }
        self.last_answer = Some(now);
    }

    /// Returns until when a target that was removed now may still serve: its
    /// registration may have lapsed only because the store was away.
    pub fn lapse_end(&self, now: Duration) -> Option<Duration> {
        self.grace_until.filter(|until| *until > now)
    }
}
