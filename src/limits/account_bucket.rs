//! The rate limit of one account on one host.
//!
//! Without it, the requests of an account that far exceeds its rate would fill every queue
//! before fair queueing takes effect.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A rate limiter using the generic cell rate algorithm, in one atomic word.
///
/// The word holds the time at which the bucket is full again. Each request advances it by one
/// interval. A request that would advance it further than the burst allows is refused with the
/// time to wait.
#[derive(Debug)]
pub struct AccountBucket {
    interval: Duration,
    tolerance: Duration,
    full_at_nanos: AtomicU64,
}

impl AccountBucket {
    /// Creates a full bucket for `rate` requests per second with bursts of `burst` requests.
    ///
    /// Both are this host's share. A share below one request per second becomes an interval
    /// longer than a second, so that rounding excludes no account.
    pub fn new(rate: f64, burst: f64) -> Self {
        let interval = Duration::from_secs_f64(1.0 / rate.max(f64::MIN_POSITIVE).max(1e-6));
        Self {
            interval,
            tolerance: interval.mul_f64((burst - 1.0).max(0.0)),
            full_at_nanos: AtomicU64::new(0),
        }
    }

    /// Takes one request at `now`.
    ///
    /// # Errors
    ///
    /// The time after which the next request is admitted.
    pub fn take(&self, now: Duration) -> Result<(), Duration> {
        let now = now.as_nanos() as u64;
        let interval = self.interval.as_nanos() as u64;
        let tolerance = self.tolerance.as_nanos() as u64;
        let mut full_at = self.full_at_nanos.load(Ordering::Relaxed);
        loop {
            let start = full_at.max(now);
            let ahead = start - now;
            if ahead > tolerance {
                return Err(Duration::from_nanos(ahead - tolerance));
            }
            let moved = self.full_at_nanos.compare_exchange_weak(
                full_at,
                start + interval,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            match moved {
                Ok(_) => return Ok(()),
                Err(seen) => full_at = seen,
            }
        }
    }
}
