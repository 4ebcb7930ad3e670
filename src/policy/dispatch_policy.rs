//! The dispatch policy of one host: its waiting and running work, and the decisions about it.

use std::time::Duration;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

use super::HostDigest;
use super::LoadReport;
use super::PolicyAction;
use super::PolicySettings;
use super::TargetFacts;
use super::WastedTokens;
use super::WorkId;
use super::WorkItem;
use super::WorkOutcome;
use super::fair_queue::FairQueue;
use super::peer_capacity::PeerCapacity;
use super::pool_state::PoolState;
use super::slot_ledger::SlotLedger;
use super::target_view::TargetView;

/// The least time between two samples of one request's token rate: a slow network or a large
/// read delivers the tokens of some milliseconds together.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// How many prefixes a host tracks to count repeated prefills.
const MAX_TRACKED_PREFIXES: usize = 512;

/// The dispatch policy of one host: its waiting and running work, and the decisions about it.
#[derive(Debug)]
pub struct DispatchPolicy {
    pub(super) settings: PolicySettings,
    pub(super) ledger: SlotLedger,
    pub(super) targets: SortedMap<TargetName, TargetView>,
    pub(super) queue: FairQueue,
    pub(super) running: SortedMap<WorkId, RunningWork>,
    pub(super) engines: PoolState,
    pub(super) services: PoolState,
    pub(super) peers: PeerCapacity,
    pub(super) waste: WastedTokens,
    /// The target that each prefix was last sent to.
    pub(super) sent_prefixes: SortedMap<u64, TargetName>,
    sequence: u64,
}

/// Work that was dispatched and has not ended.
#[derive(Debug)]
pub(super) struct RunningWork {
    pub(super) item: WorkItem,
    pub(super) target: TargetName,
    /// The expected seconds, used to estimate the wait of other work.
    pub(super) cost: f64,
    pub(super) sent_at: Duration,
    /// Whether the prefix was most likely in the target's cache.
    pub(super) cached: bool,
    /// Time of the last progress.
    pub(super) progressed_at: Duration,
    /// Answer tokens so far.
    pub(super) tokens: u32,
}

impl DispatchPolicy {
    /// Creates the policy of `host` without targets and hosts. It dispatches nothing before
    /// [`DispatchPolicy::set_hosts`].
    pub fn new(host: HostName, settings: PolicySettings) -> Self {
        Self {
            ledger: SlotLedger::new(host, settings.incarnation),
            settings,
            targets: SortedMap::new(),
            queue: FairQueue::default(),
            running: SortedMap::new(),
            engines: PoolState::new(),
            services: PoolState::new(),
            peers: PeerCapacity::default(),
            waste: WastedTokens::default(),
            sent_prefixes: SortedMap::new(),
            sequence: 0,
        }
    }

    /// Sets the maximum number of waiting requests. Requests that already wait are kept.
    pub fn set_max_waiting(&mut self, max_waiting: u32) {
        self.settings.max_waiting = max_waiting;
    }

    /// Replaces the targets by those in the configuration and the platform's lists.
    pub fn set_targets(&mut self, _now: Duration, facts: Vec<TargetFacts>) {
        let mut targets = SortedMap::new();
        for fact in facts {
            let view = match self.targets.remove(&fact.name) {
                Some(mut view) => {
                    view.facts = fact;
                    view
                }
                None => {
                    let mut view = TargetView::new(fact);
                    view.running = self.count_running(&view.facts.name);
                    view
                }
            };
            targets.insert(view.facts.name.clone(), view);
        }
        self.targets = targets;
        let slots: Vec<(TargetName, u32)> = self
            .targets
            .iter()
            .map(|(name, view)| (name.clone(), view.facts.slots))
            .collect();
        self.ledger.set_targets(&slots);
        self.refresh_shares();
        self.choose_express();
    }

    /// Replaces the hosts of the cell, this one included.
    pub fn set_hosts(&mut self, _now: Duration, mut hosts: Vec<HostName>) {
        hosts.sort();
        hosts.dedup();
        self.peers.retain(&hosts);
        self.ledger.set_hosts(hosts);
        self.refresh_shares();
    }

    /// Decides about new work.
    pub fn arrive(&mut self, now: Duration, item: WorkItem) -> Vec<PolicyAction> {
        self.admit(now, item, true)
    }

    /// Decides about work that a peer forwarded. It is not forwarded again.
    pub fn accept_forwarded(&mut self, now: Duration, item: WorkItem) -> Vec<PolicyAction> {
        self.admit(now, item, false)
    }

    /// Records that the target started the work.
    pub fn record_start(&mut self, now: Duration, work: WorkId) {
        if let Some(running) = self.running.get_mut(&work) {
            running.progressed_at = now;
        }
    }

    /// Records how many tokens of the answer have arrived.
    pub fn record_progress(&mut self, now: Duration, work: WorkId, tokens_so_far: u32) {
        let Some(running) = self.running.get_mut(&work) else {
            return;
        };
        if tokens_so_far <= running.tokens {
            return;
        }
        let interval = now.saturating_sub(running.progressed_at);
        let elapsed = interval.as_secs_f64();
        let previous = running.tokens;
        // Tokens that arrive together have gaps of microseconds. If these counted as the
        // engine's best time per token, the engine would look slow permanently.
        if previous > 0 && interval < MIN_SAMPLE_INTERVAL {
            return;
        }
        running.progressed_at = now;
        running.tokens = tokens_so_far;
        let Some(view) = self.targets.get_mut(&running.target) else {
            return;
        };
        if !view.is_engine() {
            return;
        }
        if previous > 0 {
            let seconds = elapsed / f64::from(tokens_so_far - previous);
            view.pace.sample_token(now, seconds);
            return;
        }
        view.record_prefill_end(running.item.prompt_tokens);
        if !running.cached {
            view.pace
                .sample_prefill(elapsed, running.item.prompt_tokens);
        }
    }

    /// Records the end of dispatched work and decides what takes its slot.
    pub fn record_end(
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
            if ended.tokens == 0 || !view.is_engine() {
                view.record_prefill_end(ended.item.prompt_tokens);
            }
            if !view.is_engine() && end == WorkOutcome::Finished {
                let seconds = now.saturating_sub(ended.sent_at).as_secs_f64();
                view.pace.sample_token(now, seconds);
            }
        }
        self.waste.record_end(end, ended.item.prompt_tokens);
        if end == WorkOutcome::NotSent {
            self.requeue(now, ended.item, ended.target);
        }
        self.decide(now)
    }

    /// Removes waiting work whose caller left.
    pub fn withdraw(&mut self, now: Duration, work: WorkId) -> Vec<PolicyAction> {
        self.queue.remove(work);
        self.decide(now)
    }

    /// Applies a target's load report, which may be outdated.
    pub fn apply_report(&mut self, _now: Duration, target: &TargetName, report: LoadReport) {
        if let Some(view) = self.targets.get_mut(target) {
            view.apply_report(report);
        }
    }

    /// Applies a peer's digest. Digests may be late, and some may be lost.
    pub fn apply_peer_digest(&mut self, now: Duration, host: &HostName, digest: HostDigest) {
        if !self.ledger.apply_digest(host, &digest) {
            return;
        }
        self.engines.shed.update(now, host, digest.engine_level);
        self.services.shed.update(now, host, digest.service_level);
        self.peers.update(now, host, &digest);
        for demand in &digest.targets {
            if let Some(view) = self.targets.get_mut(&demand.target) {
                view.pace.adopt(now, demand.pace_us, demand.best_us);
            }
        }
        self.refresh_shares();
    }

    /// Returns whether the peers should get a digest before the next regular one, because the
    /// division of slots waits for it.
    pub fn wants_digest(&self) -> bool {
        // Without targets there are no slots to divide, and the condition would never end.
        self.ledger.has_changed() && !self.targets.is_empty()
    }

    /// Returns the lowest tiers that this host's own load admits to engines and to services.
    /// Peers should learn of a change before the next regular digest.
    pub fn shed_levels(&self, now: Duration) -> (TierRank, TierRank) {
        (self.engines.shed.own(now), self.services.shed.own(now))
    }

    /// Lends free slots to peers that need them more, and returns the digest, which must be sent
    /// to all peers.
    pub fn digest(&mut self, now: Duration) -> HostDigest {
        self.sequence += 1;
        let mut targets = Vec::new();
        let names: Vec<TargetName> = self.targets.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            let wanted = self.wanted(&name);
            let Some(view) = self.targets.get(&name) else {
                continue;
            };
            let mut demand = self.ledger.lend_free_slots(&name, view.running, wanted);
            (demand.pace_us, demand.best_us) = view.pace.gossiped();
            targets.push(demand);
        }
        self.refresh_shares();
        HostDigest {
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            generation: self.ledger.generation(),
            engine_level: self.engines.shed.own(now),
            service_level: self.services.shed.own(now),
            waits: self.tier_waits(),
            targets,
        }
    }

    /// Makes the decisions that depend on the passing of time; called every 20 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<PolicyAction> {
        self.observe(now);
        self.choose_express();
        let mut actions = self.refuse_unattainable(now);
        actions.extend(self.decide(now));
        actions
    }

    /// Hands over or refuses all waiting work, because the host is leaving.
    pub fn drain(&mut self, now: Duration) -> Vec<PolicyAction> {
        let works = self.queue.drain();
        works
            .into_iter()
            .map(|work| self.forward_or_leave(now, &work.item))
            .collect()
    }

    /// Returns the amount of waiting work by tier.
    pub fn waiting(&self) -> SortedMap<TierRank, u32> {
        count_tiers(self.queue.works().iter().map(|work| &work.item))
    }

    /// Returns the amount of running work by tier.
    pub fn running(&self) -> SortedMap<TierRank, u32> {
        count_tiers(self.running.values().map(|running| &running.item))
    }

    /// Returns how many slots of a target this host may fill.
    pub fn held_slots(&self, target: &str) -> u32 {
        self.ledger.held(target)
    }

    /// Returns the prompt tokens whose prefill was wasted.
    pub const fn waste(&self) -> WastedTokens {
        self.waste
    }

    /// Records the target of a prefix, and counts the prompt as repeated if the prefix was last
    /// sent to another target. Returns whether it was last sent to the same one.
    pub(super) fn record_prefix(&mut self, item: &WorkItem, target: &TargetName) -> bool {
        let previous = self.sent_prefixes.insert(item.prefix, target.clone());
        if self.sent_prefixes.len() > MAX_TRACKED_PREFIXES {
            // Prefixes are hashes, so evicting the lowest is a random eviction.
            let lowest = self.sent_prefixes.iter().next().map(|(prefix, _)| *prefix);
            if let Some(lowest) = lowest {
                self.sent_prefixes.remove(&lowest);
            }
        }
        let cached = previous.as_ref() == Some(target);
        if previous.is_some() && !cached {
            self.waste.record_repeat(item.prompt_tokens);
        }
        cached
    }

    fn count_running(&self, target: &TargetName) -> u32 {
        let running = self.running.values().filter(|work| work.target == *target);
        running.count() as u32
    }

    fn refresh_shares(&mut self) {
        for (name, view) in self.targets.iter_mut() {
            view.share = self.ledger.held(name);
        }
    }
}

fn count_tiers<'a>(items: impl Iterator<Item = &'a WorkItem>) -> SortedMap<TierRank, u32> {
    let mut counts = SortedMap::new();
    for item in items {
        *counts.get_or_insert_with(item.tier, || 0) += 1;
    }
    counts
}
