//! What a request asks of the table, and what it gets.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::ids::TierRank;

/// The number of a waiting request, unique in its process.
pub type QueueTicket = u64;

/// How urgent a request is: the account's tier goes before the route's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestPriority {
    /// The tier of the account, or of the route where the account has none.
    pub account: TierRank,
    /// The tier of the route.
    pub route: TierRank,
}

/// What a request asks of the table.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The pool that may run it.
    pub pool: PoolName,
    /// How urgent it is.
    pub priority: RequestPriority,
    /// When its first event must be there to meet its objective.
    pub objective_at: Duration,
    /// Whether its caller was rejected before and has come back.
    pub is_retry: bool,
    /// How many tokens must be read before its first event.
    pub prompt_tokens: u64,
    /// How many tokens its caller expects, where it says so.
    pub output_tokens: Option<u64>,
    /// The longest pause between two events that is still in time.
    pub event_gap_objective: Option<Duration>,
    /// When its time is over.
    pub deadline: Duration,
    /// Targets that it was sent to already.
    pub tried: Vec<TargetName>,
}

/// The target that is to run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedTarget {
    /// The target.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// How urgent the request is.
    pub priority: RequestPriority,
    /// How many tokens the table counts as unread there for this request.
    pub prompt_tokens: u64,
    /// How many tokens were to be read there before its own.
    pub tokens_ahead: u64,
    /// How many tokens its caller expects, where it says so.
    pub output_tokens: Option<u64>,
}

/// How a request at a target ended, as far as it tells of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// With a whole answer that is no failure.
    Succeeded,
    /// With a failure of the target: an error, a cut or a broken answer.
    Failed,
    /// The target refused it without running it.
    Rejected,
    /// No connection came about.
    Unreachable,
    /// Nothing was heard of it until it was given up.
    Unresponsive,
    /// The caller left or the time ran out: it tells nothing of the target.
    Cancelled,
}
