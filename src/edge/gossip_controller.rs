//! Exchanges gossip with other hosts several times a second.
//!
//! In a small fleet every host gossips with every other. In a large one the members of a
//! group report to its leader, which answers with the totals of all other hosts; the
//! leaders exchange the totals of their groups. Correctness does not depend on agreement
//! about the leader: a host that receives reports acts as a leader, and a host whose
//! leader does not answer reports to the next candidate.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use super::fleet_role::FleetRole;
use super::gossip_builder::MessageOptions;
use super::gossip_merge::merge_members;
use super::gossip_merge::merge_message;
use super::path_exchange::PATH_REPORT_PERIOD;
use super::path_exchange::PathExchange;
use super::view_fetcher::PeerViewState;
use super::view_fetcher::ViewFetcher;
use super::view_logger::ViewLogger;
use crate::clock::boot_now;
use crate::ids::HostName;
use crate::logs::DecisionLine;
use crate::members::CallInitiator;
use crate::members::DuePeer;
use crate::members::GossipPeer;
use crate::members::GroupLayout;
use crate::peers::PeerCall;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::quota::UsageScope;

/// Period at which a small fleet checks for due peers and sends changed loads.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// The same period until this host has received a view from a peer or the store.
const BOOTSTRAP_PERIOD: Duration = Duration::from_millis(25);
/// The same period in a large fleet.
const GROUP_PERIOD: Duration = Duration::from_millis(200);
/// Number of periods after which peers gossip without a change of load, as a heartbeat.
const HEARTBEAT_PERIODS: u32 = 4;
/// Period of a member's reports to its leader while requests are waiting. Its part of the
/// slots depends on the demand of all members.
const BUSY_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Period of a member's reports to its leader while its loads don't change.
const IDLE_REPORT_PERIOD: Duration = Duration::from_millis(400);
/// Period at which leaders exchange the totals of their groups.
const LEADER_PERIOD: Duration = Duration::from_millis(500);
/// Time limit for a peer's reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of leader candidates per group to which a member stays connected.
const CONNECTED_CANDIDATES: usize = 2;
/// Number of dead hosts that are probed at a time, and the duration of each probe.
/// Without probes, hosts would not notice that a network partition has healed.
const DEAD_HOST_PROBES: usize = 4;
const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a candidate that did not respond as a leader is skipped.
pub(super) const LEADER_SKIP_TIME: Duration = Duration::from_secs(2);

/// State shared by the exchanges of one host.
struct GossipSender {
    state: Arc<EdgeState>,
    mesh: Arc<PeerMesh>,
    /// Peers whose last exchange failed, sorted.
    failing_peers: Mutex<Vec<HostName>>,
    fetcher: ViewFetcher,
    paths: PathExchange,
}

/// Exchanges gossip until the process ends.
pub(crate) async fn run_gossip(state: Arc<EdgeState>, mesh: Arc<PeerMesh>) {
    let sender = Arc::new(GossipSender {
        fetcher: ViewFetcher::new(Arc::clone(&state), Arc::clone(&mesh)),
        state,
        mesh,
        failing_peers: Mutex::default(),
        paths: PathExchange::default(),
    });
    let mut logger = ViewLogger::default();
    let mut connected_to: Vec<HostName> = Vec::new();
    loop {
        let role = sender.state.role();
        let period = match role.layout.is_grouped() {
            _ if sender.state.view.catalog().is_none() => BOOTSTRAP_PERIOD,
            true if sender.state.needs_peers() => PATH_REPORT_PERIOD,
            true if sender.state.has_waiting() => BUSY_REPORT_PERIOD,
            true => GROUP_PERIOD,
            false => GOSSIP_PERIOD,
        };
        sender.state.wait_for_gossip(period).await;
        let role = sender.state.refresh_role();
        sender.state.probe_paths();
        let mut table = sender.state.queue.lock_table();
        table.expire_shard_spans(boot_now());
        drop(table);
        let connected = sender.mesh.connected_peers();
        logger.log_changes(&sender.state, &connected);
        let peers = sender.choose_peers(&role, &connected);
        sender.refresh_connections(&role, &peers, &mut connected_to);
        sender.call_due_peers(&role, &peers, &connected);
        if role.layout.is_grouped() {
            sender
                .paths
                .exchange(&sender.state, &sender.mesh, &connected);
        }
    }
}

impl GossipSender {
    /// Returns the peers to gossip with.
    fn choose_peers(&self, role: &FleetRole, connected: &[HostName]) -> Vec<GossipPeer> {
        if !role.layout.is_grouped() {
            return mesh_peers(connected);
        }
        if role.is_joining {
            // The seeds list all other hosts.
            return connected.iter().cloned().map(joining_peer).collect();
        }
        let is_usable = |host: &&HostName| {
            connected.binary_search(host).is_ok() && !self.state.is_skipped_leader(host, boot_now())
        };
        match self.state.acts_as_leader(role) {
            true => self.other_leaders(&role.layout, is_usable),
            false => {
                let leader = self.state.usable_leader(role, connected);
                let interval = match self.state.has_waiting() {
                    true => BUSY_REPORT_PERIOD,
                    false => GROUP_PERIOD,
                };
                let leader = leader.map(|host| leader_peer(host, interval));
                leader.into_iter().collect()
            }
        }
    }

    /// Returns the leaders of all other groups.
    fn other_leaders(
        &self,
        layout: &GroupLayout,
        is_usable: impl Fn(&&HostName) -> bool,
    ) -> Vec<GossipPeer> {
        let groups = (0..layout.group_count()).filter(|group| *group != layout.own_group());
        let leaders = groups.filter_map(|group| {
            let candidates = layout.leader_candidates(group);
            candidates
                .into_iter()
                .take(CONNECTED_CANDIDATES)
                .find(&is_usable)
        });
        let peers = leaders.cloned().map(|host| GossipPeer {
            host,
            active_interval: LEADER_PERIOD,
            idle_interval: LEADER_PERIOD,
            initiator: CallInitiator::Alternating,
            sends_loads: true,
        });
        peers.collect()
    }

    /// Maintains connections to the peers that this host calls or may have to call.
    fn refresh_connections(
        &self,
        role: &FleetRole,
        peers: &[GossipPeer],
        connected_to: &mut Vec<HostName>,
    ) {
        let now = boot_now();
        let mut wanted = match role.layout.is_grouped() {
            true => self.group_connections(role),
            false if role.is_joining => Vec::new(),
            false => self.mesh_connections(now),
        };
        wanted.extend(self.state.forward_peers(now));
        // Forwarded requests run on after the path is back.
        wanted.extend(self.state.forwards.peers());
        let members = self.state.members();
        let offset = (now.as_millis() / DEAD_PROBE_PERIOD.as_millis()) as usize * DEAD_HOST_PROBES;
        wanted.extend(members.dead_names(offset, DEAD_HOST_PROBES, now));
        wanted.extend(peers.iter().map(|peer| peer.host.clone()));
        wanted.retain(|host| *host != self.state.startup.host);
        wanted.sort();
        wanted.dedup();
        let is_peer = |host: &str| {
            let found = wanted.binary_search_by(|name| name.as_str().cmp(host));
            found.is_ok() || !role.layout.is_grouped()
        };
        self.state.gossip_schedule().retain(is_peer, now);
        // In a large fleet each seed would have a connection to every host.
        let needs_seeds = !role.layout.is_grouped() || role.is_joining || peers.is_empty();
        let seeds = match needs_seeds {
            true => self.state.other_seeds(),
            false => Vec::new(),
        };
        if wanted == *connected_to && *self.mesh.seeds() == seeds {
            return;
        }
        let address_of = |host: &HostName| Some((host.clone(), members.address_of(host)?));
        let addresses: Vec<_> = wanted.iter().filter_map(address_of).collect();
        drop(members);
        self.mesh.set_seeds(seeds);
        self.mesh.set_peers(&addresses);
        *connected_to = wanted;
    }

    /// Returns the hosts of a small fleet to which connections are maintained.
    fn mesh_connections(&self, now: Duration) -> Vec<HostName> {
        let live = self.state.members().live_names(now);
        let mut schedule = self.state.gossip_schedule();
        schedule.wanted_connections(live.iter(), now)
    }

    fn group_connections(&self, role: &FleetRole) -> Vec<HostName> {
        let layout = &role.layout;
        let groups = match self.state.acts_as_leader(role) {
            true => 0..layout.group_count(),
            false => layout.own_group()..layout.own_group() + 1,
        };
        let mut wanted = Vec::new();
        for group in groups {
            let candidates = layout.leader_candidates(group).into_iter();
            wanted.extend(candidates.take(CONNECTED_CANDIDATES).cloned());
        }
        wanted
    }

    /// Starts an exchange with each peer that is due.
    fn call_due_peers(
        self: &Arc<Self>,
        role: &FleetRole,
        peers: &[GossipPeer],
        connected: &[HostName],
    ) {
        let now = boot_now();
        let version = self.state.load_version();
        let scope = match self.state.acts_as_leader(role) {
            true => UsageScope::Group,
            false => UsageScope::Host,
        };
        if scope == UsageScope::Group {
            self.state.update_shards(&role.layout.own_share(), now);
            self.state.grant_own_slots(now);
        }
        let due = self.state.gossip_schedule().due(peers, version, now);
        let due = due.into_iter();
        for peer in due.filter(|peer| connected.binary_search(&peer.host).is_ok()) {
            self.state
                .gossip_schedule()
                .record_call_start(&peer.host, now);
            task::spawn(Arc::clone(self).call(peer, scope));
        }
    }

    /// Performs one exchange.
    async fn call(self: Arc<Self>, peer: DuePeer, scope: UsageScope) {
        let started_at = boot_now();
        let since = self.state.gossip_schedule().last_exchange(&peer.host);
        let (message, version) = self.state.build_message(MessageOptions {
            receiver: &peer.host,
            scope: Some(scope),
            with_loads: peer.sends_loads,
            is_new: peer.is_first_exchange,
            peer_hosts: self.state.peer_host_count(&peer.host),
            since,
        });
        let call = PeerCall::Gossip(Box::new(message));
        let reply = self.mesh.call(&peer.host, call, CALL_TIMEOUT).await;
        // A peer that does not answer is also removed from the list of connected peers.
        let mut received = match reply {
            Ok(PeerReply::Gossip(received)) => received,
            Ok(_) => return self.fail_exchange(&peer.host, "unexpected reply"),
            Err(error) => return self.fail_exchange(&peer.host, &error.to_string()),
        };
        self.record_success(&peer.host);
        let history_gap = Duration::from_millis(received.history_gap_ms);
        self.state
            .gossip_schedule()
            .record_call_end(&peer.host, Some(version));
        if self.state.role().is_grouped_member() && received.scope.is_none() {
            // The peer is not a leader: it is joining or leaving, or has another view of
            // the members.
            self.state
                .skip_leader(&peer.host, boot_now() + LEADER_SKIP_TIME);
        }
        let update = received.update.take();
        let peer_view = PeerViewState::of(&received);
        let is_usable = match (scope, received.scope) {
            // A leader's totals of all other hosts are valid only for hosts that report
            // to it.
            (UsageScope::Host, Some(UsageScope::Fleet)) => self.state.role().is_grouped_member(),
            (sent, answered) => answered == Some(sent),
        };
        match is_usable {
            true => merge_message(&self.state, *received),
            false => merge_members(&self.state, &received),
        }
        self.state.record_answer(history_gap);
        // The age is applied before the view. Entries that are missing from the view may
        // only have expired because the store was unavailable, and the age tells whether
        // it was.
        self.apply_view_state(peer_view, started_at);
        if let Some(update) = update {
            self.fetcher.apply_update(*update, &peer.host);
        }
        self.fetcher.catch_up(&peer.host, peer_view).await;
        // The age is valid only for the versions that this host holds, which may be newer
        // now.
        self.apply_view_state(peer_view, started_at);
    }

    /// Ends a failed exchange and skips the peer as a leader for a while.
    fn fail_exchange(&self, peer: &HostName, reason: &str) {
        let state = &self.state;
        state.gossip_schedule().record_call_end(peer, None);
        state.skip_leader(peer, boot_now() + LEADER_SKIP_TIME);
        let mut failing_peers = self.failing_peers();
        if let Err(index) = failing_peers.binary_search(peer) {
            failing_peers.insert(index, peer.clone());
            state.log.write(&DecisionLine::GossipFailed {
                peer: peer.clone(),
                reason: reason.to_owned(),
                view_age_ms: state.view_age_ms(),
            });
        }
    }

    /// Records a successful exchange.
    fn record_success(&self, peer: &HostName) {
        let mut failing_peers = self.failing_peers();
        if let Ok(index) = failing_peers.binary_search(peer) {
            let peer = failing_peers.remove(index);
            self.state.log.write(&DecisionLine::GossipBack { peer });
        }
    }

    fn failing_peers(&self) -> MutexGuard<'_, Vec<HostName>> {
        self.failing_peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a peer's report on how recent its view is.
    ///
    /// The peer measured the age after the call started, so its view matched the store at
    /// the resulting time or later.
    fn apply_view_state(&self, peer_view: PeerViewState, started_at: Duration) {
        let view = &self.state.view;
        let confirmed_at = |age_ms: u64| started_at.saturating_sub(Duration::from_millis(age_ms));
        if let Some(age) = peer_view.evidence_age_ms {
            view.confirm_catalog(peer_view.catalog, confirmed_at(age), boot_now());
        }
        view.update_catalog_revision(peer_view.catalog, peer_view.catalog_revision);
        if let Some(age) = peer_view.view_age_ms {
            view.confirm_view(peer_view.revision, confirmed_at(age));
        }
    }
}

fn mesh_peers(connected: &[HostName]) -> Vec<GossipPeer> {
    let peers = connected.iter().cloned();
    let peers = peers.map(|host| GossipPeer {
        host,
        active_interval: GOSSIP_PERIOD,
        idle_interval: GOSSIP_PERIOD * HEARTBEAT_PERIODS,
        initiator: CallInitiator::ByHash,
        sends_loads: true,
    });
    peers.collect()
}

fn joining_peer(host: HostName) -> GossipPeer {
    GossipPeer {
        host,
        active_interval: IDLE_REPORT_PERIOD,
        idle_interval: IDLE_REPORT_PERIOD,
        initiator: CallInitiator::Local,
        sends_loads: false,
    }
}

fn leader_peer(host: HostName, active_interval: Duration) -> GossipPeer {
    GossipPeer {
        host,
        active_interval,
        idle_interval: IDLE_REPORT_PERIOD,
        initiator: CallInitiator::Local,
        sends_loads: true,
    }
}
