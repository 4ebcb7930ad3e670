//! What other hosts run at each target, as they last told.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::TargetName;
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
    pub unread_tokens: u64,
}

/// The sums over all other hosts at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadSum {
    pub(super) running: u32,
    pub(super) unread_tokens: u64,
}

#[derive(Debug)]
struct HostLoads {
    heard: Duration,
    loads: Vec<TargetLoad>,
}

/// What other hosts run at each target.
///
/// The sums are kept up as words come: to add them up anew at each word took a
/// third of a small host's processor time in a fleet of 58.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    hosts: SortedMap<HostName, HostLoads>,
    sums: SortedMap<TargetName, LoadSum>,
}

impl PeerLoads {
    /// Takes what a host told at `now`; it replaces what it told before.
    pub(super) fn take(&mut self, host: HostName, loads: Vec<TargetLoad>, now: Duration) {
        let told = HostLoads { heard: now, loads };
        for load in &told.loads {
            add(&mut self.sums, load);
        }
        if let Some(before) = self.hosts.insert(host, told) {
            self.subtract(&before);
        }
    }

    /// Forgets silent hosts.
    pub(super) fn forget_silent(&mut self, now: Duration) {
        let is_silent = |told: &HostLoads| now.saturating_sub(told.heard) > LOAD_MEMORY;
        let silent: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(_, told)| is_silent(told))
            .map(|(host, _)| host.clone())
            .collect();
        for host in silent {
            if let Some(told) = self.hosts.remove(&host) {
                self.subtract(&told);
            }
        }
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
            sum.unread_tokens = sum.unread_tokens.saturating_sub(load.unread_tokens);
            if sum.running == 0 && sum.unread_tokens == 0 {
                self.sums.remove(&load.target);
            }
        }
    }
}

fn add(sums: &mut SortedMap<TargetName, LoadSum>, load: &TargetLoad) {
    if let Some(sum) = sums.get_mut(&load.target) {
        sum.running += load.running;
        sum.unread_tokens += load.unread_tokens;
        return;
    }
    let sum = LoadSum {
        running: load.running,
        unread_tokens: load.unread_tokens,
    };
    sums.insert(load.target.clone(), sum);
}
