//! Pools whose targets have bounds that hosts divide among them.
//!
//! Each host keeps to its part of the slots of brittle targets, and of the rates of cold and of
//! limited ones, whatever the others report, so that the bounds hold. Callers are not divided
//! evenly: a host whose part is used up offers requests to peers that have room in theirs.

use std::time::Duration;

use super::PlacementRequest;
use super::PoolTable;
use super::pool_entry::PoolEntry;
use super::target_choice::pick_weighted;
use super::target_runtime::TargetRuntime;
use crate::ids::HostName;
use crate::ids::PoolName;

/// Time for which a host whose part was used up keeps links to peers.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

impl PoolTable {
    /// Returns whether only this host's part of a bound keeps the request from a target.
    pub fn exceeds_part(&self, request: &PlacementRequest, now: Duration) -> bool {
        let Some(pool) = self.pools.get(&request.pool) else {
            return false;
        };
        let is_held_back = |target: &TargetRuntime| {
            target.is_rate_limited(now)
                && target.is_available(now)
                && target.is_healthy(now)
                && request.allows_version(&target.record.software_version)
                && !request.tried.contains(&target.record.name)
                && !target.may_send(self.host_position, now)
        };
        pool.targets.iter().any(is_held_back) && !self.has_room_for(request, now)
    }

    /// Records that this host's part of a pool was used up.
    pub fn record_shortage(&mut self, pool: &str, now: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.short_until = now + SHORTAGE_TIME;
        }
    }

    /// Returns a peer, out of `connected`, that reported room in its part of a pool, and takes a
    /// place there; `random` is uniform between 0 and 1. Peers are drawn by their room, since other
    /// hosts may choose at the same time.
    pub fn take_peer_room(
        &mut self,
        pool: &PoolName,
        connected: &[HostName],
        random: f64,
        now: Duration,
    ) -> Option<HostName> {
        let rooms = self.peer_reaches.rooms(pool, now);
        let is_connected = |host: &HostName| connected.binary_search(host).is_ok();
        let rooms = rooms.filter(|(host, _)| is_connected(host));
        let (hosts, weights): (Vec<HostName>, Vec<f64>) = rooms
            .map(|(host, room)| (host.clone(), f64::from(room)))
            .unzip();
        let host = hosts[pick_weighted(&weights, random)?].clone();
        self.peer_reaches
            .change_room(&host, pool, |room| Some(room.saturating_sub(1)));
        Some(host)
    }

    /// Records that a request that took a peer's room has ended.
    pub fn return_peer_room(&mut self, pool: &PoolName, host: &HostName) {
        self.peer_reaches
            .change_room(host, pool, |room| Some(room.saturating_add(1)));
    }

    /// Records that a peer has no room left. It counts as having none until its next report.
    pub fn clear_peer_room(&mut self, pool: &PoolName, host: &HostName) {
        self.peer_reaches.change_room(host, pool, |_| None);
    }

    /// Returns whether any of the peers `connected` reported room in its part of a pool.
    pub fn has_peer_room(&self, pool: &str, connected: &[HostName], now: Duration) -> bool {
        let mut rooms = self.peer_reaches.rooms(pool, now);
        rooms.any(|(host, room)| room > 0 && connected.binary_search(host).is_ok())
    }

    /// Returns how many more requests this host may start within its part of a pool's bounds;
    /// `None` if no bound is divided.
    pub(super) fn own_room(&self, pool: &PoolEntry, now: Duration) -> Option<u32> {
        let targets = pool.targets.iter();
        let mut divided = targets
            .filter(|target| target.is_accepting() && target.is_rate_limited(now))
            .peekable();
        divided.peek()?;
        let room: u32 = divided
            .map(|target| target.room(self.host_position, now))
            .sum();
        Some(room.saturating_sub(pool.queue.len() as u32))
    }
}
