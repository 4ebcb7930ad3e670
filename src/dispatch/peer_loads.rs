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
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    hosts: SortedMap<HostName, HostLoads>,
}

impl PeerLoads {
    /// Takes what a host told at `now`; it replaces what it told before.
    pub(super) fn take(&mut self, host: HostName, loads: Vec<TargetLoad>, now: Duration) {
        let told = HostLoads { heard: now, loads };
        self.hosts.insert(host, told);
    }

    /// Forgets silent hosts and returns the sums by target, sorted.
    pub(super) fn sums(&mut self, now: Duration) -> SortedMap<TargetName, LoadSum> {
        self.hosts
            .retain(|_, told| now.saturating_sub(told.heard) <= LOAD_MEMORY);
        let mut sums = SortedMap::new();
        for load in self.hosts.values().flat_map(|told| &told.loads) {
            let sum = sums.get_or_insert_with(load.target.clone(), LoadSum::default);
            sum.running += load.running;
            sum.unread_tokens += load.unread_tokens;
        }
        sums
    }
}
