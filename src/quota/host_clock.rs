//! Clocks of the hosts whose usage reports give times.

use std::time::Duration;

/// Local time minus another host's time, in nanoseconds.
pub(super) type ClockOffset = i64;

/// Clock of another host.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostClock {
    pub(super) offset: ClockOffset,
    /// When its newest report was received.
    pub(super) updated_at: Duration,
}

impl HostClock {
    /// Returns the current time on that host's clock.
    pub(super) fn now(self, now: Duration) -> Duration {
        let nanos = (now.as_nanos() as i64).saturating_sub(self.offset);
        Duration::from_nanos(nanos.max(0) as u64)
    }

    /// Returns whether the host has not reported within `period`.
    pub(super) fn is_older(self, period: Duration, now: Duration) -> bool {
        now.saturating_sub(self.updated_at) > period
    }
}
