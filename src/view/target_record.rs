//! One target as it registered itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::StoreRevision;
use crate::ids::TargetName;
use crate::ids::ZoneName;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetPhase {
    /// It takes new work.
    Ready,
    /// It finishes what runs and takes nothing new.
    Draining,
}

/// One target as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// The target's name, unique for one life of it.
    pub name: TargetName,
    /// The pool that it serves.
    pub pool: PoolName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// When this life of it began, in milliseconds of its own clock; a target may
    /// start again under its old name and then knows nothing of before.
    pub started_at_ms: u64,
    /// For how long it stays cold, as of this registration.
    pub cold_remaining: Duration,
    /// The revision of the store at which it was written.
    pub revision: StoreRevision,
}
