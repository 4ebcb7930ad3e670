//! Assignment of free slots to waiting work.
//!
//! Engines differ in speed, may slow down, and a long prompt delays the short ones batched with
//! it. Placement by free slots alone would give long work the fastest engine's last slot, and
//! put urgent short work on an engine that prefills a long prompt.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::errors::ErrorKind;
use crate::fleet::TargetKind;
use crate::ids::TargetName;
use crate::ids::TierRank;

use super::DispatchPolicy;
use super::PolicyAction;
use super::WorkItem;
use super::admission::HOMES_PER_PREFIX;
use super::dispatch_policy::RunningWork;
use super::fair_queue::WaitingWork;
use super::pool_state::PoolState;
use super::pool_state::WorkBand;
use super::target_view::TargetView;

/// Work expected to end within this many seconds is brief.
const BRIEF_SECONDS: f64 = 2.5;
/// Work expected to end within this many seconds is short.
const SHORT_SECONDS: f64 = 15.0;
/// Work does not take a target that needs more than this multiple of the best one's time.
/// Hardware generations differ by less than 4.
const MAX_SLOWDOWN: f64 = 4.0;
/// Work waits for its home targets for this fraction of its expected time.
const HOME_WAIT_FRACTION: f64 = 0.05;
/// The longest time that work waits for its home targets.
const MAX_HOME_WAIT_SECONDS: f64 = 3.0;
/// Work below the top tier must meet its deadline even if it takes this many times longer than
/// expected: work that is cancelled at its deadline has wasted a slot.
const LENGTH_MARGIN: f64 = 1.25;
/// For this fraction of the time that it can wait, work without a free slot at its home targets
/// yields to work that has one. No slot is left idle: a target that is not a home of any waiting
/// work takes any work.
const HOME_SLACK_FRACTION: f64 = 0.5;
/// The interval between probes of a slow target that runs no work of this host.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Long work probes a slow target that gave no sample for this long.
const LONG_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// With more free targets than this, two are drawn at random and the better one is taken:
/// hosts that decide at the same time from the same data must not all take one target.
const MAX_COMPARED_TARGETS: usize = 16;

impl DispatchPolicy {
    /// Dispatches waiting work while there are free slots for it.
    pub(super) fn decide(&mut self, now: Duration) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        if self.queue.works().is_empty() {
            return actions;
        }
        self.count_pools();
        for tier in self.queue.tiers() {
            while self.has_free_slot(tier) {
                let Some(action) = self.dispatch_one(now, tier) else {
                    break;
                };
                actions.push(action);
            }
        }
        actions
    }

    /// Returns whether any work of a tier could get a slot. This avoids searching a full fleet
    /// for each waiting request.
    fn has_free_slot(&self, tier: TierRank) -> bool {
        let mut pools = [&self.engines, &self.services].into_iter();
        pools.any(|pool| pool.free > pool.reserved_slots(tier, WorkBand::Brief))
    }

    /// Refuses waiting work that can no longer meet its deadline at any target.
    pub(super) fn refuse_unattainable(&mut self, now: Duration) -> Vec<PolicyAction> {
        let unattainable: Vec<u64> = self
            .queue
            .works()
            .iter()
            .filter(|work| !self.meets_deadline(now, 0.0, &work.item))
            .map(|work| work.item.work)
            .collect();
        let mut actions = Vec::new();
        for work in unattainable {
            if let Some(work) = self.queue.remove(work) {
                let kind = if now >= work.item.deadline {
                    ErrorKind::DeadlinePassed
                } else {
                    ErrorKind::Overloaded
                };
                let pool = self.pool_mut(work.kind);
                pool.shed.record_refusal(now, work.item.tier);
                actions.push(self.refuse(&work.item, kind));
            }
        }
        actions
    }

    fn dispatch_one(&mut self, now: Duration, tier: TierRank) -> Option<PolicyAction> {
        let order = self.queue.order(now, tier);
        let works = self.queue.works();
        // Work with a free slot at a home target goes before work that would take any target;
        // in a long queue there is nearly always some.
        let fits = |homes: usize| {
            order.iter().find_map(|index| {
                let target = self.find_target(now, &works[*index], homes)?;
                Some((*index, target))
            })
        };
        let home_counts = [1, HOMES_PER_PREFIX, usize::MAX];
        let (index, target) = home_counts.into_iter().find_map(fits)?;
        let work = self.queue.works()[index].item.work;
        let work = self.queue.remove(work)?;
        Some(self.dispatch(now, work, target))
    }

    fn dispatch(&mut self, now: Duration, work: WaitingWork, target: TargetName) -> PolicyAction {
        self.queue.charge(&work.item, work.cost);
        let cached = self.record_prefix(&work.item, &target);
        if let Some(view) = self.targets.get_mut(&target) {
            view.record_dispatch(now, &work.item);
            if view.pace.is_slow() {
                view.probed_at = Some(now);
            }
        }
        let id = work.item.work;
        let running = RunningWork {
            item: work.item,
            target: target.clone(),
            cost: work.cost,
            sent_at: now,
            cached,
            progressed_at: now,
            tokens: 0,
        };
        self.running.insert(id, running);
        self.count_pools();
        PolicyAction::Dispatch { work: id, target }
    }

    /// Returns the target that the work should take now, if any.
    ///
    /// Only the work's first `homes` home targets count, unless it has waited too long.
    fn find_target(&self, now: Duration, work: &WaitingWork, homes: usize) -> Option<TargetName> {
        let item = &work.item;
        let band = band(work.cost);
        let pool = self.pool(work.kind);
        if pool.free <= pool.reserved_slots(item.tier, band) {
            return None;
        }
        let mut free = self.free_targets(now, work, band);
        if free.is_empty() {
            return None;
        }
        let home_wait = (HOME_WAIT_FRACTION * work.cost).min(MAX_HOME_WAIT_SECONDS);
        let awaits_home = now < work.since + Duration::from_secs_f64(home_wait);
        let slack = item.deadline.saturating_sub(work.since).as_secs_f64() - work.cost;
        let home_priority_seconds = HOME_SLACK_FRACTION * slack.max(0.0);
        let aged = now >= work.since + Duration::from_secs_f64(home_priority_seconds);
        let prefers_home = item.tier > 0 && band != WorkBand::Brief;
        let homes = if awaits_home {
            homes.min(HOMES_PER_PREFIX)
        } else {
            homes
        };
        if prefers_home && !aged && homes <= HOMES_PER_PREFIX {
            let closest = &work.homes[..homes.min(work.homes.len())];
            free.retain(|view| closest.contains(&view.facts.name));
        }
        if free.len() > MAX_COMPARED_TARGETS {
            free = draw_two(item, &free);
        }
        let best = free.into_iter().min_by(|a, b| {
            let express = b.express.cmp(&a.express);
            let home = home_position(work, band, a).cmp(&home_position(work, band, b));
            let seconds = a
                .total_seconds(now, item)
                .total_cmp(&b.total_seconds(now, item));
            express.then(home).then(seconds)
        })?;
        Some(best.facts.name.clone())
    }

    /// Returns the targets with a free slot where the work would meet its deadline.
    fn free_targets(&self, now: Duration, work: &WaitingWork, band: WorkBand) -> Vec<&TargetView> {
        let item = &work.item;
        let left = item.deadline.saturating_sub(now).as_secs_f64();
        let live = self.live_targets(item);
        let is_usual = |view: &&TargetView| {
            let avoided = work.avoid.as_ref() == Some(&view.facts.name);
            let reserved = view.express && band != WorkBand::Brief;
            !avoided && !reserved && !view.pace.is_slow()
        };
        // If only slow, reserved or avoided targets are left, one is taken, so that work does
        // not wait until its deadline although a target is idle. Work that can't meet its
        // deadline even at the speed that the target may regain has been refused before.
        if !live.iter().any(is_usual) {
            return live.into_iter().filter(|view| view.free() > 0).collect();
        }
        let best = self.best_service_seconds(item).unwrap_or(f64::INFINITY);
        live.into_iter()
            .filter(|view| view.free() > 0)
            .filter(|view| work.avoid.as_ref() != Some(&view.facts.name))
            .filter(|view| !view.express || band == WorkBand::Brief)
            .filter(|view| {
                if view.pace.is_slow() {
                    return item.tier > 0 && may_probe(now, view, band);
                }
                let total_seconds = view.total_seconds(now, item);
                total_seconds * length_margin(item) <= left && total_seconds <= MAX_SLOWDOWN * best
            })
            .collect()
    }

    /// Returns the allowed targets that accept new work.
    fn live_targets(&self, item: &WorkItem) -> Vec<&TargetView> {
        item.allowed
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|view| view.is_live())
            .collect()
    }

    /// Returns the least expected service time over the allowed targets, free or not.
    pub(super) fn best_service_seconds(&self, item: &WorkItem) -> Option<f64> {
        self.live_targets(item)
            .into_iter()
            .map(|view| view.service_seconds(item))
            .min_by(f64::total_cmp)
    }

    /// Returns the state of a kind of targets.
    pub(super) const fn pool(&self, kind: TargetKind) -> &PoolState {
        match kind {
            TargetKind::Engine => &self.engines,
            TargetKind::Service => &self.services,
        }
    }

    /// Returns the mutable state of a kind of targets.
    pub(super) const fn pool_mut(&mut self, kind: TargetKind) -> &mut PoolState {
        match kind {
            TargetKind::Engine => &mut self.engines,
            TargetKind::Service => &mut self.services,
        }
    }

    /// Returns the kind of the targets allowed for an item.
    pub(super) fn kind_of(&self, item: &WorkItem) -> TargetKind {
        let allowed = item.allowed.iter();
        let mut views = allowed.filter_map(|name| self.targets.get(name));
        if views.any(TargetView::is_engine) {
            TargetKind::Engine
        } else {
            TargetKind::Service
        }
    }
}

/// Returns the factor on the expected time with which work must still meet its deadline.
pub(super) const fn length_margin(item: &WorkItem) -> f64 {
    if item.tier == 0 { 1.0 } else { LENGTH_MARGIN }
}

/// Classifies the length of work by its expected seconds.
pub(super) fn band(seconds: f64) -> WorkBand {
    if seconds <= BRIEF_SECONDS {
        WorkBand::Brief
    } else if seconds <= SHORT_SECONDS {
        WorkBand::Short
    } else {
        WorkBand::Long
    }
}

/// Returns a target's position among the work's home targets. Top-tier and brief work has no
/// preference and takes the target where it ends soonest.
fn home_position(work: &WaitingWork, band: WorkBand, view: &TargetView) -> usize {
    if work.item.tier == 0 || band == WorkBand::Brief {
        return 0;
    }
    let mut homes = work.homes.iter();
    homes
        .position(|home| *home == view.facts.name)
        .unwrap_or(work.homes.len())
}

/// Returns whether a slow target may be probed with work below the top tier to detect its
/// recovery. No probe is needed while work runs there.
///
/// Long work serves as a probe only if no shorter work has for a while.
fn may_probe(now: Duration, view: &TargetView, band: WorkBand) -> bool {
    let interval_over = view.probed_at.is_none_or(|at| now >= at + PROBE_INTERVAL);
    let suitable = band != WorkBand::Long || view.pace.is_stale(now, LONG_PROBE_INTERVAL);
    view.running == 0 && interval_over && suitable
}

/// Draws two of many targets pseudo-randomly, by a hash of the work's id.
fn draw_two<'a>(item: &WorkItem, free: &[&'a TargetView]) -> Vec<&'a TargetView> {
    let hash = xxh3_64(&item.work.to_le_bytes()) as usize;
    let first = hash % free.len();
    let second = (hash / free.len()) % free.len();
    vec![free[first], free[second]]
}
