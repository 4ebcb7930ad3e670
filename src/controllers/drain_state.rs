//! Tracks whether the host is leaving and how many requests are running.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;

/// Poll interval of [`DrainState::wait_idle`].
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Tracks whether the host is leaving and how many requests are running.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    leaving: AtomicBool,
    running: AtomicUsize,
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard<'s> {
    state: &'s DrainState,
}

impl DrainState {
    /// Marks the host as leaving; this can't be undone.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether the host is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn track_request(&self) -> RunningGuard<'_> {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard { state: self }
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Waits until no request is running.
    pub(crate) async fn wait_idle(&self) {
        while self.running() > 0 {
            task::sleep(POLL_PERIOD).await;
        }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::AcqRel);
    }
}
