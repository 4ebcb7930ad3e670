//! The input and result of a placement.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::view::TargetIncarnation;

/// The number of a waiting request, unique in its process.
pub type QueueTicket = u64;

/// The priority of a request: the account's tier is compared before the route's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestPriority {
    /// The tier of the account, or of the route if the account has none.
    pub account: TierRank,
    /// The tier of the route.
    pub route: TierRank,
}

/// The rank of a waiting request: more urgent requests go first, and among those of one priority
/// the ones that can still meet their objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QueueRank {
    /// The request's priority.
    pub priority: RequestPriority,
    /// Whether it can no longer meet its objective.
    pub late: bool,
}

impl QueueRank {
    /// Returns the rank of a request of this priority that can meet its objective.
    pub const fn in_time(priority: RequestPriority) -> Self {
        Self {
            priority,
            late: false,
        }
    }
}

/// A request to be placed at a target of a pool.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The pool whose targets may run the request.
    pub pool: PoolName,
    /// The request's priority.
    pub priority: RequestPriority,
    /// When the first event is due by the request's latency objective.
    pub objective_at: Duration,
    /// When the caller gives up unless the first event, or the next one, has arrived.
    pub first_event_by: Duration,
    /// Whether a part of the answer was delivered. Such a request isn't refused for its wait, as its
    /// caller can't be told when to retry.
    pub has_started: bool,
    /// Prompt tokens that must be prefilled before the first event.
    pub prompt_tokens: u64,
    /// Output tokens that the caller expects, if stated.
    pub output_tokens: Option<u64>,
    /// The longest gap between two events that meets the objective.
    pub event_gap_objective: Option<Duration>,
    /// When the request times out.
    pub deadline: Duration,
    /// Targets that were already tried.
    pub tried: Vec<TargetName>,
    /// The only software version that may run the request; any if `None`.
    pub version: Option<SoftwareVersion>,
}

impl PlacementRequest {
    /// Returns whether a target of this software version may run the request.
    pub(super) fn allows_version(&self, version: &str) -> bool {
        self.version
            .as_ref()
            .is_none_or(|required| required == version)
    }
}

/// The target assigned to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedTarget {
    /// The target.
    pub name: TargetName,
    /// The target's address.
    pub address: SocketAddr,
    /// Start time of the target's process, in milliseconds of its own clock.
    pub started_at_ms: u64,
    /// Version of the target's software.
    pub software_version: SoftwareVersion,
    /// The request's priority.
    pub priority: RequestPriority,
    /// Prompt tokens of this request that the table counts as pending prefill at the target.
    pub prompt_tokens: u64,
    /// Tokens that were pending prefill at the target before this request's.
    pub tokens_ahead: u64,
    /// Output tokens that the caller expects, if stated.
    pub output_tokens: Option<u64>,
}

impl PlacedTarget {
    /// Returns the incarnation of the target to which the request was assigned.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.name.clone(),
            address: self.address,
            started_at_ms: self.started_at_ms,
        }
    }
}

/// The outcome of an attempt at a target, as evidence of the target's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete answer that is no failure.
    Succeeded,
    /// A failure of the target: an error, or a truncated or malformed answer.
    Failed,
    /// The target refused the request without running it.
    Rejected,
    /// No connection could be established.
    Unreachable,
    /// The target sent nothing until the attempt timed out.
    Unresponsive,
    /// The caller left or the request's time ran out; says nothing about the target.
    Cancelled,
}
