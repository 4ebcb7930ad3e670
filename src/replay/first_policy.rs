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

/// The assumed time per token of an engine on which no work has run yet.
const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(30);
/// Prefilling a prompt token is assumed to be faster than generating one by this factor.
const PREFILL_SPEEDUP: u32 = 100;
/// The weight of a new sample in the moving average of the time per token.
const TOKEN_TIME_SMOOTHING: f64 = 0.2;
/// The retry delay given to a refused caller.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The first version of the policy: strict priority of tiers, FIFO within a tier, fixed
/// shares of slots.
#[derive(Debug)]
pub(super) struct FirstPolicy {
    host: HostName,
    settings: PolicySettings,
    hosts: Vec<HostName>,
    targets: SortedMap<TargetName, TargetStatus>,
    waiting: Vec<WorkItem>,
    running: SortedMap<WorkId, RunningWork>,
}

#[derive(Debug)]
struct TargetStatus {
    facts: TargetFacts,
    running: u32,
    token_time: Duration,
}

#[derive(Debug)]
struct RunningWork {
    item: WorkItem,
    target: TargetName,
    last_progress: Option<(Duration, u32)>,
}

impl FirstPolicy {
    /// Creates the policy of `host`, without targets.
    pub(super) fn new(host: HostName, settings: PolicySettings) -> Self {
        Self {
            hosts: vec![host.clone()],
            host,
            settings,
            targets: SortedMap::new(),
            waiting: Vec::new(),
            running: SortedMap::new(),
        }
    }

    /// Replaces the targets by those of the current configuration and target lists.
    pub(super) fn set_targets(&mut self, _now: Duration, facts: Vec<TargetFacts>) {
        let mut targets = SortedMap::new();
        for fact in facts {
            let previous = self.targets.remove(&fact.name);
            let token_time = previous
                .as_ref()
                .map_or(INITIAL_TOKEN_TIME, |status| status.token_time);
            let running = previous.map_or(0, |status| status.running);
            let status = TargetStatus {
                facts: fact,
                running,
                token_time,
            };
            targets.insert(status.facts.name.clone(), status);
        }
        self.targets = targets;
    }

    /// Sets the hosts of the cell, including this one.
    pub(super) fn set_hosts(&mut self, _now: Duration, mut hosts: Vec<HostName>) {
        hosts.sort();
        hosts.dedup();
        self.hosts = hosts;
    }

    /// Queues or refuses new work, and dispatches what has a free slot.
    pub(super) fn arrive(&mut self, now: Duration, item: WorkItem) -> Vec<PolicyAction> {
        let min_cost = item
            .allowed
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|status| status.facts.state == TargetState::Live)
            .map(|status| status.expected_time(&item))
            .min();
        let Some(min_cost) = min_cost else {
            return vec![refuse(item.work, ErrorKind::NoTarget)];
        };
        let queue_full = self.waiting.len() >= self.settings.max_waiting as usize;
        if queue_full || now + min_cost > item.deadline {
            return vec![refuse(item.work, ErrorKind::Overloaded)];
        }
        let position = self
            .waiting
            .partition_point(|other| other.tier <= item.tier);
        self.waiting.insert(position, item);
        self.dispatch_waiting(now)
    }

    /// Records that the target started the work.
    pub(super) fn record_start(&mut self, now: Duration, work: WorkId) {
        if let Some(running) = self.running.get_mut(&work) {
            running.last_progress = Some((now, 0));
        }
    }

    /// Records the number of tokens received so far, and updates the time per token.
    pub(super) fn record_progress(&mut self, now: Duration, work: WorkId, tokens_so_far: u32) {
        let Some(running) = self.running.get_mut(&work) else {
            return;
        };
        let last_progress = running.last_progress.replace((now, tokens_so_far));
        let Some((since, before)) = last_progress else {
            return;
        };
        if before == 0 || tokens_so_far <= before {
            return;
        }
        let sample = now.saturating_sub(since) / (tokens_so_far - before);
        if let Some(status) = self.targets.get_mut(&running.target) {
            let token_time = status.token_time.as_secs_f64();
            let token_time =
                token_time + TOKEN_TIME_SMOOTHING * (sample.as_secs_f64() - token_time);
            status.token_time = Duration::from_secs_f64(token_time);
        }
    }

    /// Records the end of dispatched work, and dispatches waiting work to the free slot.
    pub(super) fn record_end(
        &mut self,
        now: Duration,
        work: WorkId,
        outcome: WorkOutcome,
    ) -> Vec<PolicyAction> {
        let Some(ended) = self.running.remove(&work) else {
            return Vec::new();
        };
        if let Some(status) = self.targets.get_mut(&ended.target) {
            status.running = status.running.saturating_sub(1);
        }
        if outcome == WorkOutcome::NotSent {
            return self.arrive(now, ended.item);
        }
        self.dispatch_waiting(now)
    }

    /// Removes waiting work whose caller disconnected.
    pub(super) fn withdraw(&mut self, now: Duration, work: WorkId) -> Vec<PolicyAction> {
        self.waiting.retain(|item| item.work != work);
        self.dispatch_waiting(now)
    }

    /// Handles expired deadlines and newly free slots; called every 20 ms.
    pub(super) fn tick(&mut self, now: Duration) -> Vec<PolicyAction> {
        self.dispatch_waiting(now)
    }

    /// Dispatches waiting work to free slots and refuses work whose deadline has passed.
    fn dispatch_waiting(&mut self, now: Duration) -> Vec<PolicyAction> {
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
        if let Some(status) = self.targets.get_mut(&target) {
            status.running += 1;
        }
        let work = item.work;
        let running = RunningWork {
            item,
            target: target.clone(),
            last_progress: None,
        };
        self.running.insert(work, running);
        PolicyAction::Dispatch { work, target }
    }

    fn free_target(&self, item: &WorkItem) -> Option<TargetName> {
        item.allowed
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|status| status.facts.state == TargetState::Live)
            .filter(|status| status.running < self.share(status))
            .min_by_key(|status| status.expected_time(item))
            .map(|status| status.facts.name.clone())
    }

    fn share(&self, status: &TargetStatus) -> u32 {
        base_share(
            &status.facts.name,
            status.facts.slots,
            &self.hosts,
            &self.host,
        )
    }
}

impl TargetStatus {
    /// Returns the expected run time of the work on this target.
    fn expected_time(&self, item: &WorkItem) -> Duration {
        self.token_time * item.output_tokens
            + self.token_time * item.prompt_tokens / PREFILL_SPEEDUP
    }
}

fn refuse(work: WorkId, kind: ErrorKind) -> PolicyAction {
    PolicyAction::Refuse {
        work,
        kind,
        retry_after: REFUSAL_RETRY_DELAY,
    }
}
