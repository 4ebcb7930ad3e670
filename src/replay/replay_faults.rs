//! Fault injection in a replay.

use std::time::Duration;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::policy::WorkId;

use super::TraceFault;
use super::replay_run::ReplayEvent;
use super::replay_run::ReplayRun;
use super::replay_run::TargetModel;
use super::work_record::RecordOutcome;

impl ReplayRun<'_> {
    pub(super) fn start_fault(&mut self, index: usize) {
        match &self.trace.header.faults[index] {
            TraceFault::SlowTarget { target, factor, .. } => self.set_slowdown(target, *factor),
            TraceFault::LostHosts { hosts, .. } => self.stop_hosts(hosts),
            TraceFault::Partition { hosts, .. } => self.set_partition_side(hosts, 1),
        }
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        match &self.trace.header.faults[index] {
            TraceFault::SlowTarget { target, .. } => self.set_slowdown(target, 1),
            TraceFault::LostHosts { .. } => (),
            TraceFault::Partition { hosts, .. } => self.set_partition_side(hosts, 0),
        }
    }

    fn set_slowdown(&mut self, target: &TargetName, factor: u32) {
        let Some(index) = self.target_indexes.get(target) else {
            return;
        };
        match &mut self.models[*index] {
            TargetModel::Engine(engine) => engine.factor = factor,
            TargetModel::Service(service) => service.factor = factor,
        }
    }

    fn set_partition_side(&mut self, hosts: &[HostName], partition_side: u8) {
        for (index, host) in self.trace.header.hosts.iter().enumerate() {
            if hosts.contains(host) {
                self.partition_side[index] = partition_side;
            }
        }
    }

    /// Stops hosts. Their connections close, so targets cancel their requests.
    fn stop_hosts(&mut self, hosts: &[HostName]) {
        for (index, host) in self.trace.header.hosts.iter().enumerate() {
            if hosts.contains(host) {
                self.live[index] = false;
            }
        }
        for work in 0..self.records.len() {
            let record = &self.records[work];
            let arrived = Duration::from_micros(self.trace.arrivals[work].at_us) < self.now;
            if !arrived || record.outcome.is_some() || self.live[record.host] {
                continue;
            }
            if let Some(target) = record.target {
                self.remove_from_target(target, work as WorkId);
            }
            self.end_request(work as WorkId, RecordOutcome::Lost);
        }
        let lag = Duration::from_millis(self.trace.header.list_lag_ms);
        self.events
            .push(self.now + lag, ReplayEvent::HostListUpdate);
    }

    pub(super) fn update_host_lists(&mut self) {
        let hosts = &self.trace.header.hosts;
        let live = hosts.iter().zip(&self.live).filter(|(_, live)| **live);
        let list: Vec<HostName> = live.map(|(host, _)| host.clone()).collect();
        for (policy, live) in self.policies.iter_mut().zip(&self.live) {
            if *live {
                policy.set_hosts(self.now, list.clone());
            }
        }
    }
}
