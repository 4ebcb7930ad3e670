//! The first version of the policy, kept as a baseline.

use std::time::Duration;

use crate::errors::ErrorKind;
use crate::fleet::TargetState;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

use crate::policy::PolicyAction;
use crate::policy::PolicySettings;
use crate::policy::TargetFacts;
use crate::policy::WorkId;
use crate::policy::WorkItem;
use crate::policy::WorkOutcome;
use crate::policy::base_share;

/// The pace that is assumed of an engine before any work ran there.
const FIRST_PACE: Duration = Duration::from_millis(30);
/// How much faster an engine reads its prompt than it writes its answer.
const PREFILL_SPEEDUP: u32 = 100;
/// The share of a new sample in the learned pace.
const PACE_GAIN: f64 = 0.2;
/// The advice to a refused caller before any work has ended.
const FIRST_RETRY: Duration = Duration::from_secs(1);

/// The first version of the policy: strict tiers, FIFO inside, fixed shares.
#[derive(Debug)]
pub(super) struct FirstPolicy {
    host: HostName,
    limits: PolicySettings,
    hosts: Vec<HostName>,
    targets: SortedMap<TargetName, TargetView>,
    waiting: Vec<WorkItem>,
    running: SortedMap<WorkId, RunningWork>,
}

#[derive(Debug)]
struct TargetView {
    facts: TargetFacts,
    running: u32,
    pace: Duration,
}

#[derive(Debug)]
struct RunningWork {
    item: WorkItem,
    target: TargetName,
    seen: Option<(Duration, u32)>,
}

impl FirstPolicy {
    /// Makes the policy of `host`, which knows no target yet.
    pub(super) fn new(host: HostName, limits: PolicySettings) -> Self {
        Self {
            hosts: vec![host.clone()],
            host,
            limits,
            targets: SortedMap::new(),
            waiting: Vec::new(),
            running: SortedMap::new(),
        }
    }

    /// Takes up the targets as the configuration and the lists now have them.
    pub(super) fn set_targets(&mut self, _now: Duration, facts: Vec<TargetFacts>) {
        let mut targets = SortedMap::new();
        for fact in facts {
            let known = self.targets.remove(&fact.name);
            let pace = known.as_ref().map_or(FIRST_PACE, |view| view.pace);
            let running = known.map_or(0, |view| view.running);
            let view = TargetView {
                facts: fact,
                running,
                pace,
            };
            targets.insert(view.facts.name.clone(), view);
        }
        self.targets = targets;
    }

    /// Takes up the cell's seats, this host among them.
    pub(super) fn set_hosts(&mut self, _now: Duration, mut hosts: Vec<HostName>) {
        hosts.sort();
        hosts.dedup();
        self.hosts = hosts;
    }

    /// Decides about new work.
    pub(super) fn arrive(&mut self, now: Duration, item: WorkItem) -> Vec<PolicyAction> {
        let least = item
            .allowed
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|view| view.facts.state == TargetState::Live)
            .map(|view| view.cost(&item))
            .min();
        let Some(least) = least else {
            return vec![refuse(item.work, ErrorKind::NoTarget)];
        };
        let full = self.waiting.len() >= self.limits.max_waiting as usize;
        if full || now + least > item.deadline {
            return vec![refuse(item.work, ErrorKind::Overloaded)];
        }
        let place = self
            .waiting
            .partition_point(|other| other.tier <= item.tier);
        self.waiting.insert(place, item);
        self.decide(now)
    }

    /// Notes that the target took the work up.
    pub(super) fn started(&mut self, now: Duration, work: WorkId) {
        if let Some(running) = self.running.get_mut(&work) {
            running.seen = Some((now, 0));
        }
    }

    /// Notes how many tokens of the answer have come.
    pub(super) fn progressed(&mut self, now: Duration, work: WorkId, tokens_so_far: u32) {
        let Some(running) = self.running.get_mut(&work) else {
            return;
        };
        let seen = running.seen.replace((now, tokens_so_far));
        let Some((since, before)) = seen else {
            return;
        };
        if before == 0 || tokens_so_far <= before {
            return;
        }
        let sample = now.saturating_sub(since) / (tokens_so_far - before);
        if let Some(view) = self.targets.get_mut(&running.target) {
            let pace = view.pace.as_secs_f64();
            let pace = pace + PACE_GAIN * (sample.as_secs_f64() - pace);
            view.pace = Duration::from_secs_f64(pace);
        }
    }

    /// Notes the end of dispatched work and decides what takes its slot.
    pub(super) fn ended(
        &mut self,
        now: Duration,
        work: WorkId,
        end: WorkOutcome,
    ) -> Vec<PolicyAction> {
        let Some(ended) = self.running.remove(&work) else {
            return Vec::new();
        };
        if let Some(view) = self.targets.get_mut(&ended.target) {
            view.running = view.running.saturating_sub(1);
        }
        if end == WorkOutcome::NotSent {
            return self.arrive(now, ended.item);
        }
        self.decide(now)
    }

    /// Forgets work whose caller left while it waited.
    pub(super) fn withdraw(&mut self, now: Duration, work: WorkId) -> Vec<PolicyAction> {
        self.waiting.retain(|item| item.work != work);
        self.decide(now)
    }

    /// Decides what the passing of time asks for; called each 20 ms.
    pub(super) fn tick(&mut self, now: Duration) -> Vec<PolicyAction> {
        self.decide(now)
    }

    /// Dispatches what has a slot and refuses what has become hopeless.
    fn decide(&mut self, now: Duration) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            let item = &self.waiting[index];
            if now >= item.deadline {
                let item = self.waiting.remove(index);
                actions.push(refuse(item.work, ErrorKind::DeadlinePassed));
                continue;
            }
            let Some(target) = self.free_target(item) else {
                index += 1;
                continue;
            };
            let item = self.waiting.remove(index);
            actions.push(self.dispatch(item, target));
        }
        actions
    }

    fn dispatch(&mut self, item: WorkItem, target: TargetName) -> PolicyAction {
        if let Some(view) = self.targets.get_mut(&target) {
            view.running += 1;
        }
        let work = item.work;
        let running = RunningWork {
            item,
            target: target.clone(),
            seen: None,
        };
        self.running.insert(work, running);
        PolicyAction::Dispatch { work, target }
    }

    fn free_target(&self, item: &WorkItem) -> Option<TargetName> {
        item.allowed
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|view| view.facts.state == TargetState::Live)
            .filter(|view| view.running < self.share(view))
            .min_by_key(|view| view.cost(item))
            .map(|view| view.facts.name.clone())
    }

    fn share(&self, view: &TargetView) -> u32 {
        base_share(&view.facts.name, view.facts.slots, &self.hosts, &self.host)
    }
}

impl TargetView {
    /// Returns the expected time of the work here, once it runs.
    fn cost(&self, item: &WorkItem) -> Duration {
        self.pace * item.output_tokens + self.pace * item.prompt_tokens / PREFILL_SPEEDUP
    }
}

fn refuse(work: WorkId, kind: ErrorKind) -> PolicyAction {
    PolicyAction::Refuse {
        work,
        kind,
        retry_after: FIRST_RETRY,
    }
}
