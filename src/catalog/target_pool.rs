//! One pool: the targets that serve the same work.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;

/// One pool of targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetPool {
    /// The pool's name.
    pub name: PoolName,
    /// Whether its targets are model engines, which batch and stream.
    pub engine: bool,
}
