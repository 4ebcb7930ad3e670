//! The queue of waiting work and its order.
//!
//! Two accounts may send most of the work, and long and short work is mixed. First come, first
//! served would favour the account that sends most, and one long request would delay all short
//! ones queued after it.
//!
//! The order is: strict tiers; then the account that has been served least, relative to its
//! weight (weighted fair queueing by expected cost); then the shortest expected work. Work that
//! has waited for [`AGING_THRESHOLD`] goes before the account's newer work, so that long work
//! does not starve.

use std::time::Duration;

use crate::fleet::TargetKind;
use crate::ids::AccountName;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

use super::WorkId;
use super::WorkItem;

/// Work that has waited this long is served in order of arrival within its account. This is a
/// few times the mean wait at a load of 1.5, and a fraction of the deadlines of long work.
const AGING_THRESHOLD: Duration = Duration::from_secs(10);

/// A piece of waiting work.
#[derive(Debug)]
pub(super) struct WaitingWork {
    pub(super) item: WorkItem,
    /// The kind of the targets.
    pub(super) kind: TargetKind,
    pub(super) since: Duration,
    /// The expected seconds on the best target.
    pub(super) cost: f64,
    /// The home targets of the prefix, in order of preference.
    pub(super) homes: Vec<TargetName>,
    /// A target that this work could not reach.
    pub(super) avoid: Option<TargetName>,
}

/// The waiting work of one host.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    works: Vec<WaitingWork>,
    /// The service each account of a tier has received: expected seconds divided by weight.
    served_cost: SortedMap<(TierRank, AccountName), f64>,
}

impl FairQueue {
    pub(super) fn works(&self) -> &[WaitingWork] {
        &self.works
    }

    pub(super) fn push(&mut self, work: WaitingWork) {
        self.admit_account(&work.item, work.cost);
        self.works.push(work);
    }

    pub(super) fn remove(&mut self, work: WorkId) -> Option<WaitingWork> {
        let index = self.works.iter().position(|w| w.item.work == work)?;
        Some(self.works.remove(index))
    }

    pub(super) fn drain(&mut self) -> Vec<WaitingWork> {
        std::mem::take(&mut self.works)
    }

    /// Charges an account for dispatched work.
    pub(super) fn charge(&mut self, item: &WorkItem, cost: f64) {
        let key = (item.tier, item.account.clone());
        *self.served_cost.get_or_insert_with(key, || 0.0) += cost / f64::from(item.weight.max(1));
    }

    /// Returns the tiers with waiting work, the highest first.
    pub(super) fn tiers(&self) -> Vec<TierRank> {
        let mut tiers: Vec<TierRank> = self.works.iter().map(|work| work.item.tier).collect();
        tiers.sort_unstable();
        tiers.dedup();
        tiers
    }

    /// Returns the indices of a tier's work, in dispatch order.
    pub(super) fn order(&self, now: Duration, tier: TierRank) -> Vec<usize> {
        let indices = 0..self.works.len();
        let mut order: Vec<(f64, bool, f64, Duration, usize)> = indices
            .filter(|index| self.works[*index].item.tier == tier)
            .map(|index| {
                let work = &self.works[index];
                let aged = now >= work.since + AGING_THRESHOLD;
                let cost = if aged { 0.0 } else { work.cost };
                (self.served_cost(&work.item), !aged, cost, work.since, index)
            })
            .collect();
        order.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then(a.1.cmp(&b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        order.into_iter().map(|entry| entry.4).collect()
    }

    /// Returns the expected seconds of work that goes before an item.
    ///
    /// Within the item's tier, each other account has at most as much work ahead of it as the
    /// item's own account, relative to their weights.
    pub(super) fn ahead_of(&self, item: &WorkItem, kind: TargetKind, cost: f64) -> f64 {
        let mut higher = 0.0;
        let mut backlog: SortedMap<&AccountName, (f64, u32)> = SortedMap::new();
        for work in self.works.iter().filter(|work| work.kind == kind) {
            if work.item.tier < item.tier {
                higher += work.cost;
            } else if work.item.tier == item.tier {
                let account = &work.item.account;
                let entry = backlog.get_or_insert_with(account, || (0.0, work.item.weight));
                entry.0 += work.cost;
            }
        }
        let own = backlog.get(&item.account).map_or(0.0, |entry| entry.0);
        let level = (own + cost) / f64::from(item.weight.max(1));
        let same: f64 = backlog
            .iter()
            .filter(|(account, _)| **account != &item.account)
            .map(|(_, (seconds, weight))| seconds.min(level * f64::from(*weight)))
            .sum();
        higher + own + same
    }

    /// Returns the work to displace first: the longest of the lowest tier; `None` if no work is
    /// below `tier`.
    pub(super) fn lowest_below(&self, tier: TierRank) -> Option<WorkId> {
        self.works
            .iter()
            .filter(|work| work.item.tier > tier)
            .max_by(|a, b| {
                let tiers = a.item.tier.cmp(&b.item.tier);
                tiers.then(a.cost.total_cmp(&b.cost))
            })
            .map(|work| work.item.work)
    }

    fn served_cost(&self, item: &WorkItem) -> f64 {
        let key = (item.tier, item.account.clone());
        self.served_cost.get(&key).copied().unwrap_or(0.0)
    }

    /// Admits an account that has no waiting work. It starts at most one request ahead of the
    /// least served waiting account, so that it accumulates no credit while idle.
    fn admit_account(&mut self, item: &WorkItem, cost: f64) {
        let tier = item.tier;
        let mut same = self.works.iter().filter(|work| work.item.tier == tier);
        if same.any(|work| work.item.account == item.account) {
            return;
        }
        let waiting = self.works.iter().filter(|work| work.item.tier == tier);
        let least = waiting
            .map(|work| self.served_cost(&work.item))
            .min_by(f64::total_cmp);
        let served_cost = self.served_cost(item);
        let credit = cost / f64::from(item.weight.max(1));
        let level = least.map_or(served_cost, |least| served_cost.max(least - credit));
        self.served_cost.insert((tier, item.account.clone()), level);
    }
}
