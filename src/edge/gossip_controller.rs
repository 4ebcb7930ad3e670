//! Gossips with the other hosts, several times a second.
//!
//! In a small fleet each host does so with all others. In a large one the members of a
//! group report to its leader, which answers with the sums of all other hosts; leaders
//! exchange the sums of their groups. Nothing depends on who leads: a host that is reported
//! to acts as a leader, and one whose leader does not answer reports to the next one.

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

/// How often due peers are looked for in a small fleet, and loads that changed are sent.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// The same until a peer, or the store, has given this host a view.
const BOOTSTRAP_PERIOD: Duration = Duration::from_millis(25);
/// The same in a large fleet.
const GROUP_PERIOD: Duration = Duration::from_millis(200);
/// After how many periods peers gossip though no load changed: a heartbeat.
const HEARTBEAT_PERIODS: u32 = 4;
/// How often a member reports to its leader while requests wait: its part of the slots is
/// worked out by what all members want.
const BUSY_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// How often a member whose loads don't change reports to its leader.
const QUIET_REPORT_PERIOD: Duration = Duration::from_millis(400);
/// How often leaders exchange the sums of their groups.
const LEADER_PERIOD: Duration = Duration::from_millis(500);
/// How long a peer may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How many of a group's candidates a member keeps connections to.
const CONNECTED_CANDIDATES: usize = 2;
/// How many dead hosts a host tries to reach at a time, and for how long: a cut that heals
/// must be noticed.
const DEAD_HOST_PROBES: usize = 4;
const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(2);
/// How long a candidate that did not answer as a leader is passed over.
const LEADER_SKIP_TIME: Duration = Duration::from_secs(2);

/// What the exchanges of one host share.
struct GossipSender {
    state: Arc<EdgeState>,
    mesh: Arc<PeerMesh>,
    /// Peers whose last exchange failed, sorted.
    failing: Mutex<Vec<HostName>>,
    fetcher: ViewFetcher,
}

/// Gossips until the process ends.
pub(crate) async fn run_gossip(state: Arc<EdgeState>, mesh: Arc<PeerMesh>) {
    let sender = Arc::new(GossipSender {
        fetcher: ViewFetcher::new(Arc::clone(&state), Arc::clone(&mesh)),
        state,
        mesh,
        failing: Mutex::default(),
    });
    let mut logger = ViewLogger::default();
    let mut linked: Vec<HostName> = Vec::new();
    loop {
        let role = sender.state.role();
        task::sleep(match role.layout.is_grouped() {
            _ if sender.state.view.catalog().is_none() => BOOTSTRAP_PERIOD,
            true if sender.state.has_waiting() => BUSY_REPORT_PERIOD,
            true => GROUP_PERIOD,
            false => GOSSIP_PERIOD,
        })
        .await;
        let role = sender.state.refresh_role();
        let connected = sender.mesh.connected_peers();
        logger.look(&sender.state, &connected);
        let peers = sender.choose_peers(&role, &connected);
        sender.refresh_connections(&role, &peers, &mut linked);
        sender.call_due_peers(&role, &peers, &connected);
    }
}

impl GossipSender {
    /// Returns the peers to gossip with.
    fn choose_peers(&self, role: &FleetRole, connected: &[HostName]) -> Vec<GossipPeer> {
        if !role.layout.is_grouped() {
            return mesh_peers(connected);
        }
        if role.is_joining {
            // Seeds name all others.
            return connected.iter().cloned().map(joining_peer).collect();
        }
        let is_usable = |host: &&HostName| {
            connected.binary_search(host).is_ok() && !self.state.is_skipped_leader(host, boot_now())
        };
        match self.state.acts_as_leader(role) {
            true => self.other_leaders(&role.layout, is_usable),
            false => {
                let candidates = role.layout.leader_candidates(role.layout.own_group());
                let leader = candidates.into_iter().find(is_usable);
                let busy = match self.state.has_waiting() {
                    true => BUSY_REPORT_PERIOD,
                    false => GROUP_PERIOD,
                };
                let leader = leader.cloned().map(|host| leader_peer(host, busy));
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

    /// Keeps connections to those that this host calls, or may have to.
    fn refresh_connections(
        &self,
        role: &FleetRole,
        peers: &[GossipPeer],
        linked: &mut Vec<HostName>,
    ) {
        let now = boot_now();
        let settings = self.state.settings.load();
        let mut wanted = match role.layout.is_grouped() {
            true => self.group_connections(role),
            false if role.is_joining => Vec::new(),
            false => self.mesh_connections(now),
        };
        let members = self.state.members();
        let turn = (now.as_millis() / DEAD_PROBE_PERIOD.as_millis()) as usize * DEAD_HOST_PROBES;
        wanted.extend(members.dead_names(turn, DEAD_HOST_PROBES, now));
        wanted.extend(peers.iter().map(|peer| peer.host.clone()));
        wanted.retain(|host| *host != settings.host);
        wanted.sort();
        wanted.dedup();
        self.state
            .gossip_schedule()
            .retain(|host| wanted.iter().any(|name| name == host) || !role.layout.is_grouped());
        let needs_seeds = !role.layout.is_grouped() || role.is_joining || peers.is_empty();
        if wanted == *linked && self.mesh.keeps_seeds() == needs_seeds {
            return;
        }
        let address_of = |host: &HostName| Some((host.clone(), members.address_of(host)?));
        let addresses: Vec<_> = wanted.iter().filter_map(address_of).collect();
        drop(members);
        self.mesh.keep_seeds(needs_seeds);
        self.mesh.set_peers(&addresses);
        *linked = wanted;
    }

    /// Returns the hosts of a small fleet to which connections are kept up.
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

    /// Calls the peers that are due.
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
            self.grant_own_slots(now);
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

    /// Divides the slots of the shard for this host itself, as for those that report to it.
    fn grant_own_slots(&self, now: Duration) {
        let host = self.state.settings.load().host.clone();
        let demands = self.state.queue.lock_table().slot_demands();
        self.state.slot_grants().update_demands(&host, demands, now);
        let grants = self.state.grant_slots(&host, now);
        self.state.queue.lock_table().set_grants(grants, now);
    }

    /// Makes one exchange.
    async fn call(self: Arc<Self>, peer: DuePeer, scope: UsageScope) {
        let begun = boot_now();
        let since = self.state.gossip_schedule().last_exchange(&peer.host);
        let (message, version) = self.state.build_message(MessageOptions {
            receiver: &peer.host,
            scope: Some(scope),
            near: peer.sends_loads,
            new: peer.is_first_exchange,
            peer_hosts: self.state.peer_host_count(&peer.host),
            since,
        });
        let call = PeerCall::Gossip(Box::new(message));
        let reply = self.mesh.call(&peer.host, call, CALL_TIMEOUT).await;
        // A peer that doesn't answer shows in the list of those that can be called.
        let mut received = match reply {
            Ok(PeerReply::Gossip(received)) => received,
            Ok(_) => return self.fail_exchange(&peer.host, "another reply"),
            Err(error) => return self.fail_exchange(&peer.host, &error.to_string()),
        };
        self.record_success(&peer.host);
        self.state
            .gossip_schedule()
            .record_call_end(&peer.host, Some(version));
        if self.state.role().is_grouped_member() && received.scope.is_none() {
            // It is no leader: it joins or leaves, or knows other hosts.
            self.state
                .skip_leader(&peer.host, boot_now() + LEADER_SKIP_TIME);
        }
        let update = received.update.take();
        let mark = PeerViewState::of(&received);
        let is_usable = match (scope, received.scope) {
            // A leader's word for all others counts for those that report to it.
            (UsageScope::Host, Some(UsageScope::Fleet)) => self.state.role().is_grouped_member(),
            (sent, answered) => answered == Some(sent),
        };
        match is_usable {
            true => merge_message(&self.state, *received),
            false => merge_members(&self.state, &received),
        }
        // The age comes before the view: what the view lacks may have lapsed only
        // because the store was away, and the age says whether it was.
        self.record_view_state(mark, begun);
        if let Some(update) = update {
            self.fetcher.take_update(*update, &peer.host);
        }
        self.fetcher.catch_up(&peer.host, mark).await;
        // It counts only for what is held, which may be more now.
        self.record_view_state(mark, begun);
    }

    /// Ends an exchange that failed, and passes the peer over for a while.
    fn fail_exchange(&self, peer: &HostName, reason: &str) {
        let state = &self.state;
        state.gossip_schedule().record_call_end(peer, None);
        state.skip_leader(peer, boot_now() + LEADER_SKIP_TIME);
        let mut failing = self.failing();
        if let Err(index) = failing.binary_search(peer) {
            failing.insert(index, peer.clone());
            state.log.write(&DecisionLine::GossipFailed {
                peer: peer.clone(),
                reason: reason.to_owned(),
                view_age_ms: state.view_age_ms(),
            });
        }
    }

    /// Notes that an exchange succeeded.
    fn record_success(&self, peer: &HostName) {
        let mut failing = self.failing();
        if let Ok(index) = failing.binary_search(peer) {
            let peer = failing.remove(index);
            self.state.log.write(&DecisionLine::GossipBack { peer });
        }
    }

    fn failing(&self) -> MutexGuard<'_, Vec<HostName>> {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes how young a peer's view is, as it says itself.
    ///
    /// It was given after the call began, so the peer's view was the store's at this
    /// moment or later.
    fn record_view_state(&self, mark: PeerViewState, begun: Duration) {
        let view = &self.state.view;
        let shown = |age_ms: u64| begun.saturating_sub(Duration::from_millis(age_ms));
        if let Some(age) = mark.evidence_age_ms {
            view.confirm_catalog(mark.catalog, shown(age), boot_now());
        }
        view.record_catalog_revision(mark.catalog, mark.catalog_revision);
        if let Some(age) = mark.view_age_ms {
            view.confirm_view(mark.revision, shown(age));
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
        active_interval: QUIET_REPORT_PERIOD,
        idle_interval: QUIET_REPORT_PERIOD,
        initiator: CallInitiator::Local,
        sends_loads: false,
    }
}

fn leader_peer(host: HostName, active_interval: Duration) -> GossipPeer {
    GossipPeer {
        host,
        active_interval,
        idle_interval: QUIET_REPORT_PERIOD,
        initiator: CallInitiator::Local,
        sends_loads: true,
    }
}
