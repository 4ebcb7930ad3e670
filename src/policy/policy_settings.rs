//! The settings of a policy.

use crate::ids::IncarnationId;

/// The settings of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// The most requests that may wait on this host.
    pub max_waiting: u32,
    /// This life of the process: random at its start. Peers tell by it that
    /// the host restarted and forgot which slots it had lent.
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
