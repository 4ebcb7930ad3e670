//! The free capacity of each peer by its last digest.

use std::time::Duration;

use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::TierRank;
use crate::sorted::SortedMap;

use super::HostDigest;
use super::TierWait;
use super::WorkItem;

/// The age at which a digest no longer says anything about a peer's capacity: two digest
/// periods and the transfer time.
const CAPACITY_MAX_AGE: Duration = Duration::from_millis(2500);

/// The free capacity of each peer by its last digest.
#[derive(Debug, Default)]
pub(super) struct PeerCapacity {
    peers: SortedMap<HostName, CapacityView>,
}

#[derive(Debug)]
struct CapacityView {
    received_at: Duration,
    free: SortedMap<TargetName, u32>,
    waits: Vec<TierWait>,
    /// Slots that the peer holds, summed over all targets.
    held: u32,
    /// Expected seconds of the work sent to the peer since the digest.
    sent_seconds: f64,
    /// Number of work items sent to the peer since the digest.
    sent_count: u32,
}

impl PeerCapacity {
    pub(super) fn update(&mut self, now: Duration, host: &HostName, digest: &HostDigest) {
        let free = digest.targets.iter().map(|demand| {
            let free = demand.held.saturating_sub(demand.running);
            (demand.target.clone(), free)
        });
        let view = CapacityView {
            received_at: now,
            free: free.collect(),
            waits: digest.waits.clone(),
            held: digest.targets.iter().map(|demand| demand.held).sum(),
            sent_seconds: 0.0,
            sent_count: 0,
        };
        self.peers.insert(host.clone(), view);
    }

    pub(super) fn retain(&mut self, hosts: &[HostName]) {
        self.peers.retain(|host, _| hosts.contains(host));
    }

    /// Returns the peer with the shortest wait for work of `cost` seconds, and counts the work as
    /// sent there; `None` if no peer's wait is below `wait` seconds.
    pub(super) fn choose_shorter_wait(
        &mut self,
        now: Duration,
        tier: TierRank,
        cost: f64,
        wait: f64,
    ) -> Option<HostName> {
        let (host, view) = self
            .peers
            .iter_mut()
            .filter(|(_, view)| now < view.received_at + CAPACITY_MAX_AGE && view.held > 0)
            .map(|(host, view)| (view.wait(tier), host, view))
            .filter(|(peer, _, _)| *peer < wait)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, host, view)| (host, view))?;
        view.sent_seconds += cost;
        Some(host.clone())
    }

    /// Returns the peer with the most free slots on some targets, and counts an item as sent
    /// there; `None` if no peer is known to have any.
    pub(super) fn choose_with_free_slot(
        &mut self,
        now: Duration,
        targets: &[TargetName],
    ) -> Option<HostName> {
        let (host, view) = self
            .peers
            .iter_mut()
            .filter(|(_, view)| now < view.received_at + CAPACITY_MAX_AGE)
            .map(|(host, view)| (view.free_slots_on(targets), host, view))
            .filter(|(free, _, _)| *free > 0)
            .max_by_key(|(free, host, _)| (*free, std::cmp::Reverse((*host).clone())))
            .map(|(_, host, view)| (host, view))?;
        view.sent_count += 1;
        Some(host.clone())
    }

    /// Returns the peer with the most free slots for an item, and counts the item as sent there;
    /// `None` if no peer is known to have any.
    pub(super) fn choose(&mut self, now: Duration, item: &WorkItem) -> Option<HostName> {
        self.choose_with_free_slot(now, &item.allowed)
    }
}

impl CapacityView {
    fn wait(&self, tier: TierRank) -> f64 {
        let waits = self.waits.iter().filter(|wait| wait.tier <= tier);
        let longest = waits.map(|wait| wait.wait_ms).max().unwrap_or(0);
        let sent = self.sent_seconds / f64::from(self.held);
        f64::from(longest) / 1000.0 + sent
    }

    fn free_slots_on(&self, targets: &[TargetName]) -> u32 {
        let free = targets.iter().filter_map(|name| self.free.get(name));
        free.sum::<u32>().saturating_sub(self.sent_count)
    }
}
