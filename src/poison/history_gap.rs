//! Losses that a host may not know of.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long losses from before the start of this host may count that it doesn't know.
///
/// Hosts keep losses in memory only. If all of them restart at the same time, none knows which
/// requests crash targets, and each restart would cost as many targets as the first run of such a
/// request.
#[derive(Debug)]
pub struct HistoryGap {
    /// When such losses no longer count, in milliseconds on the boot clock.
    closed_at: AtomicU64,
}

impl HistoryGap {
    /// Opens a gap of `length` at `now`, on the boot clock.
    pub fn open(length: Duration, now: Duration) -> Self {
        Self {
            closed_at: AtomicU64::new((now + length).as_millis() as u64),
        }
    }

    /// Returns how long unknown losses may still count.
    pub fn left(&self, now: Duration) -> Duration {
        let closed_at = self.closed_at.load(Ordering::Acquire);
        Duration::from_millis(closed_at).saturating_sub(now)
    }

    /// Returns whether this host knows of all losses that count.
    pub fn is_closed(&self, now: Duration) -> bool {
        self.left(now).is_zero()
    }

    /// Shortens the gap to that of a peer whose losses this host has received: what is `left` of it.
    pub fn merge(&self, left: Duration, now: Duration) {
        let closed_at = (now + left).as_millis() as u64;
        self.closed_at.fetch_min(closed_at, Ordering::AcqRel);
    }
}
