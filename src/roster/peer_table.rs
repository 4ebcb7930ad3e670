//! What the peers told last, and the newest life of each host.

use super::RosterDigest;
use super::SeatIncarnation;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// What the peers told last, and the newest life of each host.
#[derive(Clone, Debug)]
pub(super) struct PeerTable {
    pub(super) host: HostName,
    pub(super) life: SeatIncarnation,
    lives: SortedMap<HostName, SeatIncarnation>,
    digests: SortedMap<HostName, RosterDigest>,
    /// Whether digests of lives known to be over are dropped.
    drops_dead: bool,
}

impl PeerTable {
    pub(super) fn new(host: HostName, life: SeatIncarnation, drops_dead: bool) -> Self {
        let mut lives = SortedMap::new();
        lives.insert(host.clone(), life);
        Self {
            host,
            life,
            lives,
            digests: SortedMap::new(),
            drops_dead,
        }
    }

    pub(super) const fn lives(&self) -> &SortedMap<HostName, SeatIncarnation> {
        &self.lives
    }

    pub(super) fn get(&self, host: &HostName) -> Option<&RosterDigest> {
        self.digests.get(host)
    }

    pub(super) fn digests(&self) -> impl Iterator<Item = &RosterDigest> {
        self.digests.values()
    }

    /// Takes a digest, unless a later life of its sender is known.
    pub(super) fn note(&mut self, from: &HostName, digest: RosterDigest) {
        let known = self.lives.get(from);
        if self.drops_dead && known.is_some_and(|life| *life > digest.life) {
            return;
        }
        raise_life(&mut self.lives, from, digest.life);
        self.raise_lives(&digest.lives);
        self.digests.insert(from.clone(), digest);
        if self.drops_dead {
            let lives = &self.lives;
            self.digests
                .retain(|host, digest| lives.get(host).is_none_or(|life| *life <= digest.life));
        }
    }

    /// Takes over all lives that a peer told.
    pub(super) fn raise_lives(&mut self, told: &SortedMap<HostName, SeatIncarnation>) {
        for (host, life) in told.iter() {
            raise_life(&mut self.lives, host, *life);
        }
    }

    /// Keeps the memory bounded: hosts of rosters long gone are forgotten.
    pub(super) fn keep_hosts(&mut self, hosts: &[HostName]) {
        if hosts.is_empty() {
            return;
        }
        let own = &self.host;
        let is_kept = |host: &HostName| host == own || hosts.binary_search(host).is_ok();
        self.lives.retain(|host, _| is_kept(host));
        self.digests.retain(|host, _| is_kept(host));
    }

    /// Tells whether a later process runs under this host's name.
    pub(super) fn is_superseded(&self) -> bool {
        let newest = self.lives.get(&self.host);
        newest.is_some_and(|life| *life > self.life)
    }
}

fn raise_life(
    lives: &mut SortedMap<HostName, SeatIncarnation>,
    host: &HostName,
    life: SeatIncarnation,
) {
    let known = lives.get_or_insert_with(host.clone(), || life);
    *known = life.max(*known);
}
