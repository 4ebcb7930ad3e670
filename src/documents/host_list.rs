//! The platform's list of hosts, which lags behind their actual states.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::TargetState;
use crate::ids::UnixMillis;

/// A snapshot of the host states known to the platform, possibly well out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// The time of the snapshot.
    pub taken_ms: UnixMillis,
    /// The entry hosts and targets.
    pub hosts: Vec<ListedHost>,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The name of a target or an entry host.
    pub name: String,
    /// The state reported by the platform.
    pub state: TargetState,
}
