//! What a host told each peer last, so that it tells them only what changed.

use std::sync::Arc;

use super::DigestDelta;
use super::PeerCall;
use super::PeerDigest;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// After how many deltas a peer gets a whole digest again: about a minute. A
/// fault that no rule here foresees would heal within it, at a hundredth of the bytes.
pub const MAX_CONSECUTIVE_DELTAS: u32 = 60;

/// What a host told each peer last.
///
/// A delta starts only from a digest that the peer confirmed to hold. So a digest
/// that was lost costs a whole one the next time and nothing else.
#[derive(Debug, Default)]
pub struct DigestOutbox {
    peers: SortedMap<HostName, ConfirmedDigest>,
}

#[derive(Debug)]
struct ConfirmedDigest {
    digest: Arc<PeerDigest>,
    deltas: u32,
}

impl DigestOutbox {
    /// Returns the call that tells `peer` the host's digest.
    pub fn call_for(&self, peer: &HostName, own: &PeerDigest) -> PeerCall {
        self.peers
            .get(peer)
            .filter(|confirmed| confirmed.deltas < MAX_CONSECUTIVE_DELTAS)
            .and_then(|confirmed| DigestDelta::between(&confirmed.digest, own))
            .map_or_else(
                || PeerCall::Digest(Box::new(own.clone())),
                |delta| PeerCall::DigestDelta(Box::new(delta)),
            )
    }

    /// Notes that `peer` holds this digest, which it got `whole` or as a delta.
    pub fn mark_confirmed(&mut self, peer: &HostName, own: &Arc<PeerDigest>, whole: bool) {
        let known = self.peers.get(peer);
        // Two exchanges may overlap; the peer holds the later one.
        if known.is_some_and(|known| sequence_of(&known.digest) > sequence_of(own)) {
            return;
        }
        let before = known.map_or(0, |known| known.deltas);
        let confirmed = ConfirmedDigest {
            digest: own.clone(),
            deltas: if whole { 0 } else { before + 1 },
        };
        self.peers.insert(peer.clone(), confirmed);
    }

    /// Notes that it is unknown what `peer` holds: it gets a whole digest next.
    pub fn forget(&mut self, peer: &HostName) {
        self.peers.remove(peer);
    }

    /// Forgets all peers but these.
    pub fn retain(&mut self, peers: &[HostName]) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }
}

fn sequence_of(digest: &PeerDigest) -> u64 {
    digest.policy.as_ref().map_or(0, |policy| policy.sequence)
}
