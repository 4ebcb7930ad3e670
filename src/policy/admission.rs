//! Admission control: which work is queued, forwarded to a peer, or refused at once.
//!
//! In a burst at several times the capacity, or under saturation, work that is admitted
//! although it can't meet its deadline waits, takes a slot and is late: its prefill is wasted,
//! and it makes other work late as well.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

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

/// The number of home targets of a prefix.
pub(super) const HOMES_PER_PREFIX: usize = 3;
/// Work is not forwarded to a peer for load balancing if its wait here is shorter.
const MIN_BALANCED_WAIT_SECONDS: f64 = 1.0;
/// Work is forwarded to a peer whose wait is below this fraction of the wait here.
const MAX_PEER_WAIT_RATIO: f64 = 0.5;

impl DispatchPolicy {
    /// Decides about work that arrives here or was forwarded by a peer.
    pub(super) fn admit(
        &mut self,
        now: Duration,
        item: WorkItem,
        may_forward: bool,
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
        if may_forward
            && let Some(action) = self
                .forward_brief(now, &item, cost)
                .or_else(|| self.forward_to_home(now, &item, cost))
                .or_else(|| self.forward_for_balance(now, &item, cost))
        {
            return vec![action];
        }
        let wait = self.expected_wait(&item, cost);
        if !self.meets_deadline(now, wait, &item) {
            return vec![self.forward_or_refuse(now, &item, may_forward)];
        }
        let (work, tier) = (item.work, item.tier);
        self.enqueue(now, item, cost, None);
        let mut actions = self.decide(now);
        if self.queue.works().len() > self.settings.max_waiting as usize {
            actions.extend(self.displace(now, work, tier, may_forward));
        }
        if tier == 0 && may_forward {
            actions.extend(self.forward_waiting(now, work));
        }
        actions
    }

    /// Returns whether work could not meet its deadline even on an idle fleet. Its refusal says
    /// nothing about the load.
    fn is_impossible(&self, now: Duration, item: &WorkItem) -> bool {
        let (prompt, output) = (item.prompt_tokens, item.output_tokens);
        let left = item.deadline.saturating_sub(now).as_secs_f64();
        let allowed = item.allowed.iter();
        let mut views = allowed.filter_map(|name| self.targets.get(name));
        !views.any(|view| view.is_live() && view.pace.idle_total_seconds(prompt, output) <= left)
    }

    /// Queues work again that did not reach its target.
    pub(super) fn requeue(&mut self, now: Duration, item: WorkItem, target: TargetName) {
        let cost = self.best_service_seconds(&item).unwrap_or(0.0);
        self.enqueue(now, item, cost, Some(target));
    }

    /// Returns whether work would meet its deadline after a wait, in seconds.
    pub(super) fn meets_deadline(&self, now: Duration, wait: f64, item: &WorkItem) -> bool {
        let total_seconds = self.best_service_seconds(item).unwrap_or(f64::INFINITY);
        let total_seconds = total_seconds * length_margin(item);
        now.as_secs_f64() + wait + total_seconds <= item.deadline.as_secs_f64()
    }

    /// Refuses work at once and advises when to retry.
    pub(super) fn refuse(&self, item: &WorkItem, kind: ErrorKind) -> PolicyAction {
        let cost = 0.0;
        let drain = Duration::try_from_secs_f64(self.expected_wait(item, cost));
        let hash = xxh3_64(&item.work.to_le_bytes());
        PolicyAction::Refuse {
            work: item.work,
            kind,
            retry_after: retry_advice(
                drain.unwrap_or(Duration::MAX),
                hash as f64 / u64::MAX as f64,
            ),
        }
    }

    /// Forwards work to a peer, or refuses it because this host is leaving.
    pub(super) fn forward_or_leave(&mut self, now: Duration, item: &WorkItem) -> PolicyAction {
        match self.peers.choose(now, item) {
            Some(host) => PolicyAction::Forward {
                work: item.work,
                host,
            },
            None => self.refuse(item, ErrorKind::HostLeaving),
        }
    }

    /// Frees a place in a full queue: refuses the lowest waiting work in favour of new work of
    /// a higher tier. If there is none, the new work is forwarded or refused.
    fn displace(
        &mut self,
        now: Duration,
        work: WorkId,
        tier: TierRank,
        may_forward: bool,
    ) -> Option<PolicyAction> {
        let Some(lowest) = self.queue.lowest_below(tier) else {
            let refused = self.queue.remove(work)?;
            return Some(self.forward_or_refuse(now, &refused.item, may_forward));
        };
        let displaced = self.queue.remove(lowest)?;
        self.pool_mut(displaced.kind).shed.record_refusal(now, tier);
        Some(self.refuse(&displaced.item, ErrorKind::Overloaded))
    }

    /// Forwards work that would be late here to a peer with free capacity. If no peer has any,
    /// the work is refused, and lower tiers are shed for a while.
    fn forward_or_refuse(
        &mut self,
        now: Duration,
        item: &WorkItem,
        may_forward: bool,
    ) -> PolicyAction {
        if may_forward && let Some(host) = self.peer_in_time(now, item) {
            return PolicyAction::Forward {
                work: item.work,
                host,
            };
        }
        let kind = self.kind_of(item);
        self.pool_mut(kind).shed.record_refusal(now, item.tier);
        self.refuse(item, ErrorKind::Overloaded)
    }

    /// Returns a peer where the work would meet its deadline.
    fn peer_in_time(&mut self, now: Duration, item: &WorkItem) -> Option<HostName> {
        let cost = self.best_service_seconds(item)?;
        let left = item.deadline.saturating_sub(now).as_secs_f64() - cost;
        let tier = item.tier;
        let free = self.peers.choose(now, item);
        free.or_else(|| self.peers.choose_shorter_wait(now, tier, cost, left))
    }

    /// Forwards work whose home target has no free slot here to a peer that has one there, so
    /// that its prefix is served from the home's cache.
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
        Some(PolicyAction::Forward {
            work: item.work,
            host,
        })
    }

    /// Forwards brief work of the top tier to a peer with a free express slot if this host has
    /// none: next to long prompts its first token takes many times longer than the hop to the
    /// peer.
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
        Some(PolicyAction::Forward {
            work: item.work,
            host,
        })
    }

    /// Forwards work that would wait long here to a peer where it waits far less.
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
        Some(PolicyAction::Forward {
            work: item.work,
            host,
        })
    }

    /// Returns the seconds that new engine work of a tier would wait here.
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

    /// Returns the waits for the digest, one for each tier with waiting work.
    pub(super) fn tier_waits(&self) -> Vec<TierWait> {
        let tiers = self.queue.tiers().into_iter();
        tiers
            .map(|tier| TierWait {
                tier,
                wait_ms: (self.tier_wait(tier) * 1000.0) as u32,
            })
            .collect()
    }

    /// Hands top-tier work that found no slot over to a peer that has one.
    fn forward_waiting(&mut self, now: Duration, work: u64) -> Option<PolicyAction> {
        let waits = self.queue.works().iter().find(|w| w.item.work == work)?;
        let host = self.peers.choose(now, &waits.item)?;
        self.queue.remove(work);
        Some(PolicyAction::Forward { work, host })
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
    /// If the work may use s slots and all are filled, one becomes free every 1/s of the
    /// remaining time of a running request.
    fn expected_wait(&self, item: &WorkItem, cost: f64) -> f64 {
        let allowed = item
            .allowed
            .iter()
            .filter_map(|name| self.targets.get(name));
        let kind = self.kind_of(item);
        // Only brief work may use the express engines.
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

    /// Returns the home targets of the item's prefix, in order of preference.
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

/// Returns the capacity of the targets, in slots of the fastest one.
fn effective_slots<'a>(views: impl Iterator<Item = &'a TargetView>) -> f64 {
    let live: Vec<&TargetView> = views.filter(|view| view.is_live()).collect();
    let tokens = live.iter().map(|view| view.pace.token_seconds());
    let best = tokens.fold(f64::INFINITY, f64::min);
    live.iter()
        .map(|view| f64::from(view.share) * best / view.pace.token_seconds())
        .sum()
}
