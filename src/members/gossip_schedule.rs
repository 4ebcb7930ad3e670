//! Which peers to gossip with, and when.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::HostName;
use crate::sorted::SortedMap;

/// Which loads a host runs: it rises with each change of them.
pub type LoadVersion = u64;

/// By how much longer the side that is not to call waits before it calls itself: its calls
/// may get through where those of the other side don't.
const OTHER_SIDE_FACTOR: f64 = 1.5;
/// How long the side that doesn't call waits for a new member's call before it connects
/// by itself: longer than a new member needs to be known.
const FIRST_PATIENCE: Duration = Duration::from_millis(400);
/// How long it waits for a member that has called before.
const LINK_PATIENCE: Duration = Duration::from_millis(2500);

/// Which side of a pair calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallInitiator {
    /// This host, always: a member of a group calls its leader.
    Local,
    /// One side, by the hash of both names: a pair uses one connection.
    ByHash,
    /// The side that did not call last. Only an answer says how old the view of the
    /// platform is, so both sides must get some.
    Alternating,
}

/// A peer to gossip with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipPeer {
    /// The peer.
    pub host: HostName,
    /// How often, while the loads of this host change.
    pub active_interval: Duration,
    /// How often otherwise.
    pub idle_interval: Duration,
    /// Which side calls.
    pub initiator: CallInitiator,
    /// Whether it gets the loads of this host.
    pub sends_loads: bool,
}

/// A peer that is to be called now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DuePeer {
    /// The peer.
    pub host: HostName,
    /// Whether it gets the loads of this host.
    pub sends_loads: bool,
    /// Whether nothing was exchanged with it before.
    pub is_first_exchange: bool,
}

#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// When the last exchange started, or the peer was first known.
    at: Duration,
    /// The loads that it was sent, `None` before the first ones.
    sent: Option<LoadVersion>,
    /// Whether a call of this host is on its way.
    running: bool,
    /// Whether this host called last.
    called_last: bool,
    /// Whether the peer is to be called as soon as possible.
    urgent: bool,
    /// When the last exchange that succeeded started.
    exchanged: Option<Duration>,
}

/// Which peers to gossip with, and when. One call serves both sides.
#[derive(Debug)]
pub struct GossipSchedule {
    own: HostName,
    peers: SortedMap<HostName, PeerState>,
}

impl GossipSchedule {
    /// Makes the schedule of this host.
    pub const fn new(own: HostName) -> Self {
        Self {
            own,
            peers: SortedMap::new(),
        }
    }

    /// Tells whether this host is the one of the pair that calls.
    pub fn calls_by_hash(&self, peer: &str) -> bool {
        let (low, high) = match self.own.as_str() < peer {
            true => (self.own.as_str(), peer),
            false => (peer, self.own.as_str()),
        };
        let odd = (xxh3_64(low.as_bytes()) ^ xxh3_64(high.as_bytes()).rotate_left(1)) & 1 == 1;
        (low == self.own) == odd
    }

    /// Returns the members of a full mesh to which a connection is kept up: those that this
    /// host calls, and those that should have called and did not.
    pub fn wanted_connections<'a>(
        &mut self,
        members: impl Iterator<Item = &'a HostName>,
        now: Duration,
    ) -> Vec<HostName> {
        let wanted = members.filter(|host| {
            let peer = self.peer_state(host, now);
            let patience = match peer.sent {
                Some(_) => LINK_PATIENCE,
                None => FIRST_PATIENCE,
            };
            let overdue = now.saturating_sub(peer.at) >= patience;
            overdue || self.calls_by_hash(host)
        });
        wanted.cloned().collect()
    }

    /// Returns the peers that are to be called now by a host that runs `loads`.
    pub fn due(&mut self, peers: &[GossipPeer], loads: LoadVersion, now: Duration) -> Vec<DuePeer> {
        let mut due = Vec::new();
        for peer in peers {
            let state = *self.peer_state(&peer.host, now);
            let wait = match state.sent {
                None => Duration::ZERO,
                Some(sent) if sent == loads => peer.idle_interval,
                Some(_) => peer.active_interval,
            };
            let calls = match peer.initiator {
                CallInitiator::Local => true,
                CallInitiator::ByHash => self.calls_by_hash(&peer.host),
                CallInitiator::Alternating => !state.called_last,
            };
            let wait = match calls {
                _ if state.urgent => Duration::ZERO,
                true => wait,
                false => wait.mul_f64(OTHER_SIDE_FACTOR),
            };
            if !state.running && now.saturating_sub(state.at) >= wait {
                due.push(DuePeer {
                    host: peer.host.clone(),
                    sends_loads: peer.sends_loads,
                    is_first_exchange: state.sent.is_none(),
                });
            }
        }
        due
    }

    /// Tells whether nothing was exchanged with the peer before.
    pub fn is_new(&self, peer: &str) -> bool {
        let state = self.peers.get(peer);
        state.is_none_or(|state| state.sent.is_none())
    }

    /// Notes that a call to the peer starts.
    pub fn record_call_start(&mut self, peer: &str, now: Duration) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.running = true;
            state.called_last = true;
            state.urgent = false;
            state.at = now;
        }
    }

    /// Notes that the call to the peer has ended, and the loads that it was sent if it
    /// answered.
    pub fn record_call_end(&mut self, peer: &str, sent: Option<LoadVersion>) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.running = false;
            state.sent = sent.or(state.sent);
            state.exchanged = sent.map_or(state.exchanged, |_| Some(state.at));
        }
    }

    /// Notes that a call of the peer was answered, and the loads that it was sent.
    pub fn record_answered_call(&mut self, peer: &str, sent: LoadVersion, now: Duration) {
        let state = self.peer_state(peer, now);
        // That the peer calls again shows that it got the answer before.
        state.exchanged = state.sent.map(|_| state.at);
        state.at = now;
        state.called_last = false;
        state.sent = Some(sent);
    }

    /// Returns when the last exchange started in which the peer got what this host tells.
    pub fn last_exchange(&self, peer: &str) -> Option<Duration> {
        self.peers.get(peer)?.exchanged
    }

    /// Has a peer called as soon as possible: it knows more than this host.
    pub fn expedite(&mut self, peer: &str) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.urgent = true;
        }
    }

    /// Has all peers called as soon as possible: this host knows more than they do.
    pub fn expedite_all(&mut self) {
        for (_, state) in self.peers.iter_mut() {
            state.urgent = true;
        }
    }

    /// Forgets hosts that are no peers any more.
    pub fn retain(&mut self, is_peer: impl Fn(&str) -> bool) {
        self.peers.retain(|host, _| is_peer(host));
    }

    fn peer_state(&mut self, host: &str, now: Duration) -> &mut PeerState {
        self.peers
            .get_or_insert_with(host.to_owned(), || PeerState {
                at: now,
                sent: None,
                running: false,
                called_last: false,
                urgent: false,
                exchanged: None,
            })
    }
}
