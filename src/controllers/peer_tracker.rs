//! Which peers are connected, and what changed since the last look.

use crate::ids::HostName;
use crate::logs::StateChange;
use crate::peers::LinkStatus;

/// The peers that were connected at the last look.
#[derive(Debug, Default)]
pub struct PeerTracker {
    connected: Vec<HostName>,
}

impl PeerTracker {
    /// Takes how the links stand now and returns what changed. A peer that the
    /// roster no longer names has left and is not told as lost.
    pub fn update(&mut self, links: &[LinkStatus]) -> Vec<StateChange> {
        let mut now: Vec<HostName> = links
            .iter()
            .filter(|link| link.connected)
            .filter_map(|link| link.host.clone())
            .collect();
        now.sort();
        now.dedup();
        let came = now
            .iter()
            .filter(|host| self.connected.binary_search(host).is_err())
            .map(|host| StateChange::PeerConnected { host: host.clone() });
        let went = self
            .connected
            .iter()
            .filter(|host| now.binary_search(host).is_err())
            .filter_map(|host| lost_change(host, links));
        let changes = came.chain(went).collect();
        self.connected = now;
        changes
    }
}

fn lost_change(host: &HostName, links: &[LinkStatus]) -> Option<StateChange> {
    let link = links.iter().find(|link| link.host.as_ref() == Some(host))?;
    let reason = link
        .last_error
        .as_ref()
        .map_or_else(String::new, ToString::to_string);
    let host = host.clone();
    Some(StateChange::PeerLost { host, reason })
}
