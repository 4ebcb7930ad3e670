//! Digests from hosts and load reports from targets in a replay.

use std::sync::Arc;
use std::time::Duration;

use crate::policy::HostDigest;
use crate::policy::LoadReport;

use super::replay_run::ReplayEvent;
use super::replay_run::ReplayRun;
use super::replay_run::TargetModel;

/// Interval of a host's digests to its peers.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of a target's load reports.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl ReplayRun<'_> {
    pub(super) fn send_digest(&mut self, host: usize) {
        if !self.live[host] {
            return;
        }
        let next = self.now + DIGEST_INTERVAL;
        self.events.push(next, ReplayEvent::SendDigest(host));
        self.broadcast_digest(host);
    }

    pub(super) fn broadcast_digest(&mut self, host: usize) {
        let Some(digest) = self.policies[host].digest(self.now) else {
            return;
        };
        let digest = Arc::new(digest);
        let at = self.now + self.network_delay();
        for to in (0..self.policies.len()).filter(|to| *to != host) {
            if self.partition_side[to] != self.partition_side[host] {
                continue;
            }
            let digest = digest.clone();
            let event = ReplayEvent::Digest {
                from: host,
                to,
                digest,
            };
            self.events.push(at, event);
        }
    }

    pub(super) fn deliver_digest(&mut self, from: usize, to: usize, digest: &HostDigest) {
        if self.live[to] {
            let name = &self.trace.header.hosts[from];
            self.policies[to].apply_peer_digest(self.now, name, digest.clone());
        }
    }

    pub(super) fn sample_reports(&mut self) {
        let next = self.now + REPORT_INTERVAL;
        self.events.push(next, ReplayEvent::SampleReports);
        let mut reports = Vec::new();
        for model in &self.models {
            let (running, waiting) = match model {
                TargetModel::Engine(engine) => engine.load(),
                TargetModel::Service(service) => service.load(),
            };
            reports.push(LoadReport {
                measured_at: self.now,
                running,
                waiting,
            });
        }
        let lag = Duration::from_millis(self.trace.header.report_lag_ms);
        let event = ReplayEvent::Reports(Arc::new(reports));
        self.events.push(self.now + lag, event);
    }

    pub(super) fn deliver_reports(&mut self, reports: &[LoadReport]) {
        let targets = &self.trace.header.targets;
        for (target, report) in targets.iter().zip(reports) {
            for policy in &mut self.policies {
                policy.apply_report(self.now, &target.name, *report);
            }
        }
    }
}
