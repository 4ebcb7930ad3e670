//! What other hosts run at each target, as they last told.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::quota::UsageScope;
use crate::sorted::SortedMap;

/// How long a silent host's requests still count. Hosts tell their loads many
/// times a second; one that is silent for this long is most likely dead, and its
/// targets have noticed the closed connections.
const LOAD_MEMORY: Duration = Duration::from_millis(1500);

/// How many requests a host runs at a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// Requests that the host has there.
    pub running: u32,
    /// Tokens of their prompts that are still to be read.
    pub pending_prefill_tokens: u64,
}

/// The sums over all other hosts at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadSum {
    pub(super) running: u32,
    pub(super) pending_prefill_tokens: u64,
}

#[derive(Debug)]
struct HostLoads {
    heard: Duration,
    scope: UsageScope,
    loads: Vec<TargetLoad>,
}

/// What other hosts run at each target. The sums are kept up as reports come.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    hosts: SortedMap<HostName, HostLoads>,
    sums: SortedMap<TargetName, LoadSum>,
}

impl PeerLoads {
    /// Takes a report at `now`; it replaces the host's one before. Returns the targets whose
    /// sums changed, sorted. A leader's report covers
    /// all others, and what a leader told covers those that report here now.
    pub(super) fn take(
        &mut self,
        host: HostName,
        loads: Vec<TargetLoad>,
        scope: UsageScope,
        now: Duration,
    ) -> Vec<TargetName> {
        let mut touched = self.drop_hosts(|held, told| {
            let covered = scope == UsageScope::Fleet || told.scope == UsageScope::Fleet;
            covered && *held != host
        });
        let told = HostLoads {
            heard: now,
            scope,
            loads,
        };
        for load in &told.loads {
            add(&mut self.sums, load);
            touched.push(load.target.clone());
        }
        if let Some(before) = self.hosts.insert(host, told) {
            self.subtract(&before);
            touched.extend(before.loads.into_iter().map(|load| load.target));
        }
        touched.sort();
        touched.dedup();
        touched
    }

    /// Forgets silent hosts; returns the targets where they ran something.
    pub(super) fn forget_silent(&mut self, now: Duration) -> Vec<TargetName> {
        self.drop_hosts(|_, told| now.saturating_sub(told.heard) > LOAD_MEMORY)
    }

    /// Adds what the hosts run that report to this one themselves.
    pub(super) fn add_direct(&self, loads: &mut Vec<TargetLoad>) {
        let direct = |told: &&HostLoads| told.scope == UsageScope::Host;
        for told in self.hosts.values().filter(direct) {
            add_loads(loads, &told.loads);
        }
    }

    /// Returns what one host runs at a target.
    pub(super) fn load_of(&self, host: &str, target: &str) -> LoadSum {
        let told = self.hosts.get(host);
        let mut loads = told.into_iter().flat_map(|told| &told.loads);
        let load = loads.find(|load| load.target == target);
        load.map_or_else(LoadSum::default, |load| LoadSum {
            running: load.running,
            pending_prefill_tokens: load.pending_prefill_tokens,
        })
    }

    fn drop_hosts(
        &mut self,
        is_dropped: impl Fn(&HostName, &HostLoads) -> bool,
    ) -> Vec<TargetName> {
        let dropped: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(host, told)| is_dropped(host, told))
            .map(|(host, _)| host.clone())
            .collect();
        let mut touched = Vec::new();
        for host in &dropped {
            if let Some(told) = self.hosts.remove(host) {
                self.subtract(&told);
                touched.extend(told.loads.into_iter().map(|load| load.target));
            }
        }
        touched
    }

    /// Returns the sum at one target.
    pub(super) fn sum(&self, target: &str) -> LoadSum {
        self.sums.get(target).copied().unwrap_or_default()
    }

    fn subtract(&mut self, told: &HostLoads) {
        for load in &told.loads {
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

fn add_loads(loads: &mut Vec<TargetLoad>, more: &[TargetLoad]) {
    for load in more {
        match loads.iter_mut().find(|held| held.target == load.target) {
            Some(held) => {
                held.running += load.running;
                held.pending_prefill_tokens += load.pending_prefill_tokens;
            }
            None => loads.push(load.clone()),
        }
    }
}

fn add(sums: &mut SortedMap<TargetName, LoadSum>, load: &TargetLoad) {
    if let Some(sum) = sums.get_mut(&load.target) {
        sum.running += load.running;
        sum.pending_prefill_tokens += load.pending_prefill_tokens;
        return;
    }
    let sum = LoadSum {
        running: load.running,
        pending_prefill_tokens: load.pending_prefill_tokens,
    };
    sums.insert(load.target.clone(), sum);
}
