//! The platform's lagging list of hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::TargetState;
use crate::ids::UnixMillis;

/// What the platform knew of hosts at one moment, which may lie well in the past.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// When the list was taken.
    pub taken_ms: UnixMillis,
    /// Entry hosts and targets by name.
    pub hosts: Vec<ListedHost>,
}

/// One line of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The name of a target or an entry host.
    pub name: String,
    /// What the platform says of it.
    pub state: TargetState,
}
