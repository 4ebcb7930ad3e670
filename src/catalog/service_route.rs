//! One route: which requests it takes and how they are to be served.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::TierRank;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another target can go on with after the last event.
    ResumableStream,
}

impl CallKind {
    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Tells whether the request may run again after it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One of the pools among which a route's requests are split.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolName,
    /// Its share, relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRoute {
    /// The route's name.
    pub name: String,
    /// The `Host` that it takes, in lower case.
    pub host: String,
    /// The beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller may be kept waiting.
    pub timeout: Option<Duration>,
    /// Within which the first event, or the whole answer, is worth the most.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is still in time.
    pub event_gap_objective: Option<Duration>,
    /// How long callers wait for the first event before they give up, where that is
    /// known to be shorter than their deadline.
    pub abandon_timeout: Option<Duration>,
    /// The urgency; 0 is the highest.
    pub tier: TierRank,
    /// To how many targets one request may be sent at most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The pools and their shares; never empty.
    pub shares: Vec<PoolShare>,
}

impl ServiceRoute {
    /// Returns the pool for a request, by a number that is spread evenly.
    pub fn pool_for(&self, spread: u64) -> &PoolName {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = spread % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.pool;
            }
            point -= weight;
        }
        &self.shares[0].pool
    }
}
