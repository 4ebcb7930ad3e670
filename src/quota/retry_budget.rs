//! Fleet-wide limit on retries.

use std::time::Duration;

use crate::ids::PoolName;
use crate::sorted::SortedMap;

/// Fraction of the limit that is used. The rest covers counting differences at the
/// boundaries of a window.
const SAFETY_FACTOR: f64 = 0.75;
/// Number of buckets per window.
const WINDOW_BUCKETS: u32 = 10;

/// Limit on retries over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct BucketCount {
    bucket: u64,
    requests: u32,
    retries: u32,
}

/// Fleet-wide limit on retries, per pool.
///
/// It applies when targets fail many of their requests. Without a limit, each failure is
/// retried, and the rest of the fleet gets twice the load while part of it is down. A host
/// may retry in proportion to the requests it received itself, so the shares of all hosts
/// add up to the total without coordination; the fixed slack is split evenly.
#[derive(Debug, Default)]
pub struct RetryBudget {
    pools: SortedMap<PoolName, Vec<BucketCount>>,
    /// When this host started, if it may have made retries before.
    restarted_at: Option<Duration>,
}

impl RetryBudget {
    /// Creates the budget of a host that has restarted at `now`. Its part of the slack may be used up
    /// until the first window has passed.
    pub fn restarted(now: Duration) -> Self {
        Self {
            pools: SortedMap::default(),
            restarted_at: Some(now),
        }
    }

    /// Records a request to a pool.
    pub fn record_request(&mut self, pool: &str, bounds: RetryBounds, now: Duration) {
        self.bucket(pool, bounds, now).requests += 1;
    }

    /// Returns whether a retry is within the limit; `hosts` share the slack.
    pub fn can_retry(
        &mut self,
        pool: &str,
        bounds: RetryBounds,
        hosts: usize,
        now: Duration,
    ) -> bool {
        self.bucket(pool, bounds, now);
        let Some(buckets) = self.pools.get(pool) else {
            return false;
        };
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = match self.restarted_at {
            Some(at) if now < at + bounds.window => 0.0,
            _ => bounds.slack / hosts.max(1) as f64,
        };
        let limit = (bounds.ratio * f64::from(requests) + slack) * SAFETY_FACTOR;
        f64::from(retries + 1) <= limit
    }

    /// Records a retry if it is within the limit.
    pub fn try_retry(
        &mut self,
        pool: &str,
        bounds: RetryBounds,
        hosts: usize,
        now: Duration,
    ) -> bool {
        let within = self.can_retry(pool, bounds, hosts, now);
        if within {
            self.bucket(pool, bounds, now).retries += 1;
        }
        within
    }

    /// Returns the current bucket after removing those outside the window.
    fn bucket(&mut self, pool: &str, bounds: RetryBounds, now: Duration) -> &mut BucketCount {
        let length = (bounds.window / WINDOW_BUCKETS).max(Duration::from_millis(1));
        let bucket = (now.as_millis() / length.as_millis()) as u64;
        let buckets = self.pools.get_or_insert_with(pool.to_owned(), Vec::new);
        buckets.retain(|held| held.bucket + u64::from(WINDOW_BUCKETS) > bucket);
        if buckets.last().is_none_or(|last| last.bucket != bucket) {
            buckets.push(BucketCount {
                bucket,
                ..BucketCount::default()
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
