//! Usage over the last window, with the times of its changes.

use std::time::Duration;

use super::usage_window::BucketNumber;
use super::usage_window::UsageBuckets;
use super::usage_window::UsageWindow;
use super::usage_window::WINDOW_BUCKETS;
use super::usage_window::bucket_number;

/// Usage over the last window that tells which buckets changed since a report.
#[derive(Clone, Debug)]
pub(super) struct TrackedWindow {
    window: UsageWindow,
    /// When each bucket last changed, by its number modulo the number of buckets.
    changed_at: [Duration; WINDOW_BUCKETS],
}

impl TrackedWindow {
    /// Creates a window of this length without usage.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window: UsageWindow::new(window),
            changed_at: [Duration::ZERO; WINDOW_BUCKETS],
        }
    }

    /// Returns the usage in a window of another length. All buckets count as changed.
    pub(super) fn resized(&self, window: Duration, now: Duration) -> Self {
        Self {
            window: self.window.resized(window, now),
            changed_at: [now; WINDOW_BUCKETS],
        }
    }

    /// Adds usage at an earlier time; usage from before the window is dropped.
    pub(super) fn add_at(&mut self, amount: f64, at: Duration, now: Duration) {
        let number = bucket_number(at.min(now), self.window.bucket());
        self.window.add_at(amount, at, now);
        self.changed_at[index_of(number)] = now;
    }

    /// Raises the usage of a bucket to `amount`.
    pub(super) fn raise(&mut self, number: BucketNumber, amount: f64, now: Duration) {
        self.window.raise(number, amount);
        self.changed_at[index_of(number)] = now;
    }

    /// Returns the buckets down to the oldest that changed since a time; all if it is `None`.
    pub(super) fn changed_since(&self, since: Option<Duration>) -> UsageBuckets {
        let Some(since) = since else {
            return self.window.buckets();
        };
        let changed = self
            .window
            .numbers()
            .find(|number| self.changed_at[index_of(*number)] >= since);
        match changed {
            Some(oldest) => self.window.buckets_from(oldest),
            None => UsageBuckets::default(),
        }
    }

    /// Returns the usage of a bucket; 0 outside of the window.
    pub(super) fn used(&self, number: BucketNumber) -> f64 {
        self.window.used(number)
    }

    /// Returns the sums of usage over the last bucket, the last two and so on, up to a window.
    pub(super) fn recent(&self, now: Duration) -> [f64; WINDOW_BUCKETS] {
        self.window.recent(now)
    }
}

const fn index_of(number: BucketNumber) -> usize {
    (number % WINDOW_BUCKETS as BucketNumber) as usize
}
