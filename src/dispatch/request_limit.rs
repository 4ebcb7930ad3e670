//! Rate limiting, across hosts, of a target that states a request limit.

use std::time::Duration;

use super::HostPosition;
use super::shared_rate::SharedRate;

/// The part of the limit that is used: hosts learn of it at different times.
const USED_PART: f64 = 0.75;
/// Length of a host's time slot. All hosts whose slots overlap a window may send within it.
const TURN_LENGTH: Duration = Duration::from_millis(2500);

/// The share of this host in the request limit of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestLimit {
    rate: SharedRate,
    /// Last send of this host.
    used_at: Option<Duration>,
}

impl RequestLimit {
    /// Makes the limit of a target that first stated one at `since`.
    pub(super) fn new(per_second: f64, since: Duration) -> Self {
        Self {
            rate: shared_rate(per_second, since),
            used_at: None,
        }
    }

    /// Returns the limit with another rate; the time of the last send is kept.
    pub(super) fn renew(self, per_second: f64, since: Duration) -> Self {
        Self {
            rate: shared_rate(per_second, since),
            ..self
        }
    }

    /// Tells whether this host may send now.
    pub(super) fn has_turn(&self, target: &str, turn: HostPosition, now: Duration) -> bool {
        self.rate.is_open(target, turn, self.used_at, now)
    }

    /// Notes a send of this host.
    pub(super) const fn record_dispatch(&mut self, now: Duration) {
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
