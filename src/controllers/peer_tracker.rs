//! Detects changes of the connected peers for the log.

use crate::ids::HostName;
use crate::logs::StateChange;
use crate::peers::LinkStatus;

/// The peers connected at the last update.
#[derive(Debug, Default)]
pub struct PeerTracker {
    connected: Vec<HostName>,
}

impl PeerTracker {
    /// Records the state of the links and returns the changes. A peer that the roster
    /// no longer names has left and is not reported as lost.
    pub fn update(&mut self, links: &[LinkStatus]) -> Vec<StateChange> {
        let mut now: Vec<HostName> = links
            .iter()
            .filter(|link| link.connected)
            .filter_map(|link| link.host.clone())
            .collect();
        now.sort();
        now.dedup();
        let connected_changes = now
            .iter()
            .filter(|host| self.connected.binary_search(host).is_err())
            .map(|host| StateChange::PeerConnected { host: host.clone() });
        let lost_changes = self
            .connected
            .iter()
            .filter(|host| now.binary_search(host).is_err())
            .filter_map(|host| lost_change(host, links));
        let changes = connected_changes.chain(lost_changes).collect();
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
