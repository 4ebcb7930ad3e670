//! Settings of a roster tracker.

use crate::claim::ClaimRules;
use crate::ids::UnixMillis;

/// The latest id that a process with another clock may have granted before a local
/// event is at most this many skews later than the event: the granting seat's clock may
/// be ahead by one skew, and the id ahead of that clock by another.
const SKEWS_IN_BOUND: u64 = 2;

/// Settings of a roster tracker.
#[derive(Clone, Copy, Debug)]
pub struct TrackerSettings {
    /// The maximum difference between two clocks, in milliseconds.
    pub skew_ms: u64,
    /// The enabled protocol rules.
    pub rules: ClaimRules,
}

impl TrackerSettings {
    /// Returns the latest time of an id that may have been granted before `now`.
    pub(super) const fn bound(self, now: UnixMillis) -> UnixMillis {
        now.saturating_add(SKEWS_IN_BOUND * self.skew_ms)
    }
}

impl Default for TrackerSettings {
    fn default() -> Self {
        Self {
            skew_ms: 500,
            rules: ClaimRules::default(),
        }
    }
}
