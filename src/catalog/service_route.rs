//! Routes: which requests they match and how these are served.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::TierRank;

/// How a route's requests may be retried and how they are answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is an event stream, and the request may run at most once.
    Stream,
    /// The answer is an event stream that another target can continue after the last event.
    ResumableStream,
}

impl CallKind {
    /// Returns whether the answer is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether the request may be sent again after it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A pool that receives part of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: PoolName,
    /// Its weight relative to the route's other pools.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: String,
    /// The `Host` header that it matches, in lower case.
    pub host: String,
    /// Path prefix that it matches; starts and ends with a slash.
    pub prefix: String,
    /// How its requests may be retried and how they are answered.
    pub kind: CallKind,
    /// Maximum time that a caller may be kept waiting.
    pub timeout: Option<Duration>,
    /// Latency objective for the first event of a stream or for a complete answer.
    pub objective: Duration,
    /// Objective for the longest pause between two events of a stream.
    pub event_gap_objective: Option<Duration>,
    /// Time after which callers give up waiting for the first event, if this is known to be
    /// shorter than their deadline.
    pub abandon_timeout: Option<Duration>,
    /// Priority tier; 0 is the most urgent.
    pub tier: TierRank,
    /// Maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Pools and their weights; never empty.
    pub shares: Vec<PoolShare>,
}

impl ServiceRoute {
    /// Returns the pool for a request. `random` is uniformly distributed.
    pub fn pool_for(&self, random: u64) -> &PoolName {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = random % total.max(1);
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
