//! Timing of gossip calls to peers.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::HostName;
use crate::sorted::SortedMap;

/// Version of a host's loads; it increases with each change.
pub type LoadVersion = u64;

/// Factor on the call interval after which the passive host of a pair calls the other host
/// itself: its calls may succeed when calls in the other direction fail.
const PASSIVE_FACTOR: f64 = 1.5;
/// How long the passive host waits for the first call of a new member before it connects to the
/// member itself. It is longer than a new member needs to become known.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a host that called is remembered without another call. Hosts report to their leader
/// at least every 400 ms.
const CALLER_TTL: Duration = Duration::from_millis(3000);
/// How long it waits for a call of a member with which it has exchanged messages before.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Which host of a pair starts the calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallInitiator {
    /// Always this host, as when a member calls its group's leader.
    Local,
    /// One host of the pair, selected by the hash of both names so that a pair needs only one
    /// connection.
    ByHash,
    /// The host that did not make the previous call. Only answers carry a usable age of the
    /// view, so both hosts must receive some.
    Alternating,
}

/// A peer to gossip with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipPeer {
    /// Name of the peer.
    pub host: HostName,
    /// Call interval while the loads of this host change.
    pub active_interval: Duration,
    /// Call interval otherwise.
    pub idle_interval: Duration,
    /// Which host starts the calls.
    pub initiator: CallInitiator,
    /// Whether it gets the loads of this host.
    pub sends_loads: bool,
}

/// A peer whose next call is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DuePeer {
    /// Name of the peer.
    pub host: HostName,
    /// Whether it gets the loads of this host.
    pub sends_loads: bool,
    /// Whether there was no exchange with it before.
    pub is_first_exchange: bool,
}

#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// When the last exchange started, or when the peer became known.
    started_at: Duration,
    /// Version of the loads last sent to it; `None` before the first exchange.
    sent_version: Option<LoadVersion>,
    /// Whether a call of this host is in progress.
    in_progress: bool,
    /// Whether this host made the last call.
    called_last: bool,
    /// Whether to call the peer as soon as possible.
    urgent: bool,
    /// Whether the peer has answered a call of this host.
    has_answered: bool,
    /// When the last successful exchange started.
    last_success: Option<Duration>,
}

/// Timing of gossip calls to peers. One call updates both hosts.
#[derive(Debug)]
pub struct GossipSchedule {
    own: HostName,
    peers: SortedMap<HostName, PeerState>,
}

impl GossipSchedule {
    /// Creates the schedule of host `own`.
    pub const fn new(own: HostName) -> Self {
        Self {
            own,
            peers: SortedMap::new(),
        }
    }

    /// Returns whether this host starts the calls in a pair with `peer`, by the hash of both
    /// names.
    pub fn calls_by_hash(&self, peer: &str) -> bool {
        let (low, high) = match self.own.as_str() < peer {
            true => (self.own.as_str(), peer),
            false => (peer, self.own.as_str()),
        };
        let odd = (xxh3_64(low.as_bytes()) ^ xxh3_64(high.as_bytes()).rotate_left(1)) & 1 == 1;
        (low == self.own) == odd
    }

    /// Returns the members of a full mesh to which a connection is maintained: those that this
    /// host calls, and those whose call is overdue.
    pub fn wanted_connections<'a>(
        &mut self,
        members: impl Iterator<Item = &'a HostName>,
        now: Duration,
    ) -> Vec<HostName> {
        let wanted = members.filter(|host| {
            let peer = self.peer_state(host, now);
            let timeout = match peer.sent_version {
                Some(_) => CALL_TIMEOUT,
                None => FIRST_CALL_TIMEOUT,
            };
            let overdue = now.saturating_sub(peer.started_at) >= timeout;
            overdue || self.calls_by_hash(host)
        });
        wanted.cloned().collect()
    }

    /// Returns the peers to call now, where `loads` is the current version of this host's
    /// loads.
    pub fn due(&mut self, peers: &[GossipPeer], loads: LoadVersion, now: Duration) -> Vec<DuePeer> {
        let mut due = Vec::new();
        for peer in peers {
            let state = *self.peer_state(&peer.host, now);
            let interval = match state.sent_version {
                // Only an answer lists all that a peer knows. In its own calls, a peer that did not
                // notice the restart of this host lists the changes since its last message.
                _ if !state.has_answered => Duration::ZERO,
                None => Duration::ZERO,
                Some(version) if version == loads => peer.idle_interval,
                Some(_) => peer.active_interval,
            };
            let calls = match peer.initiator {
                CallInitiator::Local => true,
                CallInitiator::ByHash => self.calls_by_hash(&peer.host),
                CallInitiator::Alternating => !state.called_last,
            };
            let interval = match calls {
                _ if state.urgent => Duration::ZERO,
                true => interval,
                false => interval.mul_f64(PASSIVE_FACTOR),
            };
            if !state.in_progress && now.saturating_sub(state.started_at) >= interval {
                due.push(DuePeer {
                    host: peer.host.clone(),
                    sends_loads: peer.sends_loads,
                    is_first_exchange: state.sent_version.is_none(),
                });
            }
        }
        due
    }

    /// Returns whether there was no exchange with the peer before.
    pub fn is_new(&self, peer: &str) -> bool {
        let state = self.peers.get(peer);
        state.is_none_or(|state| state.sent_version.is_none())
    }

    /// Records the start of a call to the peer.
    pub fn record_call_start(&mut self, peer: &str, now: Duration) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.in_progress = true;
            state.called_last = true;
            state.urgent = false;
            state.started_at = now;
        }
    }

    /// Records the end of a call to the peer, with the version of the loads sent if it
    /// answered.
    pub fn record_call_end(&mut self, peer: &str, sent: Option<LoadVersion>) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.in_progress = false;
            state.sent_version = sent.or(state.sent_version);
            state.has_answered |= sent.is_some();
            state.last_success = sent.map_or(state.last_success, |_| Some(state.started_at));
        }
    }

    /// Records that a call of the peer was answered, with the version of the loads sent.
    pub fn record_answered_call(&mut self, peer: &str, sent: LoadVersion, now: Duration) {
        let state = self.peer_state(peer, now);
        // The new call shows that the peer received the previous answer.
        state.last_success = state.sent_version.map(|_| state.started_at);
        state.started_at = now;
        state.called_last = false;
        state.sent_version = Some(sent);
    }

    /// Returns the start of the last exchange in which the peer received this host's message.
    pub fn last_exchange(&self, peer: &str) -> Option<Duration> {
        self.peers.get(peer)?.last_success
    }

    /// Schedules a call to a peer as soon as possible, because it has newer data than this
    /// host.
    pub fn expedite(&mut self, peer: &str) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.urgent = true;
        }
    }

    /// Schedules calls to all peers as soon as possible, because this host has newer data than
    /// they do.
    pub fn expedite_all(&mut self) {
        for (_, state) in self.peers.iter_mut() {
            state.urgent = true;
        }
    }

    /// Removes hosts that are no longer peers, except those that called recently: a leader does
    /// not choose the hosts that report to it as peers. Each report would otherwise look like a
    /// first one, whose answer lists everything.
    pub fn retain(&mut self, is_peer: impl Fn(&str) -> bool, now: Duration) {
        self.peers.retain(|host, state| {
            let is_caller = !state.called_last && state.sent_version.is_some();
            let elapsed = now.saturating_sub(state.started_at);
            is_peer(host) || is_caller && elapsed < CALLER_TTL
        });
    }

    fn peer_state(&mut self, host: &str, now: Duration) -> &mut PeerState {
        self.peers
            .get_or_insert_with(host.to_owned(), || PeerState {
                started_at: now,
                sent_version: None,
                in_progress: false,
                called_last: false,
                urgent: false,
                has_answered: false,
                last_success: None,
            })
    }
}
