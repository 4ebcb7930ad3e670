//! Rate limiting of requests to a target that states a limit, across hosts.

use std::time::Duration;

use super::HostPosition;
use super::shared_rate::SharedRate;

/// The fraction of the limit that hosts use together. They learn of the limit at different
/// times.
const USED_FRACTION: f64 = 0.75;
/// Length of a host's send window. Hosts whose windows overlap may send at the same time.
const WINDOW_LENGTH: Duration = Duration::from_millis(2500);

/// The share of this host in the request limit of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestLimit {
    rate: SharedRate,
    /// Last send of this host.
    last_sent_at: Option<Duration>,
}

impl RequestLimit {
    /// Creates the limit of a target that first stated one at `since`.
    pub(super) fn new(per_second: f64, since: Duration) -> Self {
        Self {
            rate: shared_rate(per_second, since),
            last_sent_at: None,
        }
    }

    /// Returns the limit with another rate; the time of the last send is kept.
    pub(super) fn with_rate(self, per_second: f64, since: Duration) -> Self {
        Self {
            rate: shared_rate(per_second, since),
            ..self
        }
    }

    /// Returns whether this host may send now.
    pub(super) fn may_send(&self, target: &str, position: HostPosition, now: Duration) -> bool {
        self.rate.allows(target, position, self.last_sent_at, now)
    }

    /// Records a send of this host.
    pub(super) const fn record_dispatch(&mut self, now: Duration) {
        self.last_sent_at = Some(now);
    }
}

fn shared_rate(per_second: f64, since: Duration) -> SharedRate {
    SharedRate {
        per_second: per_second * USED_FRACTION,
        since,
        window_length: WINDOW_LENGTH,
    }
}
