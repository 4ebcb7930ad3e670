//! Selection of the peer that a request is forwarded to.

use super::ReachingPeer;

/// How much more load a peer in this host's own availability zone may have than one in another
/// zone. The latency between zones is small compared to a wait in a full host, as where most of
/// a zone is cut off.
const OWN_ZONE_FACTOR: f64 = 1.5;

/// The share of the peers that must have reported a path before the others are left out. A leader
/// alone, which reports to its whole group, would get the requests of all cut hosts.
const MIN_CERTAIN_SHARE: f64 = 0.25;

/// A peer that may receive a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerCandidate {
    /// The peer and its load, requests that this host forwards to it included.
    pub peer: ReachingPeer,
    /// Whether it is in this host's availability zone.
    pub same_zone: bool,
}

/// Returns the index of the peer for a request; `random` are uniform between 0 and 1.
///
/// Two peers are drawn, one of them in this host's zone if there is any, and the one with less
/// load is chosen: the loads are some hundred milliseconds old, and all hosts without a path
/// would send to the best peer at once. Peers that did not report that they reach targets are
/// chosen only where few did.
pub fn choose_peer(candidates: &[PeerCandidate], random: [f64; 2]) -> Option<usize> {
    let certain = candidates.iter().filter(|held| held.peer.is_certain);
    let is_known = certain.count() as f64 >= candidates.len() as f64 * MIN_CERTAIN_SHARE;
    let is_usable = |index: &usize| candidates[*index].peer.is_certain || !is_known;
    let usable: Vec<usize> = (0..candidates.len()).filter(is_usable).collect();
    let near: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|index| candidates[*index].same_zone)
        .collect();
    let first = draw(if near.is_empty() { &usable } else { &near }, random[0])?;
    let second = draw(&usable, random[1])?;
    let cost = |index: usize| {
        let candidate = &candidates[index];
        let factor = match candidate.same_zone {
            true => 1.0,
            false => OWN_ZONE_FACTOR,
        };
        (f64::from(candidate.peer.load) + 1.0) * factor
    };
    Some(match cost(second) < cost(first) {
        true => second,
        false => first,
    })
}

fn draw(indexes: &[usize], random: f64) -> Option<usize> {
    let position = (random * indexes.len() as f64) as usize;
    indexes
        .get(position.min(indexes.len().saturating_sub(1)))
        .copied()
}
