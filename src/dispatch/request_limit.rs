//! How often a target may be sent requests that names a limit, and by which host when.

use std::time::Duration;

use super::HostTurn;
use super::shared_rate::SharedRate;

/// The part of the limit that all hosts use together: they learn of it at different moments.
const USED_PART: f64 = 0.75;
/// How long a host may use its turn. Hosts whose turns overlap a window of some seconds may
/// all use them within it.
const TURN_LENGTH: Duration = Duration::from_millis(2500);

/// How often a target may be sent requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestLimit {
    rate: SharedRate,
    /// When this host sent there last.
    used_at: Option<Duration>,
}

impl RequestLimit {
    /// Makes the limit of a target that has named limits since a time.
    pub(super) fn new(per_second: f64, since: Duration) -> Self {
        Self {
            rate: shared_rate(per_second, since),
            used_at: None,
        }
    }

    /// Returns the same with another rate.
    pub(super) fn renew(self, per_second: f64, since: Duration) -> Self {
        Self {
            rate: shared_rate(per_second, since),
            ..self
        }
    }

    /// Tells whether this host may send there now.
    pub(super) fn has_turn(&self, target: &str, turn: HostTurn, now: Duration) -> bool {
        self.rate.is_open(target, turn, self.used_at, now)
    }

    /// Notes that this host sends there.
    pub(super) const fn note_dispatch(&mut self, now: Duration) {
        self.used_at = Some(now);
    }
}

fn shared_rate(per_second: f64, since: Duration) -> SharedRate {
    SharedRate {
        per_second: per_second * USED_PART,
        since,
        turn_length: TURN_LENGTH,
    }
}
