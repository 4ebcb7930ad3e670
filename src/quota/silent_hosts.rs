//! Hosts that fell silent and may still be serving callers.

use std::time::Duration;

use super::peer_usage::ESTIMATE_PERIOD;

/// Hosts that did not announce a shutdown and do not count as live any more.
///
/// They may be on the other side of a network partition. The reports of former peers are dropped
/// when the number of live hosts changes the mode of reporting, so silent hosts are counted apart.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilentHosts {
    pub(super) count: usize,
    /// When the first of them was last seen.
    pub(super) last_seen: Duration,
}

/// Numbers of hosts that no report of a peer includes.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingHosts {
    pub(super) silent: usize,
    pub(super) live: usize,
}

impl SilentHosts {
    pub(super) const NONE: Self = Self {
        count: 0,
        last_seen: Duration::MAX,
    };

    /// Returns the silent hosts, given when each was last seen. Those that are away for longer
    /// have been replaced or serve no callers.
    pub(super) fn since(last_seen: &[Duration], now: Duration) -> Self {
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < ESTIMATE_PERIOD;
        let recent = last_seen.iter().filter(is_recent);
        Self {
            count: recent.clone().count(),
            last_seen: recent.min().copied().unwrap_or(Duration::MAX),
        }
    }
}
