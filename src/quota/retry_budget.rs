//! How often requests may be sent once more, over all hosts.

use std::time::Duration;

use crate::ids::PoolName;
use crate::sorted::SortedMap;

/// The share of the bound that is used: the rest is for what is counted
/// differently at the edges of a window.
const SAFE_SHARE: f64 = 0.75;
/// Windows are counted in this many parts.
const WINDOW_PARTS: u32 = 10;

/// The bound on repeats, over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Repeats by requests.
    pub ratio: f64,
    /// Repeats beyond that in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartCount {
    part: u64,
    requests: u32,
    repeats: u32,
}

/// How often requests may be sent once more, over all hosts.
///
/// Load it answers: targets that fail much of what they get. Without a bound each
/// failure is sent again, and the rest of the fleet gets twice the load while a
/// part of it is down. A host may repeat by the requests that it took itself, so
/// the parts of all hosts add up to the whole without a word between them; of the
/// fixed slack each has an even part.
#[derive(Debug, Default)]
pub struct RetryBudget {
    pools: SortedMap<PoolName, Vec<PartCount>>,
}

impl RetryBudget {
    /// Counts a request for a pool.
    pub fn record_request(&mut self, pool: &str, bounds: RetryBounds, now: Duration) {
        self.part(pool, bounds, now).requests += 1;
    }

    /// Tells whether a repeat is within the bound; `hosts` share the slack.
    pub fn can_retry(
        &mut self,
        pool: &str,
        bounds: RetryBounds,
        hosts: usize,
        now: Duration,
    ) -> bool {
        self.part(pool, bounds, now);
        let Some(parts) = self.pools.get(pool) else {
            return false;
        };
        let requests: u32 = parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = parts.iter().map(|part| part.repeats).sum();
        let slack = bounds.slack / hosts.max(1) as f64;
        let most = (bounds.ratio * f64::from(requests) + slack) * SAFE_SHARE;
        f64::from(repeats + 1) <= most
    }

    /// Counts a repeat if it is within the bound.
    pub fn try_retry(
        &mut self,
        pool: &str,
        bounds: RetryBounds,
        hosts: usize,
        now: Duration,
    ) -> bool {
        let within = self.can_retry(pool, bounds, hosts, now);
        if within {
            self.part(pool, bounds, now).repeats += 1;
        }
        within
    }

    /// Returns the count of the present part, after those out of the window went.
    fn part(&mut self, pool: &str, bounds: RetryBounds, now: Duration) -> &mut PartCount {
        let length = (bounds.window / WINDOW_PARTS).max(Duration::from_millis(1));
        let part = (now.as_millis() / length.as_millis()) as u64;
        let parts = self.pools.get_or_insert_with(pool.to_owned(), Vec::new);
        parts.retain(|held| held.part + u64::from(WINDOW_PARTS) > part);
        if parts.last().is_none_or(|last| last.part != part) {
            parts.push(PartCount {
                part,
                ..PartCount::default()
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
