//! A bucket that fills at a rate and may be overdrawn by what peers spent.

use std::time::Duration;

/// How fast a bucket fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketRate {
    pub(super) per_second: f64,
    pub(super) size: f64,
}

/// A bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    level: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Makes a bucket that holds `level`.
    pub(super) const fn new(level: f64, now: Duration) -> Self {
        Self {
            level,
            filled_at: now,
        }
    }

    /// Fills the bucket up to now and returns what is in it; below 0 when peers spent
    /// more than there was.
    pub(super) fn fill(&mut self, rate: BucketRate, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate.per_second).min(rate.size);
        self.filled_at = now;
        self.level
    }

    /// Takes `amount` out, whether it is there or not.
    pub(super) fn draw(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Keeps the debt within `most`: what was overdrawn long ago lies in a window
    /// that is over.
    pub(super) fn forgive(&mut self, most: f64) {
        self.level = self.level.max(-most);
    }

    /// Returns how long it takes until `amount` is in it.
    pub(super) fn time_until(&self, amount: f64, rate: BucketRate) -> Duration {
        let missing = (amount.min(rate.size) - self.level).max(0.0);
        Duration::from_secs_f64((missing / rate.per_second.max(1.0)).min(60.0))
    }
}
