//! The last digest that each peer confirmed; the base for the deltas sent to it.

use std::sync::Arc;

use super::DigestDelta;
use super::PeerCall;
use super::PeerDigest;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// How many deltas a peer gets in a row before a full digest is sent again. At one
/// digest per second this limits any unforeseen divergence to about a minute, and adds
/// about a hundredth of the bytes that full digests would take.
pub const MAX_CONSECUTIVE_DELTAS: u32 = 60;

/// The last digest that each peer confirmed.
///
/// A delta is computed only from a digest that the peer confirmed. A lost digest
/// therefore costs nothing but one full digest in the next exchange.
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
    /// Returns the call that sends the host's digest to `peer`, as a delta if possible.
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

    /// Records that `peer` has this digest, received in full (`is_full`) or as a delta.
    pub fn mark_confirmed(&mut self, peer: &HostName, own: &Arc<PeerDigest>, is_full: bool) {
        let known = self.peers.get(peer);
        // Exchanges may overlap; the peer keeps the digest with the higher sequence.
        if known.is_some_and(|known| sequence_of(&known.digest) > sequence_of(own)) {
            return;
        }
        let before = known.map_or(0, |known| known.deltas);
        let confirmed = ConfirmedDigest {
            digest: own.clone(),
            deltas: if is_full { 0 } else { before + 1 },
        };
        self.peers.insert(peer.clone(), confirmed);
    }

    /// Discards the confirmed digest of `peer`, which gets a full digest next.
    pub fn forget(&mut self, peer: &HostName) {
        self.peers.remove(peer);
    }

    /// Drops the state of all peers but these.
    pub fn retain(&mut self, peers: &[HostName]) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }
}

fn sequence_of(digest: &PeerDigest) -> u64 {
    digest.policy.as_ref().map_or(0, |policy| policy.sequence)
}
