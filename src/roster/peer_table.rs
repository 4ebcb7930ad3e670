//! The last digest of each peer and the newest known incarnation of each host.

use super::RosterDigest;
use super::SeatIncarnation;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// The last digest of each peer and the newest known incarnation of each host.
#[derive(Clone, Debug)]
pub(super) struct PeerTable {
    pub(super) host: HostName,
    pub(super) incarnation: SeatIncarnation,
    incarnations: SortedMap<HostName, SeatIncarnation>,
    digests: SortedMap<HostName, RosterDigest>,
    /// Whether digests of incarnations known to have ended are dropped.
    drops_stale: bool,
}

impl PeerTable {
    pub(super) fn new(host: HostName, incarnation: SeatIncarnation, drops_stale: bool) -> Self {
        let mut incarnations = SortedMap::new();
        incarnations.insert(host.clone(), incarnation);
        Self {
            host,
            incarnation,
            incarnations,
            digests: SortedMap::new(),
            drops_stale,
        }
    }

    pub(super) const fn incarnations(&self) -> &SortedMap<HostName, SeatIncarnation> {
        &self.incarnations
    }

    pub(super) fn get(&self, host: &HostName) -> Option<&RosterDigest> {
        self.digests.get(host)
    }

    pub(super) fn digests(&self) -> impl Iterator<Item = &RosterDigest> {
        self.digests.values()
    }

    /// Stores a digest, unless a later incarnation of its sender is known.
    pub(super) fn record(&mut self, from: &HostName, digest: RosterDigest) {
        let known = self.incarnations.get(from);
        if self.drops_stale && known.is_some_and(|incarnation| *incarnation > digest.incarnation) {
            return;
        }
        raise_incarnation(&mut self.incarnations, from, digest.incarnation);
        self.merge_incarnations(&digest.incarnations);
        self.digests.insert(from.clone(), digest);
        if self.drops_stale {
            let incarnations = &self.incarnations;
            self.digests.retain(|host, digest| {
                incarnations
                    .get(host)
                    .is_none_or(|incarnation| *incarnation <= digest.incarnation)
            });
        }
    }

    /// Merges all incarnations reported by a peer.
    pub(super) fn merge_incarnations(&mut self, reported: &SortedMap<HostName, SeatIncarnation>) {
        for (host, incarnation) in reported.iter() {
            raise_incarnation(&mut self.incarnations, host, *incarnation);
        }
    }

    /// Removes hosts that are in no known roster, to limit the memory used.
    pub(super) fn keep_hosts(&mut self, hosts: &[HostName]) {
        if hosts.is_empty() {
            return;
        }
        let own = &self.host;
        let is_kept = |host: &HostName| host == own || hosts.binary_search(host).is_ok();
        self.incarnations.retain(|host, _| is_kept(host));
        self.digests.retain(|host, _| is_kept(host));
    }

    /// Returns whether a later process runs under this host's name.
    pub(super) fn is_superseded(&self) -> bool {
        let newest = self.incarnations.get(&self.host);
        newest.is_some_and(|incarnation| *incarnation > self.incarnation)
    }
}

fn raise_incarnation(
    incarnations: &mut SortedMap<HostName, SeatIncarnation>,
    host: &HostName,
    incarnation: SeatIncarnation,
) {
    let known = incarnations.get_or_insert_with(host.clone(), || incarnation);
    *known = incarnation.max(*known);
}
