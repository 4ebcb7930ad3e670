//! Properties and load of targets, as input of the policy.

use std::time::Duration;

use crate::fleet::TargetKind;
use crate::fleet::TargetState;
use crate::ids::TargetName;
use crate::ids::ZoneName;

/// A target as described by the configuration and the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetFacts {
    /// The target's name.
    pub name: TargetName,
    /// Whether the target is an engine or a service.
    pub kind: TargetKind,
    /// The number of requests that may run concurrently, over all hosts.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub state: TargetState,
    /// The target's availability zone.
    pub availability_zone: ZoneName,
}

/// A target's own report of its load, which arrives late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// When the target measured the load, on this process's clock.
    pub measured_at: Duration,
    /// Requests in the target's batch.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
}
