//! The load of other hosts at each target, by their last reports.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::quota::UsageScope;
use crate::sorted::SortedMap;

/// How long the last report of an unresponsive host counts. Hosts report their loads many times
/// per second; one without a report for this long is most likely dead, and its targets have
/// noticed the closed connections.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// The most requests at a target, and the most prompt tokens of these, that a report counts. The sums
/// of 1,200 hosts fit their types.
const MAX_RUNNING: u32 = 1 << 20;
const MAX_PREFILL_TOKENS: u64 = 1 << 50;

/// The load that a host puts on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Requests of the host that run there.
    pub running: u32,
    /// Prompt tokens of these requests that are not prefilled yet.
    pub pending_prefill_tokens: u64,
}

/// The load of all other hosts at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadSum {
    pub(super) running: u32,
    pub(super) pending_prefill_tokens: u64,
}

#[derive(Debug)]
struct HostLoads {
    reported_at: Duration,
    scope: UsageScope,
    loads: Vec<TargetLoad>,
}

/// The load of other hosts at each target. The sums are updated with each report.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    hosts: SortedMap<HostName, HostLoads>,
    sums: SortedMap<TargetName, LoadSum>,
}

impl PeerLoads {
    /// Replaces a host's report. Returns the targets whose sums changed, sorted.
    ///
    /// A leader's report on the fleet covers all other hosts, so it replaces their reports. Any
    /// later report of another host replaces it.
    pub(super) fn update(
        &mut self,
        host: HostName,
        mut loads: Vec<TargetLoad>,
        scope: UsageScope,
        now: Duration,
    ) -> Vec<TargetName> {
        for load in &mut loads {
            load.running = load.running.min(MAX_RUNNING);
            load.pending_prefill_tokens = load.pending_prefill_tokens.min(MAX_PREFILL_TOKENS);
        }
        let mut changed = self.remove_hosts(|held, report| {
            let covered = scope == UsageScope::Fleet || report.scope == UsageScope::Fleet;
            covered && *held != host
        });
        let report = HostLoads {
            reported_at: now,
            scope,
            loads,
        };
        for load in &report.loads {
            add(&mut self.sums, load);
            changed.push(load.target.clone());
        }
        if let Some(before) = self.hosts.insert(host, report) {
            self.subtract(&before);
            changed.extend(before.loads.into_iter().map(|load| load.target));
        }
        changed.sort();
        changed.dedup();
        changed
    }

    /// Removes unresponsive hosts; returns the targets where they had requests.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<TargetName> {
        self.remove_hosts(|_, report| now.saturating_sub(report.reported_at) > REPORT_TTL)
    }

    /// Returns `own` with the loads of the hosts that report directly to this one added.
    pub(super) fn direct_loads(&self, own: Vec<TargetLoad>) -> Vec<TargetLoad> {
        let direct = |report: &&HostLoads| report.scope == UsageScope::Host;
        let reports = self.hosts.values().filter(direct);
        let mut sums: SortedMap<&TargetName, LoadSum> = SortedMap::new();
        for load in own.iter().chain(reports.flat_map(|report| &report.loads)) {
            let sum = sums.get_or_insert_with(&load.target, LoadSum::default);
            sum.add(load);
        }
        sums.iter()
            .map(|(target, sum)| TargetLoad {
                target: TargetName::clone(target),
                running: sum.running,
                pending_prefill_tokens: sum.pending_prefill_tokens,
            })
            .collect()
    }

    /// Returns the load of one host at a target.
    pub(super) fn load_of(&self, host: &str, target: &str) -> LoadSum {
        let report = self.hosts.get(host);
        let mut loads = report.into_iter().flat_map(|report| &report.loads);
        let load = loads.find(|load| load.target == target);
        load.map_or_else(LoadSum::default, |load| LoadSum {
            running: load.running,
            pending_prefill_tokens: load.pending_prefill_tokens,
        })
    }

    /// Returns how many requests of the given hosts run at each target.
    pub(super) fn running_of<'h>(
        &self,
        hosts: impl Iterator<Item = &'h HostName>,
    ) -> SortedMap<&TargetName, u32> {
        let mut sums = SortedMap::new();
        let reports = hosts.filter_map(|host| self.hosts.get(host));
        for load in reports.flat_map(|report| &report.loads) {
            *sums.get_or_insert_with(&load.target, || 0) += load.running;
        }
        sums
    }

    fn remove_hosts(
        &mut self,
        is_removed: impl Fn(&HostName, &HostLoads) -> bool,
    ) -> Vec<TargetName> {
        let removed: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(host, report)| is_removed(host, report))
            .map(|(host, _)| host.clone())
            .collect();
        let mut changed = Vec::new();
        for host in &removed {
            if let Some(report) = self.hosts.remove(host) {
                self.subtract(&report);
                changed.extend(report.loads.into_iter().map(|load| load.target));
            }
        }
        changed
    }

    /// Returns the load of all other hosts at one target.
    pub(super) fn sum(&self, target: &str) -> LoadSum {
        self.sums.get(target).copied().unwrap_or_default()
    }

    fn subtract(&mut self, report: &HostLoads) {
        for load in &report.loads {
            let Some(sum) = self.sums.get_mut(&load.target) else {
                continue;
            };
            sum.running = sum.running.saturating_sub(load.running);
            sum.pending_prefill_tokens = sum
                .pending_prefill_tokens
                .saturating_sub(load.pending_prefill_tokens);
            if sum.running == 0 && sum.pending_prefill_tokens == 0 {
                self.sums.remove(&load.target);
            }
        }
    }
}

impl LoadSum {
    const fn add(&mut self, load: &TargetLoad) {
        self.running += load.running;
        self.pending_prefill_tokens += load.pending_prefill_tokens;
    }
}

fn add(sums: &mut SortedMap<TargetName, LoadSum>, load: &TargetLoad) {
    match sums.get_mut(&load.target) {
        Some(sum) => sum.add(load),
        None => {
            let mut sum = LoadSum::default();
            sum.add(load);
            sums.insert(load.target.clone(), sum);
        }
    }
}
