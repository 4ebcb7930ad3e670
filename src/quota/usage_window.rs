//! Usage over the last window, by time.

use std::time::Duration;

use super::quota_tolerance::QuotaRate;

/// Number of buckets per window.
const WINDOW_BUCKETS: usize = 16;

/// Usage over the last window, in buckets.
///
/// The remaining quota is computed from the usage history each time rather than kept as a
/// running level, so hosts that receive the same reports reach the same result. Levels that
/// each host refilled, drained and capped separately would drift apart: the host with the
/// highest level would admit everything an account sends, and callers of all other hosts would
/// be rejected for as long as the account exceeds its quota.
#[derive(Clone, Debug)]
pub(super) struct UsageWindow {
    /// Length of one bucket.
    bucket: Duration,
    /// Number of the newest bucket, counted from the start of the clock.
    newest: u64,
    /// Usage in each bucket, the newest last.
    used: [f64; WINDOW_BUCKETS],
}

impl UsageWindow {
    /// Creates a window of this length without usage.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            bucket: (window / WINDOW_BUCKETS as u32).max(Duration::from_millis(1)),
            newest: 0,
            used: [0.0; WINDOW_BUCKETS],
        }
    }

    /// Returns the usage in a window of another length.
    pub(super) fn resized(&self, window: Duration, now: Duration) -> Self {
        let mut resized = Self::new(window);
        for back in (0..WINDOW_BUCKETS).rev() {
            let start = self.bucket_start(back);
            let end = now.min(start + self.bucket);
            resized.add_between(self.used[WINDOW_BUCKETS - 1 - back], start, end, now);
        }
        resized
    }

    /// Adds usage at the current time.
    pub(super) fn add(&mut self, amount: f64, now: Duration) {
        self.advance(now);
        self.used[WINDOW_BUCKETS - 1] += amount;
    }

    /// Adds usage spread evenly over the time since `from`.
    pub(super) fn add_since(&mut self, amount: f64, from: Duration, now: Duration) {
        if now.saturating_sub(from) <= self.bucket {
            return self.add(amount, now);
        }
        self.add_between(amount, from, now, now);
    }

    /// Adds usage spread evenly over the time between `from` and `until`.
    fn add_between(&mut self, amount: f64, from: Duration, until: Duration, now: Duration) {
        self.advance(now);
        let length = until.saturating_sub(from).as_secs_f64();
        if length <= 0.0 {
            return;
        }
        for back in 0..WINDOW_BUCKETS {
            let end = until.min(self.bucket_start(back) + self.bucket);
            let start = from.max(self.bucket_start(back));
            let share = end.saturating_sub(start).as_secs_f64() / length;
            self.used[WINDOW_BUCKETS - 1 - back] += amount * share;
        }
    }

    /// Returns the usage within the last window.
    pub(super) fn total(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.used.iter().sum()
    }

    /// Returns the amount available now: the minimum over all periods that end now and lie
    /// within the window. It is negative if too much was used.
    ///
    /// `estimated` returns the possible usage of unresponsive peers over the given last period.
    /// A host whose uptime is shorter than the window does not know the usage before its start,
    /// and assumes that only the reserved amount was left at that time.
    pub(super) fn available(
        &mut self,
        rate: QuotaRate,
        started_at: Duration,
        now: Duration,
        estimated: impl Fn(Duration) -> f64,
    ) -> f64 {
        self.advance(now);
        let uptime = now.saturating_sub(started_at);
        let mut available = rate.burst;
        let mut sum = 0.0;
        for back in 0..WINDOW_BUCKETS {
            sum += self.used[WINDOW_BUCKETS - 1 - back];
            let period = now.saturating_sub(self.bucket_start(back));
            if period >= uptime {
                let accrued = rate.reserved + rate.per_second * uptime.as_secs_f64();
                return available.min(accrued - sum - estimated(uptime));
            }
            let accrued = rate.burst + rate.per_second * period.as_secs_f64();
            available = available.min(accrued - sum - estimated(period));
        }
        available
    }

    /// Returns the start of the bucket that is `back` buckets before the newest.
    fn bucket_start(&self, back: usize) -> Duration {
        let number = self.newest.saturating_sub(back as u64);
        Duration::from_nanos(self.bucket.as_nanos() as u64 * number)
    }

    /// Moves the window forward and drops buckets that fall out of it.
    fn advance(&mut self, now: Duration) {
        let number = (now.as_nanos() / self.bucket.as_nanos()) as u64;
        let shift = number
            .saturating_sub(self.newest)
            .min(WINDOW_BUCKETS as u64) as usize;
        self.used.rotate_left(shift);
        self.used[WINDOW_BUCKETS - shift..].fill(0.0);
        self.newest = self.newest.max(number);
    }
}
