//! The latest digest received from each peer; the base for the peer's deltas.

use super::DigestDelta;
use super::PeerDigest;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// The latest digest received from each peer.
#[derive(Debug, Default)]
pub struct DigestInbox {
    digests: SortedMap<HostName, PeerDigest>,
}

impl DigestInbox {
    /// Stores a full digest.
    pub fn store(&mut self, from: &HostName, digest: PeerDigest) {
        if digest.policy.is_some() {
            self.digests.insert(from.clone(), digest);
        }
    }

    /// Applies a delta, stores the resulting digest and returns it. Returns `None` if
    /// the stored digest is not the delta's base, because an exchange was lost,
    /// duplicated or reordered, or because either end restarted; the sender then sends
    /// a full digest.
    pub fn apply_delta(&mut self, from: &HostName, delta: &DigestDelta) -> Option<PeerDigest> {
        let digest = delta.apply(self.digests.get(from)?)?;
        self.digests.insert(from.clone(), digest.clone());
        Some(digest)
    }

    /// Drops the digests of all peers but these.
    pub fn retain(&mut self, peers: &[HostName]) {
        self.digests.retain(|peer, _| peers.contains(peer));
    }
}
