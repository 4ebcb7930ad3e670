//! The simulation of one policy on one trace, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::policy::HostDigest;
use crate::policy::LoadReport;
use crate::policy::PolicyAction;
use crate::policy::WorkId;
use crate::policy::WorkItem;
use crate::policy::WorkOutcome;
use crate::sorted::SortedMap;

use super::PolicyKind;
use super::ReplayTrace;
use super::engine_model::EngineEvent;
use super::engine_model::EngineModel;
use super::engine_model::EngineSequence;
use super::event_queue::EventQueue;
use super::replay_policy::ReplayPolicy;
use super::service_model::ServiceModel;
use super::work_record::RecordOutcome;
use super::work_record::WorkRecord;

/// Interval of a policy's ticks.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum ReplayEvent {
    Arrival(usize),
    Tick(usize),
    StepEnd(usize),
    CallEnd(usize, WorkId),
    RequestDelivered(usize, WorkId),
    SendDigest(usize),
    Digest {
        from: usize,
        to: usize,
        digest: Arc<HostDigest>,
    },
    SampleReports,
    Reports(Arc<Vec<LoadReport>>),
    Forwarded(usize, WorkId),
    Deadline(WorkId),
    FaultStart(usize),
    FaultEnd(usize),
    HostListUpdate,
}

/// The model of a target.
#[derive(Debug)]
pub(super) enum TargetModel {
    Engine(EngineModel),
    Service(ServiceModel),
}

/// The state of the simulation of one policy on one trace.
pub(super) struct ReplayRun<'a> {
    pub(super) trace: &'a ReplayTrace,
    pub(super) now: Duration,
    pub(super) events: EventQueue<ReplayEvent>,
    pub(super) policies: Vec<ReplayPolicy>,
    /// Whether each host is live, in the order of the header.
    pub(super) live: Vec<bool>,
    /// The side of a partition on which each host is.
    pub(super) partition_side: Vec<u8>,
    pub(super) models: Vec<TargetModel>,
    pub(super) allowed: SortedMap<String, Arc<Vec<TargetName>>>,
    pub(super) target_indexes: SortedMap<TargetName, usize>,
    pub(super) records: Vec<WorkRecord>,
    /// Number of requests without an outcome.
    pub(super) open_requests: usize,
    /// Prefixes that any engine has prefilled.
    pub(super) prefilled_prefixes: SortedMap<u64, ()>,
}

/// Runs a policy on a trace and returns the record of each request.
pub(super) fn run_policy(trace: &ReplayTrace, kind: PolicyKind, seed: u64) -> Vec<WorkRecord> {
    let mut run = ReplayRun::new(trace, kind, seed);
    while run.open_requests > 0 {
        let Some((now, event)) = run.events.pop() else {
            break;
        };
        run.now = now;
        run.handle(event);
    }
    run.records
}

impl<'a> ReplayRun<'a> {
    fn new(trace: &'a ReplayTrace, kind: PolicyKind, seed: u64) -> Self {
        let header = &trace.header;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut run = Self {
            trace,
            now: Duration::ZERO,
            events: EventQueue::new(),
            policies: Vec::new(),
            live: vec![true; header.hosts.len()],
            partition_side: vec![0; header.hosts.len()],
            models: Vec::new(),
            allowed: SortedMap::new(),
            target_indexes: SortedMap::new(),
            records: vec![WorkRecord::default(); trace.arrivals.len()],
            open_requests: trace.arrivals.len(),
            prefilled_prefixes: SortedMap::new(),
        };
        run.set_up_fleet(kind, &mut rng);
        run.set_up_events(&mut rng);
        run
    }

    fn handle(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrival(index) => self.arrive(index),
            ReplayEvent::Tick(host) => self.tick(host),
            ReplayEvent::StepEnd(target) => self.end_step(target),
            ReplayEvent::CallEnd(target, work) => self.end_call(target, work),
            ReplayEvent::RequestDelivered(target, work) => self.deliver_request(target, work),
            ReplayEvent::SendDigest(host) => self.send_digest(host),
            ReplayEvent::Digest { from, to, digest } => self.deliver_digest(from, to, &digest),
            ReplayEvent::SampleReports => self.sample_reports(),
            ReplayEvent::Reports(reports) => self.deliver_reports(&reports),
            ReplayEvent::Forwarded(host, work) => self.deliver_forwarded(host, work),
            ReplayEvent::Deadline(work) => self.expire(work),
            ReplayEvent::FaultStart(index) => self.start_fault(index),
            ReplayEvent::FaultEnd(index) => self.end_fault(index),
            ReplayEvent::HostListUpdate => self.update_host_lists(),
        }
    }

    pub(super) fn network_delay(&self) -> Duration {
        Duration::from_millis(self.trace.header.network_ms)
    }

    /// Delivers a request to its host. The load balancer sends requests of a lost host to
    /// live ones.
    fn arrive(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        let hosts = &self.trace.header.hosts;
        let first = hosts.iter().position(|h| *h == arrival.host).unwrap_or(0);
        // The index of the request distributes those of a lost host over the live ones.
        let others = (0..hosts.len()).map(|step| (first + index + step) % hosts.len());
        let host = if self.live[first] {
            Some(first)
        } else {
            others.into_iter().find(|host| self.live[*host])
        };
        let Some(host) = host else {
            self.end_request(index as WorkId, RecordOutcome::Lost);
            return;
        };
        self.records[index].host = host;
        let item = self.work_item(index);
        let actions = self.policies[host].arrive(self.now, item);
        self.apply_actions(host, actions);
    }

    fn work_item(&self, index: usize) -> WorkItem {
        let arrival = &self.trace.arrivals[index];
        let at = Duration::from_micros(arrival.at_us);
        let accounts = &self.trace.header.accounts;
        let account = accounts.iter().find(|a| a.name == arrival.account);
        let goal = arrival.first_token_goal_ms.map(Duration::from_millis);
        WorkItem {
            work: index as WorkId,
            tier: arrival.tier,
            account: arrival.account.clone(),
            weight: account.map_or(1, |account| account.weight),
            class: arrival.class.clone(),
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.expected_tokens,
            prefix: arrival.prefix,
            deadline: at + Duration::from_millis(arrival.deadline_ms),
            first_token_goal: goal.map(|goal| at + goal),
            allowed: self
                .allowed
                .get(&arrival.class)
                .cloned()
                .unwrap_or_default(),
        }
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::Dispatch { work, target } => {
                    let index = self.target_indexes.get(&target).copied().unwrap_or(0);
                    self.records[work as usize].target = Some(index);
                    let at = self.now + self.network_delay();
                    self.events
                        .push(at, ReplayEvent::RequestDelivered(index, work));
                }
                PolicyAction::Refuse { work, .. } => self.end_request(work, RecordOutcome::Refused),
                PolicyAction::Forward { work, host: peer } => {
                    self.forward_to_peer(host, work, &peer)
                }
            }
        }
    }

    fn forward_to_peer(&mut self, from: usize, work: WorkId, peer: &HostName) {
        let hosts = &self.trace.header.hosts;
        let to = hosts.iter().position(|host| host == peer).unwrap_or(from);
        let reachable = self.live[to] && self.partition_side[from] == self.partition_side[to];
        let host = if reachable { to } else { from };
        let record = &mut self.records[work as usize];
        record.forward_count += 1;
        record.host = host;
        let at = self.now + self.network_delay();
        self.events.push(at, ReplayEvent::Forwarded(host, work));
    }

    fn deliver_forwarded(&mut self, host: usize, work: WorkId) {
        if !self.live[host] {
            self.end_request(work, RecordOutcome::Lost);
            return;
        }
        if self.records[work as usize].outcome.is_some() {
            return;
        }
        let item = self.work_item(work as usize);
        let actions = self.policies[host].accept_forwarded(self.now, item);
        self.apply_actions(host, actions);
    }

    fn tick(&mut self, host: usize) {
        if !self.live[host] {
            return;
        }
        self.events
            .push(self.now + TICK_INTERVAL, ReplayEvent::Tick(host));
        if self.policies[host].wants_digest() {
            self.broadcast_digest(host);
        }
        let actions = self.policies[host].tick(self.now);
        self.apply_actions(host, actions);
    }

    fn deliver_request(&mut self, target: usize, work: WorkId) {
        if self.records[work as usize].outcome.is_some() {
            return;
        }
        let arrival = &self.trace.arrivals[work as usize];
        match &mut self.models[target] {
            TargetModel::Engine(engine) => {
                engine.push(EngineSequence::new(
                    work,
                    arrival.prompt_tokens,
                    arrival.output_tokens,
                    arrival.prefix,
                    arrival.prefix_tokens,
                ));
                self.start_step(target);
            }
            TargetModel::Service(service) => {
                service.push(work);
                self.start_calls(target);
            }
        }
    }

    fn start_step(&mut self, target: usize) {
        let mut events = Vec::new();
        if let TargetModel::Engine(engine) = &mut self.models[target]
            && let Some(time) = engine.start_step(&mut events)
        {
            self.events
                .push(self.now + time, ReplayEvent::StepEnd(target));
        }
        self.handle_engine_events(target, events);
    }

    fn end_step(&mut self, target: usize) {
        let mut events = Vec::new();
        if let TargetModel::Engine(engine) = &mut self.models[target] {
            engine.end_step(&mut events);
        }
        self.handle_engine_events(target, events);
        self.start_step(target);
    }

    fn handle_engine_events(&mut self, target: usize, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::Admitted(work) => {
                    let host = self.records[work as usize].host;
                    self.policies[host].record_start(self.now, work);
                }
                EngineEvent::Prefilled {
                    work,
                    prefix,
                    prefix_tokens,
                } => {
                    let repeated = self.prefilled_prefixes.insert(prefix, ()).is_some();
                    if repeated {
                        self.records[work as usize].repeated = prefix_tokens;
                    }
                }
                EngineEvent::Generated(work, tokens) => self.record_token(work, tokens),
                EngineEvent::Done(work) => self.finish(target, work),
            }
        }
    }

    fn record_token(&mut self, work: WorkId, tokens: u32) {
        let at = Duration::from_micros(self.trace.arrivals[work as usize].at_us);
        let elapsed = self.now + self.network_delay() - at;
        let record = &mut self.records[work as usize];
        record.first_token.get_or_insert(elapsed);
        let host = record.host;
        self.policies[host].record_progress(self.now, work, tokens);
    }

    fn finish(&mut self, target: usize, work: WorkId) {
        self.remove_from_target(target, work);
        let host = self.records[work as usize].host;
        self.end_request(work, RecordOutcome::Useful);
        let actions = self.policies[host].record_end(self.now, work, WorkOutcome::Finished);
        self.apply_actions(host, actions);
    }

    pub(super) fn remove_from_target(&mut self, target: usize, work: WorkId) {
        match &mut self.models[target] {
            TargetModel::Engine(engine) => {
                if let Some(sequence) = engine.cancel(work) {
                    self.records[work as usize].computed = sequence.computed();
                }
            }
            TargetModel::Service(service) => service.remove(work),
        }
    }

    fn start_calls(&mut self, target: usize) {
        let TargetModel::Service(service) = &mut self.models[target] else {
            return;
        };
        let started_calls = service.start_calls();
        for (work, time) in started_calls {
            self.events
                .push(self.now + time, ReplayEvent::CallEnd(target, work));
            let host = self.records[work as usize].host;
            self.policies[host].record_start(self.now, work);
        }
    }

    fn end_call(&mut self, target: usize, work: WorkId) {
        if self.records[work as usize].outcome.is_none() {
            self.record_token(work, 1);
            self.finish(target, work);
        }
        self.start_calls(target);
    }

    fn expire(&mut self, work: WorkId) {
        let record = &self.records[work as usize];
        if record.outcome.is_some() {
            return;
        }
        let host = record.host;
        let actions = match record.target {
            Some(target) => {
                self.end_request(work, RecordOutcome::Late);
                self.remove_from_target(target, work);
                self.start_calls(target);
                self.policies[host].record_end(self.now, work, WorkOutcome::Cancelled)
            }
            None => {
                self.end_request(work, RecordOutcome::Refused);
                self.policies[host].withdraw(self.now, work)
            }
        };
        self.apply_actions(host, actions);
    }

    pub(super) fn end_request(&mut self, work: WorkId, outcome: RecordOutcome) {
        let at = Duration::from_micros(self.trace.arrivals[work as usize].at_us);
        let record = &mut self.records[work as usize];
        if record.outcome.is_some() {
            return;
        }
        record.outcome = Some(outcome);
        record.time_to_end = self.now.saturating_sub(at);
        self.open_requests -= 1;
    }
}
