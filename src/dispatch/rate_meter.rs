//! How often something happens, as a decaying count.

use std::time::Duration;

/// How long the memory is: a burst or a lost target shows within a second.
const MEMORY_SECONDS: f64 = 1.0;

/// How often something happens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeter {
    count: f64,
    counted_at: Duration,
}

impl RateMeter {
    /// Counts one event.
    pub(super) fn note(&mut self, now: Duration) {
        self.count = self.per_second(now) * MEMORY_SECONDS + 1.0;
        self.counted_at = now;
    }

    /// Returns how many events a second there were lately.
    pub(super) fn per_second(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-elapsed / MEMORY_SECONDS).exp() / MEMORY_SECONDS
    }
}
