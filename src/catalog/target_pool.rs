//! One pool: the targets that serve the same work.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;

/// One pool of targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetPool {
    /// The pool's name.
    pub name: PoolName,
    /// Whether its targets are model engines, which batch and stream.
    pub engine: bool,
    /// What its targets bear while they are cold; `None` where they are never cold.
    pub cold_limit: Option<ColdLimit>,
}

/// What a cold target bears; it crashes at a rate well above.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdLimit {
    /// Requests a second, over all hosts.
    pub requests_per_second: f64,
    /// How long a target stays cold after its start.
    pub duration: Duration,
}
