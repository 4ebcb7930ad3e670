//! A slot at a target that a request holds.

use std::sync::Arc;
use std::time::Duration;

use super::AttemptOutcome;
use super::DispatchQueue;
use super::PlacedTarget;
use crate::clock::boot_now;
use crate::ids::PoolName;

/// A slot at a target that a request holds; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    queue: Arc<DispatchQueue>,
    pool: PoolName,
    placed: PlacedTarget,
    began: Duration,
    first_event: Option<Duration>,
    last_event: Option<Duration>,
    end: AttemptOutcome,
}

impl SlotGuard {
    pub(super) fn new(queue: Arc<DispatchQueue>, pool: PoolName, placed: PlacedTarget) -> Self {
        Self {
            queue,
            pool,
            placed,
            began: boot_now(),
            first_event: None,
            last_event: None,
            // What is dropped on the way, as its caller left, tells nothing.
            end: AttemptOutcome::Cancelled,
        }
    }

    /// Returns the target.
    pub(crate) const fn target(&self) -> &PlacedTarget {
        &self.placed
    }

    /// Notes that an event of the answer came.
    pub(crate) fn record_event(&mut self) {
        let now = boot_now();
        let mut table = self.queue.lock_table();
        match self.last_event {
            None => {
                table.record_activity(&self.pool, &self.placed.name, now);
                let waited = now.saturating_sub(self.began);
                table.record_first_event(&self.pool, &self.placed, waited);
                self.placed.prompt_tokens = 0;
            }
            Some(last) => {
                let pause = now.saturating_sub(last);
                table.record_event_gap(&self.pool, &self.placed.name, pause, now);
            }
        }
        self.first_event.get_or_insert(now);
        self.last_event = Some(now);
    }

    /// Notes how many requests per second the target takes, as its answer says; returns
    /// whether that changes its limit.
    pub(crate) fn record_limit(&self, per_second: Option<f64>) -> bool {
        let mut table = self.queue.lock_table();
        table.record_limit(&self.placed.name, per_second, self.began, boot_now())
    }

    /// Frees the slot and notes how the request ended there.
    pub(crate) fn finish(mut self, end: AttemptOutcome) {
        self.end = end;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = boot_now();
        let mut table = self.queue.lock_table();
        if let (AttemptOutcome::Succeeded, Some(first)) = (self.end, self.first_event) {
            let lasted = now.saturating_sub(first);
            table.record_stream_duration(&self.pool, &self.placed, lasted);
        }
        table.record_outcome(&self.pool, &self.placed, self.end, now);
        drop(table);
        self.queue.assign_waiting();
    }
}
