//! The identity that a host presents to its peers.

use std::fmt;

use crate::ids::HostName;
use crate::settings::HostSettings;

/// The host's name and the key shared by the fleet.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerIdentity {
    /// This host's name.
    pub host: HostName,
    /// The key from the settings.
    pub key: Vec<u8>,
}

impl From<&HostSettings> for PeerIdentity {
    fn from(settings: &HostSettings) -> Self {
        Self {
            host: settings.host.clone(),
            key: settings.peer_key.clone().into_bytes(),
        }
    }
}

impl fmt::Debug for PeerIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not appear in logs.
        formatter
            .debug_struct("PeerIdentity")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}
