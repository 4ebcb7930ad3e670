//! Sets up the fleet and the initial events of a replay.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::fleet::TargetKind;
use crate::fleet::TargetState;
use crate::policy::PolicySettings;
use crate::policy::TargetFacts;
use crate::policy::WorkId;

use super::PolicyKind;
use super::TraceFault;
use super::engine_model::EngineModel;
use super::replay_exchange::DIGEST_INTERVAL;
use super::replay_exchange::REPORT_INTERVAL;
use super::replay_policy::ReplayPolicy;
use super::replay_run::ReplayEvent;
use super::replay_run::ReplayRun;
use super::replay_run::TICK_INTERVAL;
use super::replay_run::TargetModel;
use super::service_model::ServiceModel;

impl ReplayRun<'_> {
    pub(super) fn set_up_fleet(&mut self, kind: PolicyKind, rng: &mut ChaCha8Rng) {
        let header = &self.trace.header;
        let mut facts = Vec::new();
        for (index, target) in header.targets.iter().enumerate() {
            self.target_indexes.insert(target.name.clone(), index);
            self.models.push(match target.kind {
                TargetKind::Engine => {
                    TargetModel::Engine(EngineModel::new(target.pace, target.slots))
                }
                TargetKind::Service => {
                    TargetModel::Service(ServiceModel::new(target.pace, target.slots))
                }
            });
            facts.push(TargetFacts {
                name: target.name.clone(),
                kind: target.kind,
                slots: target.slots,
                state: TargetState::Live,
                availability_zone: target.availability_zone.clone(),
            });
        }
        for class in &header.classes {
            let mut targets = class.targets.clone();
            targets.sort();
            self.allowed.insert(class.name.clone(), Arc::new(targets));
        }
        for host in &header.hosts {
            let settings = PolicySettings {
                incarnation: rng.random(),
                ..PolicySettings::default()
            };
            let mut policy = ReplayPolicy::new(kind, host.clone(), settings);
            policy.set_targets(Duration::ZERO, facts.clone());
            policy.set_hosts(Duration::ZERO, header.hosts.clone());
            self.policies.push(policy);
        }
    }

    pub(super) fn set_up_events(&mut self, rng: &mut ChaCha8Rng) {
        for index in 0..self.trace.arrivals.len() {
            let arrival = &self.trace.arrivals[index];
            let at = Duration::from_micros(arrival.at_us);
            let deadline = at + Duration::from_millis(arrival.deadline_ms);
            self.events.push(at, ReplayEvent::Arrival(index));
            self.events
                .push(deadline, ReplayEvent::Deadline(index as WorkId));
        }
        for host in 0..self.policies.len() {
            let phase = TICK_INTERVAL.mul_f64(rng.random());
            self.events.push(phase, ReplayEvent::Tick(host));
            let phase = DIGEST_INTERVAL.mul_f64(rng.random());
            self.events.push(phase, ReplayEvent::SendDigest(host));
        }
        self.events
            .push(REPORT_INTERVAL, ReplayEvent::SampleReports);
        for (index, fault) in self.trace.header.faults.iter().enumerate() {
            let (from_ms, to_ms) = match fault {
                TraceFault::SlowTarget { from_ms, to_ms, .. }
                | TraceFault::Partition { from_ms, to_ms, .. } => (*from_ms, Some(*to_ms)),
                TraceFault::LostHosts { at_ms, .. } => (*at_ms, None),
            };
            let from = Duration::from_millis(from_ms);
            self.events.push(from, ReplayEvent::FaultStart(index));
            if let Some(to) = to_ms {
                let to = Duration::from_millis(to);
                self.events.push(to, ReplayEvent::FaultEnd(index));
            }
        }
    }
}
