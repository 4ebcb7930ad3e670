//! One policy played over one trace, in virtual time.

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
use super::work_record::RecordEnd;
use super::work_record::WorkRecord;

/// How often a policy's clock ticks.
pub(super) const TICK: Duration = Duration::from_millis(20);

/// What happens next.
#[derive(Debug)]
pub(super) enum ReplayEvent {
    Arrival(usize),
    Tick(usize),
    StepEnd(usize),
    CallEnd(usize, WorkId),
    Reached(usize, WorkId),
    SendDigest(usize),
    Digest {
        from: usize,
        to: usize,
        digest: Arc<HostDigest>,
    },
    TakeReports,
    Reports(Arc<Vec<LoadReport>>),
    HandedOver(usize, WorkId),
    Deadline(WorkId),
    FaultBegins(usize),
    FaultEnds(usize),
    ListChanges,
}

/// A target's model.
#[derive(Debug)]
pub(super) enum TargetModel {
    Engine(EngineModel),
    Service(ServiceModel),
}

/// One policy played over one trace.
pub(super) struct ReplayRun<'a> {
    pub(super) trace: &'a ReplayTrace,
    pub(super) now: Duration,
    pub(super) events: EventQueue<ReplayEvent>,
    pub(super) policies: Vec<ReplayPolicy>,
    /// Which hosts live, in the order of the header.
    pub(super) live: Vec<bool>,
    /// Which side of a partition each host is on.
    pub(super) side: Vec<u8>,
    pub(super) models: Vec<TargetModel>,
    pub(super) allowed: SortedMap<String, Arc<Vec<TargetName>>>,
    pub(super) places: SortedMap<TargetName, usize>,
    pub(super) records: Vec<WorkRecord>,
    pub(super) open: usize,
    /// Prefixes that some engine has read.
    pub(super) seen_prefixes: SortedMap<u64, ()>,
}

/// Plays a policy over a trace and returns what became of each request.
pub(super) fn play(trace: &ReplayTrace, kind: PolicyKind, seed: u64) -> Vec<WorkRecord> {
    let mut run = ReplayRun::new(trace, kind, seed);
    while run.open > 0 {
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
            side: vec![0; header.hosts.len()],
            models: Vec::new(),
            allowed: SortedMap::new(),
            places: SortedMap::new(),
            records: vec![WorkRecord::default(); trace.arrivals.len()],
            open: trace.arrivals.len(),
            seen_prefixes: SortedMap::new(),
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
            ReplayEvent::Reached(target, work) => self.reach(target, work),
            ReplayEvent::SendDigest(host) => self.send_digest(host),
            ReplayEvent::Digest { from, to, digest } => self.take_digest(from, to, &digest),
            ReplayEvent::TakeReports => self.take_reports(),
            ReplayEvent::Reports(reports) => self.deliver_reports(&reports),
            ReplayEvent::HandedOver(host, work) => self.take_over(host, work),
            ReplayEvent::Deadline(work) => self.expire(work),
            ReplayEvent::FaultBegins(index) => self.begin_fault(index),
            ReplayEvent::FaultEnds(index) => self.end_fault(index),
            ReplayEvent::ListChanges => self.change_list(),
        }
    }

    pub(super) fn network(&self) -> Duration {
        Duration::from_millis(self.trace.header.network_ms)
    }

    /// The balancer sends work for a lost host to the next live one.
    fn arrive(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        let hosts = &self.trace.header.hosts;
        let first = hosts.iter().position(|h| *h == arrival.host).unwrap_or(0);
        // The work's number spreads a lost host's callers over the live ones.
        let others = (0..hosts.len()).map(|step| (first + index + step) % hosts.len());
        let host = if self.live[first] {
            Some(first)
        } else {
            others.into_iter().find(|host| self.live[*host])
        };
        let Some(host) = host else {
            self.close(index as WorkId, RecordEnd::Lost);
            return;
        };
        self.records[index].host = host;
        let item = self.item(index);
        let actions = self.policies[host].arrive(self.now, item);
        self.act(host, actions);
    }

    fn item(&self, index: usize) -> WorkItem {
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

    fn act(&mut self, host: usize, actions: Vec<PolicyAction>) {
        for action in actions {
            match action {
                PolicyAction::Dispatch { work, target } => {
                    let place = self.places.get(&target).copied().unwrap_or(0);
                    self.records[work as usize].target = Some(place);
                    let at = self.now + self.network();
                    self.events.push(at, ReplayEvent::Reached(place, work));
                }
                PolicyAction::Refuse { work, .. } => self.close(work, RecordEnd::Refused),
                PolicyAction::HandOver { work, host: peer } => self.hand_over(host, work, &peer),
            }
        }
    }

    fn hand_over(&mut self, from: usize, work: WorkId, peer: &HostName) {
        let hosts = &self.trace.header.hosts;
        let to = hosts.iter().position(|host| host == peer).unwrap_or(from);
        let reached = self.live[to] && self.side[from] == self.side[to];
        let host = if reached { to } else { from };
        let record = &mut self.records[work as usize];
        record.hand_overs += 1;
        record.host = host;
        let at = self.now + self.network();
        self.events.push(at, ReplayEvent::HandedOver(host, work));
    }

    fn take_over(&mut self, host: usize, work: WorkId) {
        if !self.live[host] {
            self.close(work, RecordEnd::Lost);
            return;
        }
        if self.records[work as usize].end.is_some() {
            return;
        }
        let item = self.item(work as usize);
        let actions = self.policies[host].take_over(self.now, item);
        self.act(host, actions);
    }

    fn tick(&mut self, host: usize) {
        if !self.live[host] {
            return;
        }
        self.events.push(self.now + TICK, ReplayEvent::Tick(host));
        if self.policies[host].wants_digest() {
            self.spread_digest(host);
        }
        let actions = self.policies[host].tick(self.now);
        self.act(host, actions);
    }

    fn reach(&mut self, target: usize, work: WorkId) {
        if self.records[work as usize].end.is_some() {
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
                self.begin_step(target);
            }
            TargetModel::Service(service) => {
                service.push(work);
                self.begin_calls(target);
            }
        }
    }

    fn begin_step(&mut self, target: usize) {
        let mut events = Vec::new();
        if let TargetModel::Engine(engine) = &mut self.models[target]
            && let Some(time) = engine.begin_step(&mut events)
        {
            self.events
                .push(self.now + time, ReplayEvent::StepEnd(target));
        }
        self.hear(target, events);
    }

    fn end_step(&mut self, target: usize) {
        let mut events = Vec::new();
        if let TargetModel::Engine(engine) = &mut self.models[target] {
            engine.end_step(&mut events);
        }
        self.hear(target, events);
        self.begin_step(target);
    }

    fn hear(&mut self, target: usize, events: Vec<EngineEvent>) {
        for event in events {
            match event {
                EngineEvent::Admitted(work) => {
                    let host = self.records[work as usize].host;
                    self.policies[host].started(self.now, work);
                }
                EngineEvent::Read {
                    work,
                    prefix,
                    prefix_tokens,
                } => {
                    let seen = self.seen_prefixes.insert(prefix, ()).is_some();
                    if seen {
                        self.records[work as usize].repeated = prefix_tokens;
                    }
                }
                EngineEvent::Written(work, tokens) => self.hear_token(work, tokens),
                EngineEvent::Done(work) => self.finish(target, work),
            }
        }
    }

    fn hear_token(&mut self, work: WorkId, tokens: u32) {
        let at = Duration::from_micros(self.trace.arrivals[work as usize].at_us);
        let taken = self.now + self.network() - at;
        let record = &mut self.records[work as usize];
        record.first_token.get_or_insert(taken);
        let host = record.host;
        self.policies[host].progressed(self.now, work, tokens);
    }

    fn finish(&mut self, target: usize, work: WorkId) {
        self.remove(target, work);
        let host = self.records[work as usize].host;
        self.close(work, RecordEnd::Useful);
        let actions = self.policies[host].ended(self.now, work, WorkOutcome::Finished);
        self.act(host, actions);
    }

    pub(super) fn remove(&mut self, target: usize, work: WorkId) {
        match &mut self.models[target] {
            TargetModel::Engine(engine) => {
                if let Some(sequence) = engine.cancel(work) {
                    self.records[work as usize].computed = sequence.computed();
                }
            }
            TargetModel::Service(service) => service.remove(work),
        }
    }

    fn begin_calls(&mut self, target: usize) {
        let TargetModel::Service(service) = &mut self.models[target] else {
            return;
        };
        let begun = service.begin_calls();
        for (work, time) in begun {
            self.events
                .push(self.now + time, ReplayEvent::CallEnd(target, work));
            let host = self.records[work as usize].host;
            self.policies[host].started(self.now, work);
        }
    }

    fn end_call(&mut self, target: usize, work: WorkId) {
        if self.records[work as usize].end.is_none() {
            self.hear_token(work, 1);
            self.finish(target, work);
        }
        self.begin_calls(target);
    }

    fn expire(&mut self, work: WorkId) {
        let record = &self.records[work as usize];
        if record.end.is_some() {
            return;
        }
        let host = record.host;
        let actions = match record.target {
            Some(target) => {
                self.close(work, RecordEnd::Late);
                self.remove(target, work);
                self.begin_calls(target);
                self.policies[host].ended(self.now, work, WorkOutcome::Cancelled)
            }
            None => {
                self.close(work, RecordEnd::Refused);
                self.policies[host].withdraw(self.now, work)
            }
        };
        self.act(host, actions);
    }

    pub(super) fn close(&mut self, work: WorkId, end: RecordEnd) {
        let at = Duration::from_micros(self.trace.arrivals[work as usize].at_us);
        let record = &mut self.records[work as usize];
        if record.end.is_some() {
            return;
        }
        record.end = Some(end);
        record.taken = self.now.saturating_sub(at);
        self.open -= 1;
    }
}
