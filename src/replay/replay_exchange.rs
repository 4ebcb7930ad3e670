//! What hosts and targets tell in a replay: digests and reports.

use std::sync::Arc;
use std::time::Duration;

use crate::policy::HostDigest;
use crate::policy::LoadReport;

use super::replay_run::ReplayEvent;
use super::replay_run::ReplayRun;
use super::replay_run::TargetModel;

/// How often a host tells its peers.
pub(super) const DIGEST_PERIOD: Duration = Duration::from_secs(1);
/// How often a target takes a report.
pub(super) const REPORT_PERIOD: Duration = Duration::from_millis(500);

impl ReplayRun<'_> {
    pub(super) fn send_digest(&mut self, host: usize) {
        if !self.live[host] {
            return;
        }
        let next = self.now + DIGEST_PERIOD;
        self.events.push(next, ReplayEvent::SendDigest(host));
        self.spread_digest(host);
    }

    pub(super) fn spread_digest(&mut self, host: usize) {
        let Some(digest) = self.policies[host].digest(self.now) else {
            return;
        };
        let digest = Arc::new(digest);
        let at = self.now + self.network();
        for to in (0..self.policies.len()).filter(|to| *to != host) {
            if self.side[to] != self.side[host] {
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

    pub(super) fn take_digest(&mut self, from: usize, to: usize, digest: &HostDigest) {
        if self.live[to] {
            let name = &self.trace.header.hosts[from];
            self.policies[to].apply_peer_digest(self.now, name, digest.clone());
        }
    }

    pub(super) fn take_reports(&mut self) {
        let next = self.now + REPORT_PERIOD;
        self.events.push(next, ReplayEvent::TakeReports);
        let mut reports = Vec::new();
        for model in &self.models {
            let (running, waiting) = match model {
                TargetModel::Engine(engine) => engine.load(),
                TargetModel::Service(service) => service.load(),
            };
            reports.push(LoadReport {
                taken: self.now,
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
                policy.report(self.now, &target.name, *report);
            }
        }
    }
}
