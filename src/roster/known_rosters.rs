//! The rosters known to a process.

use super::RosterPlan;
use super::RosterTag;
use crate::ids::HostName;

/// The rosters known to a process.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownRosters {
    /// The newest roster known to be active.
    pub(super) active: Option<RosterPlan>,
    /// The direct successor of `active` that this process adopted.
    pub(super) adopted: Option<RosterPlan>,
    /// The newest roster offered by a document.
    pub(super) offered: Option<RosterPlan>,
}

impl KnownRosters {
    pub(super) fn active_tag(&self) -> Option<RosterTag> {
        self.active.as_ref().map(|plan| plan.tag)
    }

    pub(super) fn adopted_tag(&self) -> Option<RosterTag> {
        self.adopted.as_ref().map(|plan| plan.tag)
    }

    /// Returns the adopted roster, or the active one if none was adopted.
    pub(super) fn binding_tag(&self) -> Option<RosterTag> {
        self.adopted_tag().or(self.active_tag())
    }

    /// Returns the newest roster, whether or not it may be adopted.
    pub(super) fn newest(&self) -> Option<&RosterPlan> {
        self.plans().max_by_key(|plan| plan.tag)
    }

    pub(super) fn plan_of(&self, tag: RosterTag) -> Option<RosterPlan> {
        if let Some(plan) = self.plans().find(|plan| plan.tag == tag) {
            return Some(plan.clone());
        }
        self.plans()
            .filter_map(RosterPlan::former_plan)
            .find(|plan| plan.tag == tag)
    }

    /// Returns the hosts of all known rosters, sorted.
    pub(super) fn hosts(&self) -> Vec<HostName> {
        let mut hosts = Vec::new();
        for plan in self.plans() {
            hosts.extend(plan.seats.iter().cloned());
            hosts.extend(plan.former.iter().flat_map(|(_, seats)| seats.clone()));
        }
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Adds the former roster named by a document to a known plan that lacks it.
    pub(super) fn fill_former(&mut self, plan: &RosterPlan) {
        let known = [&mut self.active, &mut self.adopted];
        for known in known.into_iter().flatten() {
            if known.tag == plan.tag && known.former.is_none() {
                known.former.clone_from(&plan.former);
            }
        }
    }

    fn plans(&self) -> impl Iterator<Item = &RosterPlan> {
        let plans = [&self.active, &self.adopted, &self.offered];
        plans.into_iter().flatten()
    }
}
