//! The settings of a policy.

use crate::ids::IncarnationId;

/// The settings of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// The maximum number of requests that wait on this host.
    pub max_waiting: u32,
    /// A random number drawn at the start of the process. A change tells peers that the host
    /// restarted and lost its record of lent slots.
    pub incarnation: IncarnationId,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            max_waiting: 4096,
            incarnation: 1,
        }
    }
}
