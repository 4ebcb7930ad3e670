//! Exponential backoff with jitter.

use std::time::Duration;

/// Doubles the delay after each failure, up to a maximum, and adds jitter.
///
/// Without jitter, all hosts that lost the same peer or the platform at the same
/// moment would reconnect at the same moment, and be refused together again.
#[derive(Clone, Debug)]
pub(crate) struct RetryBackoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl RetryBackoff {
    /// Creates a backoff whose delays grow from `initial` to `max`.
    pub(crate) const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            next: initial,
        }
    }

    /// Returns the next delay: between 50% and 100% of the current step, by `jitter` in 0..=1.
    pub(crate) fn next_delay(&mut self, jitter: f64) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.max);
        let factor = 0.5 + 0.5 * jitter.clamp(0.0, 1.0);
        step.mul_f64(factor)
    }

    /// Resets to the initial delay, after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.initial;
    }
}
