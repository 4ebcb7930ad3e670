//! Asks peers for their paths to targets while this host's own fail.
//!
//! In a fleet that gossips in groups a host gets the reports of its leader only. One report stands
//! for no other host, and the leader may be cut off as well.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::dispatch::PeerReporting;
use crate::ids::HostName;
use crate::members::hash_host;
use crate::peers::PeerCall;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::sorted::SortedMap;

/// Period at which a host whose paths fail looks for peers that are due.
pub(super) const PATH_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Interval at which each peer is asked, and time limit for its reply.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Number of hosts in the own zone, and in all others, to which a host without a path to targets
/// connects.
const FORWARD_PEERS_PER_ZONE: usize = 8;
const FORWARD_PEERS_ELSEWHERE: usize = 8;
/// Number of these that must fail at a pool before its targets count as lost for all hosts.
const REQUIRED_REPORTS: usize = (FORWARD_PEERS_PER_ZONE + FORWARD_PEERS_ELSEWHERE) / 2;

/// When each peer was asked last.
#[derive(Debug, Default)]
pub(super) struct PathExchange {
    asked: Mutex<SortedMap<HostName, Duration>>,
}

impl PathExchange {
    /// Asks the peers that are due, if any path fails.
    pub(super) fn exchange(
        &self,
        state: &Arc<EdgeState>,
        mesh: &Arc<PeerMesh>,
        connected: &[HostName],
    ) {
        let now = boot_now();
        let mut peers = state.forward_peers(now);
        peers.retain(|host| connected.binary_search(host).is_ok());
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        asked.retain(|_, at| now.saturating_sub(*at) < ASK_INTERVAL);
        peers.retain(|host| !asked.contains_key(host));
        for host in peers {
            asked.insert(host.clone(), now);
            task::spawn(ask_peer(Arc::clone(state), Arc::clone(mesh), host));
        }
    }
}

async fn ask_peer(state: Arc<EdgeState>, mesh: Arc<PeerMesh>, host: HostName) {
    let own = state.queue.lock_table().own_reach(boot_now());
    let reply = mesh.call(&host, PeerCall::Paths(own), ASK_INTERVAL).await;
    // A peer that does not answer has no report, and is no candidate for long.
    if let Ok(PeerReply::Paths(reaches)) = reply {
        state.merge_paths(host, reaches);
    }
}

impl EdgeState {
    /// Returns whether requests are forwarded to peers, or may soon be.
    pub(crate) fn needs_peers(&self) -> bool {
        self.queue.lock_table().needs_peers(boot_now())
    }

    /// Returns the hosts to which requests may be forwarded while a path to targets fails: all of
    /// a small fleet, some of the own zone and of the others in a large one, which differ from
    /// host to host.
    pub(super) fn forward_peers(&self, now: Duration) -> Vec<HostName> {
        if !self.needs_peers() {
            return Vec::new();
        }
        let own = &self.startup;
        let members = self.members();
        let mut live = members.live_names(now);
        let rank = |host: &HostName| hash_host(&format!("{host} {}", own.host));
        live.sort_by_cached_key(rank);
        let is_near = |host: &HostName| members.zone_of(host) == Some(&own.availability_zone);
        let (near, far): (Vec<_>, Vec<_>) = live.into_iter().partition(is_near);
        let near = near.into_iter().take(FORWARD_PEERS_PER_ZONE);
        near.chain(far.into_iter().take(FORWARD_PEERS_ELSEWHERE))
            .collect()
    }
}

/// Returns which of a host's live `peers` report to it.
pub(super) fn peer_reporting(is_grouped: bool, peers: usize) -> PeerReporting {
    match is_grouped {
        true => PeerReporting::Sampled {
            required: REQUIRED_REPORTS.min(peers),
        },
        false => PeerReporting::All,
    }
}
