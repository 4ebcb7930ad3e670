//! What is let in, what goes to a peer, and what is turned away at once.
//!
//! Load: a burst at several times the capacity, and saturation. Work that is
//! let in though it can't be in time waits, takes a slot, and is late: its
//! prompt was read for nothing and it made others late as well.

use std::time::Duration;

use crate::errors::ErrorKind;
use crate::fleet::TargetKind;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::TierRank;

use super::DispatchPolicy;
use super::PolicyAction;
use super::TierWait;
use super::WorkId;
use super::WorkItem;
use super::decide::band;
use super::decide::length_margin;
use super::fair_queue::WaitingWork;
use super::pool_state::WorkBand;
use super::prefix_home::home_rank;
use super::retry_advice::retry_advice;
use super::target_view::TargetView;

/// How many targets are home to a prefix.
pub(super) const HOMES_PER_PREFIX: usize = 3;
/// Lower work is let in when it would be in time after so many times its
/// expected wait. A refusal at once serves the caller better than one later.
const WAIT_MARGIN: f64 = 1.0;
/// Work is not moved for a wait below this, in seconds.
const MIN_BALANCED_WAIT_SECONDS: f64 = 1.0;
/// Work is moved to a peer whose wait is below this part of the wait here.
const MAX_PEER_WAIT_RATIO: f64 = 0.5;

impl DispatchPolicy {
    /// Decides about work that arrives here or was handed over.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        item: WorkItem,
        may_hand_over: bool,
    ) -> Vec<PolicyAction> {
        let Some(cost) = self.best_service_seconds(&item) else {
            return vec![self.refuse(&item, ErrorKind::NoTarget)];
        };
        if self.is_impossible(now, &item) {
            return vec![self.refuse(&item, ErrorKind::Overloaded)];
        }
        let kind = self.kind_of(&item);
        if item.tier > self.pool(kind).shed.level(now) {
            return vec![self.refuse(&item, ErrorKind::Overloaded)];
        }
        if may_hand_over
            && let Some(action) = self
                .forward_brief(now, &item, cost)
                .or_else(|| self.forward_to_home(now, &item, cost))
                .or_else(|| self.forward_for_balance(now, &item, cost))
        {
            return vec![action];
        }
        let wait = self.expected_wait(&item, cost);
        if !self.meets_deadline(now, wait, &item) {
            return vec![self.forward_or_refuse(now, &item, may_hand_over)];
        }
        let (work, tier) = (item.work, item.tier);
        self.enqueue(now, item, cost, None);
        let mut actions = self.decide(now);
        if self.queue.works().len() > self.limits.max_waiting as usize {
            actions.extend(self.displace(now, work, tier, may_hand_over));
        }
        if tier == 0 && may_hand_over {
            actions.extend(self.hand_over_waiting(now, work));
        }
        actions
    }

    /// Tells whether work could not be in time even on an idle fleet; its refusal
    /// says nothing of the load.
    fn is_impossible(&self, now: Duration, item: &WorkItem) -> bool {
        let (prompt, output) = (item.prompt_tokens, item.output_tokens);
        let left = item.deadline.saturating_sub(now).as_secs_f64();
        let allowed = item.allowed.iter();
        let mut views = allowed.filter_map(|name| self.targets.get(name));
        !views.any(|view| view.is_live() && view.pace.idle_total_seconds(prompt, output) <= left)
    }

    /// Puts work back that did not reach its target.
    pub(super) fn requeue(&mut self, now: Duration, item: WorkItem, target: TargetName) {
        let cost = self.best_service_seconds(&item).unwrap_or(0.0);
        self.enqueue(now, item, cost, Some(target));
    }

    /// Tells whether work would be in time after a wait, in seconds.
    pub(super) fn meets_deadline(&self, now: Duration, wait: f64, item: &WorkItem) -> bool {
        let total_seconds = self.best_service_seconds(item).unwrap_or(f64::INFINITY);
        let total_seconds = total_seconds * length_margin(item);
        let wait = if item.tier == 0 {
            wait
        } else {
            wait * WAIT_MARGIN
        };
        now.as_secs_f64() + wait + total_seconds <= item.deadline.as_secs_f64()
    }

    /// Refuses work at once, with advice when to come back.
    pub(super) fn refuse(&self, item: &WorkItem, kind: ErrorKind) -> PolicyAction {
        let cost = 0.0;
        PolicyAction::Refuse {
            work: item.work,
            kind,
            retry_after: retry_advice(item.work, self.expected_wait(item, cost)),
        }
    }

    /// Hands work to a peer, or refuses it because this host leaves.
    pub(super) fn hand_over_or_leave(&mut self, now: Duration, item: &WorkItem) -> PolicyAction {
        match self.peers.choose(now, item) {
            Some(host) => PolicyAction::HandOver {
                work: item.work,
                host,
            },
            None => self.refuse(item, ErrorKind::HostLeaving),
        }
    }

    /// The queue is full: the lowest waiting work is refused for the sake of new
    /// work of a higher tier; where there is none the new work is turned away.
    fn displace(
        &mut self,
        now: Duration,
        work: WorkId,
        tier: TierRank,
        may_hand_over: bool,
    ) -> Option<PolicyAction> {
        let Some(lowest) = self.queue.lowest_below(tier) else {
            let refused = self.queue.remove(work)?;
            return Some(self.forward_or_refuse(now, &refused.item, may_hand_over));
        };
        let displaced = self.queue.remove(lowest)?;
        self.pool_mut(displaced.kind).shed.record_refusal(now, tier);
        Some(self.refuse(&displaced.item, ErrorKind::Overloaded))
    }

    /// Work that would come too late here goes to a peer with room; where no
    /// peer has any it is refused, and lower work with it for a while.
    fn forward_or_refuse(
        &mut self,
        now: Duration,
        item: &WorkItem,
        may_hand_over: bool,
    ) -> PolicyAction {
        if may_hand_over && let Some(host) = self.peer_in_time(now, item) {
            return PolicyAction::HandOver {
                work: item.work,
                host,
            };
        }
        let kind = self.kind_of(item);
        self.pool_mut(kind).shed.record_refusal(now, item.tier);
        self.refuse(item, ErrorKind::Overloaded)
    }

    /// Returns a peer where the work would be in time.
    fn peer_in_time(&mut self, now: Duration, item: &WorkItem) -> Option<HostName> {
        let cost = self.best_service_seconds(item)?;
        let left = item.deadline.saturating_sub(now).as_secs_f64() - cost;
        let tier = item.tier;
        let free = self.peers.choose(now, item);
        free.or_else(|| self.peers.choose_shorter_wait(now, tier, cost, left))
    }

    /// Long work whose home has no free slot here goes to a peer that has one:
    /// its prompt is then read from the home's cache.
    fn forward_to_home(
        &mut self,
        now: Duration,
        item: &WorkItem,
        cost: f64,
    ) -> Option<PolicyAction> {
        if item.tier == 0 || band(cost) == WorkBand::Brief {
            return None;
        }
        let home = self.homes(item).into_iter().next()?;
        let view = self.targets.get(&home)?;
        if !view.is_engine() || view.free() > 0 {
            return None;
        }
        let host = self.peers.choose_with_free_slot(now, &[home])?;
        Some(PolicyAction::HandOver {
            work: item.work,
            host,
        })
    }

    /// Urgent brief work goes to a peer with a free express slot when this host
    /// has none: beside long prompts its first token takes many times longer
    /// than the way to the peer.
    fn forward_brief(&mut self, now: Duration, item: &WorkItem, cost: f64) -> Option<PolicyAction> {
        if item.tier > 0 || band(cost) != WorkBand::Brief {
            return None;
        }
        let allowed = item
            .allowed
            .iter()
            .filter_map(|name| self.targets.get(name));
        let express: Vec<&TargetView> = allowed.filter(|view| view.express).collect();
        if express.iter().any(|view| view.free() > 0) {
            return None;
        }
        let names: Vec<TargetName> = express.iter().map(|view| view.facts.name.clone()).collect();
        let host = self.peers.choose_with_free_slot(now, &names)?;
        Some(PolicyAction::HandOver {
            work: item.work,
            host,
        })
    }

    /// Work that would wait long here goes to a peer where it waits far less.
    fn forward_for_balance(
        &mut self,
        now: Duration,
        item: &WorkItem,
        cost: f64,
    ) -> Option<PolicyAction> {
        if self.kind_of(item) != TargetKind::Engine {
            return None;
        }
        let wait = self.tier_wait(item.tier);
        if wait < MIN_BALANCED_WAIT_SECONDS {
            return None;
        }
        let limit = wait * MAX_PEER_WAIT_RATIO;
        let host = self
            .peers
            .choose_shorter_wait(now, item.tier, cost, limit)?;
        Some(PolicyAction::HandOver {
            work: item.work,
            host,
        })
    }

    /// Returns the seconds that new engine work of a tier waits here.
    fn tier_wait(&self, tier: TierRank) -> f64 {
        let works = self.queue.works().iter();
        let ahead: f64 = works
            .filter(|work| work.kind == TargetKind::Engine && work.item.tier <= tier)
            .map(|work| work.cost)
            .sum();
        let engines = self.targets.values().filter(|view| view.is_engine());
        let slots = effective_slots(engines) * self.engines.fraction_left_to(tier);
        ahead / slots.max(1.0)
    }

    /// Returns the waits of the digest, one for each tier that waits.
    pub(super) fn tier_waits(&self) -> Vec<TierWait> {
        let tiers = self.queue.tiers().into_iter();
        tiers
            .map(|tier| TierWait {
                tier,
                wait_ms: (self.tier_wait(tier) * 1000.0) as u32,
            })
            .collect()
    }

    /// Urgent work that found no slot goes to a peer that has one.
    fn hand_over_waiting(&mut self, now: Duration, work: u64) -> Option<PolicyAction> {
        let waits = self.queue.works().iter().find(|w| w.item.work == work)?;
        let host = self.peers.choose(now, &waits.item)?;
        self.queue.remove(work);
        Some(PolicyAction::HandOver { work, host })
    }

    fn enqueue(&mut self, now: Duration, item: WorkItem, cost: f64, avoid: Option<TargetName>) {
        let homes = self.homes(&item);
        let kind = self.kind_of(&item);
        self.queue.push(WaitingWork {
            item,
            kind,
            since: now,
            cost,
            homes,
            avoid,
        });
    }

    /// Returns the seconds that work must wait for a slot.
    ///
    /// With s slots that the work may fill, all filled, one falls free each
    /// s-th part of what a running request still needs.
    fn expected_wait(&self, item: &WorkItem, cost: f64) -> f64 {
        let allowed = item
            .allowed
            .iter()
            .filter_map(|name| self.targets.get(name));
        let kind = self.kind_of(item);
        // Longer work does not get the express engines.
        let brief = band(cost) == WorkBand::Brief;
        let usable = allowed.filter(|view| brief || !view.express);
        let slots = effective_slots(usable) * self.pool(kind).fraction_left_to(item.tier);
        let ahead = self.queue.ahead_of(item, kind, cost);
        let free = self.pool(kind).free;
        if ahead == 0.0 && free > 0 {
            return 0.0;
        }
        let running = self.running.values();
        let remaining: Vec<f64> = running
            .filter(|work| item.allowed.binary_search(&work.target).is_ok())
            .map(|work| work.cost / 2.0)
            .collect();
        let residual = remaining.iter().sum::<f64>() / remaining.len().max(1) as f64;
        (ahead + residual) / slots.max(1.0)
    }

    /// Returns the targets closest to home for the item's prefix, the closest first.
    fn homes(&self, item: &WorkItem) -> Vec<TargetName> {
        let views = item
            .allowed
            .iter()
            .filter_map(|name| self.targets.get(name));
        let mut ranked: Vec<(u64, &TargetView)> = views
            .filter(|view| view.is_live() && !view.express && !view.pace.is_slow())
            .map(|view| (home_rank(item.prefix, &view.facts.name), view))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let closest = ranked.iter().take(HOMES_PER_PREFIX);
        closest.map(|(_, view)| view.facts.name.clone()).collect()
    }
}

/// Returns what the slots of some targets are worth in slots of the fastest one.
fn effective_slots<'a>(views: impl Iterator<Item = &'a TargetView>) -> f64 {
    let live: Vec<&TargetView> = views.filter(|view| view.is_live()).collect();
    let tokens = live.iter().map(|view| view.pace.token_seconds());
    let best = tokens.fold(f64::INFINITY, f64::min);
    live.iter()
        .map(|view| f64::from(view.share) * best / view.pace.token_seconds())
        .sum()
}
