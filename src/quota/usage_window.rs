//! Usage over the last window, by time.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::quota_tolerance::QuotaRate;

/// Number of buckets per window.
pub(super) const WINDOW_BUCKETS: usize = 16;

/// Number of a bucket, counted from the start of a host's clock.
pub(super) type BucketNumber = u64;

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
    /// Number of the newest bucket.
    newest: BucketNumber,
    /// Usage in each bucket, the newest last.
    used: [f64; WINDOW_BUCKETS],
}

/// Usage by bucket of the reporting host's clock.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UsageBuckets {
    /// Number of the newest bucket.
    pub(super) newest: BucketNumber,
    /// Usage in it and in the buckets before it.
    pub(super) used: Vec<f32>,
}

impl UsageBuckets {
    /// Creates a report of the usage in the bucket `newest` and in those before it.
    pub const fn new(newest: u64, used: Vec<f32>) -> Self {
        Self { newest, used }
    }

    /// Returns whether it holds no usage.
    pub(super) fn is_empty(&self) -> bool {
        self.used.iter().all(|used| *used <= 0.0)
    }

    /// Returns the buckets with their usage, the newest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (BucketNumber, f64)> {
        let numbers = (0..=self.newest).rev();
        numbers.zip(self.used.iter().map(|used| f64::from(*used)))
    }
}

impl UsageWindow {
    /// Creates a window of this length without usage.
    pub(super) fn new(window: Duration) -> Self {
        Self {
            bucket: bucket_length(window),
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

    /// Adds usage at an earlier time; usage from before the window is dropped.
    pub(super) fn add_at(&mut self, amount: f64, at: Duration, now: Duration) {
        self.advance(now);
        let number = bucket_number(at, self.bucket).min(self.newest);
        if let Some(used) = self.used_mut(number) {
            *used += amount;
        }
    }

    /// Raises the usage of a bucket to `amount`; returns by how much it rose. Usage that is
    /// reported again, or late, is thus counted once.
    pub(super) fn raise(&mut self, number: BucketNumber, amount: f64) -> f64 {
        self.advance_to(number);
        let Some(used) = self.used_mut(number) else {
            return 0.0;
        };
        let added = (amount - *used).max(0.0);
        *used += added;
        added
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

    /// Returns the usage of a bucket; 0 outside of the window.
    pub(super) fn used(&self, number: BucketNumber) -> f64 {
        let back = self.newest.checked_sub(number).map(|back| back as usize);
        match back {
            Some(back) if back < WINDOW_BUCKETS => self.used[WINDOW_BUCKETS - 1 - back],
            _ => 0.0,
        }
    }

    /// Returns the usage within the last window.
    pub(super) fn total(&self, now: Duration) -> f64 {
        self.recent(now).last().copied().unwrap_or_default()
    }

    /// Returns whether nothing was used within the last window.
    pub(super) fn is_empty(&self, now: Duration) -> bool {
        self.total(now) <= 0.0
    }

    /// Returns the sums of usage over the last bucket, the last two and so on, up to a window.
    pub(super) fn recent(&self, now: Duration) -> [f64; WINDOW_BUCKETS] {
        let newest = bucket_number(now, self.bucket);
        let mut sums = [0.0; WINDOW_BUCKETS];
        let mut sum = 0.0;
        for (back, total) in sums.iter_mut().enumerate() {
            sum += newest
                .checked_sub(back as BucketNumber)
                .map_or(0.0, |number| self.used(number));
            *total = sum;
        }
        sums
    }

    /// Returns the numbers of the buckets, the oldest first.
    pub(super) fn numbers(&self) -> RangeInclusive<BucketNumber> {
        let oldest = self
            .newest
            .saturating_sub(WINDOW_BUCKETS as BucketNumber - 1);
        oldest..=self.newest
    }

    /// Returns all buckets, down to the oldest with usage.
    pub(super) fn buckets(&self) -> UsageBuckets {
        self.buckets_from(*self.numbers().start())
    }

    /// Returns the buckets from `oldest` on, down to the oldest with usage.
    pub(super) fn buckets_from(&self, oldest: BucketNumber) -> UsageBuckets {
        let numbers = (oldest..=self.newest).rev();
        let mut used: Vec<f32> = numbers.map(|number| self.used(number) as f32).collect();
        let count = used
            .iter()
            .rposition(|used| *used > 0.0)
            .map_or(0, |last| last + 1);
        used.truncate(count);
        UsageBuckets {
            newest: self.newest,
            used,
        }
    }

    /// Returns the length of one bucket.
    pub(super) const fn bucket(&self) -> Duration {
        self.bucket
    }

    fn used_mut(&mut self, number: BucketNumber) -> Option<&mut f64> {
        let back = self.newest.checked_sub(number)? as usize;
        let index = (WINDOW_BUCKETS - 1).checked_sub(back)?;
        self.used.get_mut(index)
    }

    /// Returns the start of the bucket that is `back` buckets before the newest.
    fn bucket_start(&self, back: usize) -> Duration {
        let number = self.newest.saturating_sub(back as BucketNumber);
        start_of(number, self.bucket)
    }

    /// Moves the window forward and drops buckets that fall out of it.
    fn advance(&mut self, now: Duration) {
        self.advance_to(bucket_number(now, self.bucket));
    }

    fn advance_to(&mut self, number: BucketNumber) {
        let shift = number
            .saturating_sub(self.newest)
            .min(WINDOW_BUCKETS as BucketNumber) as usize;
        self.used.rotate_left(shift);
        self.used[WINDOW_BUCKETS - shift..].fill(0.0);
        self.newest = self.newest.max(number);
    }
}

/// Returns the amount available now: the minimum over all periods that end now and lie within
/// the window. It is negative if too much was used.
///
/// `used` holds the usage over the last bucket, the last two and so on. `estimated` returns the
/// possible usage of unresponsive peers over the given last period. A host that does not know the
/// usage before `known_since` assumes that only the reserved amount was left at that time.
pub(super) fn available(
    used: &[f64; WINDOW_BUCKETS],
    bucket: Duration,
    rate: QuotaRate,
    known_since: Duration,
    now: Duration,
    estimated: impl Fn(Duration) -> f64,
) -> f64 {
    let known = now.saturating_sub(known_since);
    let newest = bucket_number(now, bucket);
    let mut available = rate.burst;
    for (back, used) in used.iter().enumerate() {
        let start = start_of(newest.saturating_sub(back as BucketNumber), bucket);
        let period = now.saturating_sub(start);
        if period >= known {
            let accrued = rate.reserved + rate.per_second * known.as_secs_f64();
            return available.min(accrued - used - estimated(known));
        }
        let accrued = rate.burst + rate.per_second * period.as_secs_f64();
        available = available.min(accrued - used - estimated(period));
    }
    available
}

/// Returns the length of a window's buckets.
pub(super) fn bucket_length(window: Duration) -> Duration {
    (window / WINDOW_BUCKETS as u32).max(Duration::from_millis(1))
}

/// Returns the number of the bucket that contains a time.
pub(super) fn bucket_number(at: Duration, bucket: Duration) -> BucketNumber {
    (at.as_nanos() / bucket.as_nanos()) as BucketNumber
}

/// Returns the start of a bucket.
pub(super) fn start_of(number: BucketNumber, bucket: Duration) -> Duration {
    Duration::from_nanos((bucket.as_nanos() as u64).saturating_mul(number))
}
