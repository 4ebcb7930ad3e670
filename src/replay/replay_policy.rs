//! A common interface to the policies that a replay can run.

use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::policy::DispatchPolicy;
use crate::policy::HostDigest;
use crate::policy::LoadReport;
use crate::policy::PolicyAction;
use crate::policy::PolicySettings;
use crate::policy::TargetFacts;
use crate::policy::WorkId;
use crate::policy::WorkItem;
use crate::policy::WorkOutcome;

use super::baseline_policy::BaselinePolicy;
use super::baseline_policy::BaselineRule;
use super::first_policy::FirstPolicy;

/// A policy that a replay can run.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The policy of the daemon.
    #[display("current")]
    Current,
    /// The first version of the policy.
    #[display("first")]
    First,
    /// Round robin over the allowed targets, with first-come-first-served queues.
    #[display("round-robin")]
    RoundRobin,
    /// The allowed target with the lowest reported load.
    #[display("least-load")]
    LeastLoad,
}

impl PolicyKind {
    /// All policies, the daemon's first.
    pub const ALL: [Self; 4] = [
        Self::Current,
        Self::First,
        Self::RoundRobin,
        Self::LeastLoad,
    ];
}

/// One host's policy in a replay.
#[derive(Debug)]
pub(super) enum ReplayPolicy {
    Current(Box<DispatchPolicy>),
    First(Box<FirstPolicy>),
    Baseline(BaselinePolicy),
}

impl ReplayPolicy {
    pub(super) fn new(kind: PolicyKind, host: HostName, settings: PolicySettings) -> Self {
        match kind {
            PolicyKind::Current => Self::Current(Box::new(DispatchPolicy::new(host, settings))),
            PolicyKind::First => Self::First(Box::new(FirstPolicy::new(host, settings))),
            PolicyKind::RoundRobin => Self::Baseline(BaselinePolicy::new(BaselineRule::RoundRobin)),
            PolicyKind::LeastLoad => Self::Baseline(BaselinePolicy::new(BaselineRule::LeastLoad)),
        }
    }

    pub(super) fn set_targets(&mut self, now: Duration, facts: Vec<TargetFacts>) {
        match self {
            Self::Current(policy) => policy.set_targets(now, facts),
            Self::First(policy) => policy.set_targets(now, facts),
            Self::Baseline(_) => (),
        }
    }

    pub(super) fn set_hosts(&mut self, now: Duration, hosts: Vec<HostName>) {
        match self {
            Self::Current(policy) => policy.set_hosts(now, hosts),
            Self::First(policy) => policy.set_hosts(now, hosts),
            Self::Baseline(_) => (),
        }
    }

    pub(super) fn arrive(&mut self, now: Duration, item: WorkItem) -> Vec<PolicyAction> {
        match self {
            Self::Current(policy) => policy.arrive(now, item),
            Self::First(policy) => policy.arrive(now, item),
            Self::Baseline(policy) => policy.arrive(now, &item),
        }
    }

    pub(super) fn accept_forwarded(&mut self, now: Duration, item: WorkItem) -> Vec<PolicyAction> {
        match self {
            Self::Current(policy) => policy.accept_forwarded(now, item),
            Self::First(_) | Self::Baseline(_) => self.arrive(now, item),
        }
    }

    pub(super) fn record_start(&mut self, now: Duration, work: WorkId) {
        match self {
            Self::Current(policy) => policy.record_start(now, work),
            Self::First(policy) => policy.record_start(now, work),
            Self::Baseline(_) => (),
        }
    }

    pub(super) fn record_progress(&mut self, now: Duration, work: WorkId, tokens: u32) {
        match self {
            Self::Current(policy) => policy.record_progress(now, work, tokens),
            Self::First(policy) => policy.record_progress(now, work, tokens),
            Self::Baseline(_) => (),
        }
    }

    pub(super) fn record_end(
        &mut self,
        now: Duration,
        work: WorkId,
        outcome: WorkOutcome,
    ) -> Vec<PolicyAction> {
        match self {
            Self::Current(policy) => policy.record_end(now, work, outcome),
            Self::First(policy) => policy.record_end(now, work, outcome),
            Self::Baseline(_) => Vec::new(),
        }
    }

    pub(super) fn withdraw(&mut self, now: Duration, work: WorkId) -> Vec<PolicyAction> {
        match self {
            Self::Current(policy) => policy.withdraw(now, work),
            Self::First(policy) => policy.withdraw(now, work),
            Self::Baseline(_) => Vec::new(),
        }
    }

    pub(super) fn apply_report(&mut self, now: Duration, target: &TargetName, report: LoadReport) {
        match self {
            Self::Current(policy) => policy.apply_report(now, target, report),
            Self::First(_) => (),
            Self::Baseline(policy) => policy.apply_report(target, report),
        }
    }

    pub(super) fn apply_peer_digest(&mut self, now: Duration, host: &HostName, digest: HostDigest) {
        if let Self::Current(policy) = self {
            policy.apply_peer_digest(now, host, digest);
        }
    }

    pub(super) fn wants_digest(&self) -> bool {
        match self {
            Self::Current(policy) => policy.wants_digest(),
            Self::First(_) | Self::Baseline(_) => false,
        }
    }

    pub(super) fn digest(&mut self, now: Duration) -> Option<HostDigest> {
        match self {
            Self::Current(policy) => Some(policy.digest(now)),
            Self::First(_) | Self::Baseline(_) => None,
        }
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<PolicyAction> {
        match self {
            Self::Current(policy) => policy.tick(now),
            Self::First(policy) => policy.tick(now),
            Self::Baseline(_) => Vec::new(),
        }
    }
}
