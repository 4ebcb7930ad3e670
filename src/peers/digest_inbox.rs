//! The last digest that a host holds of each peer, which deltas start from.

use super::DigestDelta;
use super::PeerDigest;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// The last digest that a host holds of each peer.
#[derive(Debug, Default)]
pub struct DigestInbox {
    held: SortedMap<HostName, PeerDigest>,
}

impl DigestInbox {
    /// Takes a whole digest.
    pub fn store(&mut self, from: &HostName, digest: PeerDigest) {
        if digest.policy.is_some() {
            self.held.insert(from.clone(), digest);
        }
    }

    /// Takes a delta and returns the digest that it leads to; nothing where the
    /// digest that it starts from is not the one that is held, because an exchange
    /// was lost, doubled or overtaken, or because either end restarted. The sender
    /// then tells the whole.
    pub fn apply_delta(&mut self, from: &HostName, delta: &DigestDelta) -> Option<PeerDigest> {
        let digest = delta.apply(self.held.get(from)?)?;
        self.held.insert(from.clone(), digest.clone());
        Some(digest)
    }

    /// Forgets all peers but these.
    pub fn retain(&mut self, peers: &[HostName]) {
        self.held.retain(|peer, _| peers.contains(peer));
    }
}
