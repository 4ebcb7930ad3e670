//! Pools of interchangeable targets.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;

/// A pool of interchangeable targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetPool {
    /// Name of the pool.
    pub name: PoolName,
    /// Whether its targets are model engines, which batch requests and stream answers.
    pub engine: bool,
    /// Load limit of its targets while they are cold; `None` if they need no warm-up.
    pub cold_limit: Option<ColdLimit>,
}

/// Load limit of a cold target, which crashes at rates far above it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdLimit {
    /// Requests per second, over all hosts.
    pub requests_per_second: f64,
    /// How long a target stays cold after it starts.
    pub duration: Duration,
}
