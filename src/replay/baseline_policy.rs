//! The baselines of a replay: fleets with a plain load balancer instead of this scheduler.

use std::time::Duration;

use crate::ids::TargetName;
use crate::policy::LoadReport;
use crate::policy::PolicyAction;
use crate::policy::WorkItem;
use crate::sorted::SortedMap;

/// How a baseline selects a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BaselineRule {
    /// Each allowed target in turn; requests queue in the engines, first come first served.
    RoundRobin,
    /// The allowed target with the lowest load in its last report.
    LeastLoad,
}

/// A baseline: dispatches every request immediately and refuses none.
#[derive(Debug)]
pub(super) struct BaselinePolicy {
    rule: BaselineRule,
    next_index: usize,
    reported_loads: SortedMap<TargetName, u32>,
}

impl BaselinePolicy {
    pub(super) const fn new(rule: BaselineRule) -> Self {
        Self {
            rule,
            next_index: 0,
            reported_loads: SortedMap::new(),
        }
    }

    pub(super) fn arrive(&mut self, _now: Duration, item: &WorkItem) -> Vec<PolicyAction> {
        self.next_index += 1;
        let count = item.allowed.len();
        let candidates = (0..count).map(|offset| &item.allowed[(self.next_index + offset) % count]);
        let target = match self.rule {
            BaselineRule::RoundRobin => candidates.into_iter().next(),
            BaselineRule::LeastLoad => {
                candidates.min_by_key(|name| self.reported_loads.get(*name).copied().unwrap_or(0))
            }
        };
        target.map_or_else(Vec::new, |target| {
            vec![PolicyAction::Dispatch {
                work: item.work,
                target: target.clone(),
            }]
        })
    }

    pub(super) fn apply_report(&mut self, target: &TargetName, report: LoadReport) {
        self.reported_loads
            .insert(target.clone(), report.running + report.waiting);
    }
}
