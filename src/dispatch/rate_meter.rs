//! An event rate, measured by an exponentially decaying count.

use std::time::Duration;

/// The decay constant: a burst or a lost target shows within a second.
const DECAY_SECONDS: f64 = 1.0;

/// The recent rate of an event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeter {
    count: f64,
    counted_at: Duration,
}

impl RateMeter {
    /// Counts one event.
    pub(super) fn record(&mut self, now: Duration) {
        self.count = self.per_second(now) * DECAY_SECONDS + 1.0;
        self.counted_at = now;
    }

    /// Returns the recent rate in events per second.
    pub(super) fn per_second(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-elapsed / DECAY_SECONDS).exp() / DECAY_SECONDS
    }
}
