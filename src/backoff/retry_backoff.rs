//! Exponential backoff with jitter.

use std::time::Duration;

/// Doubles the wait with each failure, up to a bound, and spreads it.
///
/// Without the spread all hosts that lost the same peer or the platform in the
/// same moment would come back in the same moment, and be refused together again.
#[derive(Clone, Debug)]
pub(crate) struct RetryBackoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl RetryBackoff {
    /// Makes a backoff whose waits go from `first` up to `longest`.
    pub(crate) const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// Returns the next wait: between half and the whole of the step, by `spread` in 0..=1.
    pub(crate) fn next_delay(&mut self, spread: f64) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        let share = 0.5 + 0.5 * spread.clamp(0.0, 1.0);
        step.mul_f64(share)
    }

    /// Starts again at the first wait, after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.first;
    }
}
