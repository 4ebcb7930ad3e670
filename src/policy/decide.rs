//! Which waiting work takes which free slot.
//!
//! Load: engines of unlike pace, one that slows down, and long prompts that
//! hold up the short ones batched with them. Placement by free slots alone
//! gives a digest to the fastest engine's last slot and a check to an engine
//! that reads a long prompt.

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
/// Work does not take a target that needs so many times the best one's time;
/// the lots differ by less than 4.
const MAX_SLOWDOWN: f64 = 4.0;
/// Work waits for its homes for this part of its expected time.
const HOME_WAIT_FRACTION: f64 = 0.05;
/// Work waits for its homes no longer than this, in seconds.
const MAX_HOME_WAIT_SECONDS: f64 = 3.0;
/// Lower work must be in time even when its answer is so many times longer than
/// expected: what is cut off at its deadline has taken a slot for nothing.
const LENGTH_MARGIN: f64 = 1.25;
/// Work that is not at home on a free target lets work that is go first for this
/// part of the time that it can wait. Until then no slot stands free for it: a
/// target that is nobody's home takes any work.
const HOME_SLACK_FRACTION: f64 = 0.5;
/// A slow target that runs nothing of this host is tried again after this.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Long work tries a slow target when nothing was learned of it for this long.
const LONG_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// With more free targets than this, two are drawn and the better one is taken:
/// hosts that decide at once by the same figures must not all take one target.
const MAX_COMPARED_TARGETS: usize = 16;

impl DispatchPolicy {
    /// Dispatches what has a slot.
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

    /// Tells whether any work of a tier could get a slot; a full fleet is not
    /// searched for each of the waiting requests.
    fn has_free_slot(&self, tier: TierRank) -> bool {
        let mut pools = [&self.engines, &self.services].into_iter();
        pools.any(|pool| pool.free > pool.reserved_slots(tier, WorkBand::Brief))
    }

    /// Refuses waiting work that no target can finish in time any more.
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
        // Work that fits a free home goes before work that would take any
        // target: with a long queue there is nearly always some.
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
    /// Only so many of the work's closest `homes` count, unless it has waited
    /// too long.
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
        let home_only_seconds = HOME_SLACK_FRACTION * slack.max(0.0);
        let aged = now >= work.since + Duration::from_secs_f64(home_only_seconds);
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

    /// Returns the targets with a free slot where the work would be in time.
    fn free_targets(&self, now: Duration, work: &WaitingWork, band: WorkBand) -> Vec<&TargetView> {
        let item = &work.item;
        let left = item.deadline.saturating_sub(now).as_secs_f64();
        let live = self.live_targets(item);
        let is_usual = |view: &&TargetView| {
            let avoided = work.avoid.as_ref() == Some(&view.facts.name);
            let reserved = view.express && band != WorkBand::Brief;
            !avoided && !reserved && !view.pace.is_slow()
        };
        // Guards against waiting beside an idle target until the deadline: where
        // a slow, kept or avoided target is all that is left, it is taken. What
        // is hopeless was refused before, by the pace that the target may regain.
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

    /// Returns the allowed targets that take new work.
    fn live_targets(&self, item: &WorkItem) -> Vec<&TargetView> {
        item.allowed
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|view| view.is_live())
            .collect()
    }

    /// Returns the least expected seconds over the allowed targets, full or not.
    pub(super) fn best_service_seconds(&self, item: &WorkItem) -> Option<f64> {
        self.live_targets(item)
            .into_iter()
            .map(|view| view.service_seconds(item))
            .min_by(f64::total_cmp)
    }

    /// Returns the pool of a kind of targets.
    pub(super) const fn pool(&self, kind: TargetKind) -> &PoolState {
        match kind {
            TargetKind::Engine => &self.engines,
            TargetKind::Service => &self.services,
        }
    }

    /// Returns the pool of a kind of targets, for change.
    pub(super) const fn pool_mut(&mut self, kind: TargetKind) -> &mut PoolState {
        match kind {
            TargetKind::Engine => &mut self.engines,
            TargetKind::Service => &mut self.services,
        }
    }

    /// Returns the kind of the targets that an item may go to.
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

/// Returns the factor on the expected time of work that must still be in time.
pub(super) const fn length_margin(item: &WorkItem) -> f64 {
    if item.tier == 0 { 1.0 } else { LENGTH_MARGIN }
}

/// Returns how long work is, by its expected seconds.
pub(super) fn band(seconds: f64) -> WorkBand {
    if seconds <= BRIEF_SECONDS {
        WorkBand::Brief
    } else if seconds <= SHORT_SECONDS {
        WorkBand::Short
    } else {
        WorkBand::Long
    }
}

/// Returns how far from home a target is for long work; other work goes where
/// it ends soonest.
fn home_position(work: &WaitingWork, band: WorkBand, view: &TargetView) -> usize {
    if work.item.tier == 0 || band == WorkBand::Brief {
        return 0;
    }
    let mut homes = work.homes.iter();
    homes
        .position(|home| *home == view.facts.name)
        .unwrap_or(work.homes.len())
}

/// A slow target gets one piece of lower work now and then, so that its
/// recovery is seen; work that runs there shows it without a probe.
///
/// Long work is a probe only when nothing shorter has come for a while.
fn may_probe(now: Duration, view: &TargetView, band: WorkBand) -> bool {
    let interval_over = view.probed_at.is_none_or(|at| now >= at + PROBE_INTERVAL);
    let suitable = band != WorkBand::Long || view.pace.is_stale(now, LONG_PROBE_INTERVAL);
    view.running == 0 && interval_over && suitable
}

/// Draws two of many targets by a hash of the work's id.
fn draw_two<'a>(item: &WorkItem, free: &[&'a TargetView]) -> Vec<&'a TargetView> {
    let hash = xxh3_64(&item.work.to_le_bytes()) as usize;
    let first = hash % free.len();
    let second = (hash / free.len()) % free.len();
    vec![free[first], free[second]]
}
