//! A slot at a target, held by a request.

use std::sync::Arc;
use std::time::Duration;

use super::AttemptOutcome;
use super::DispatchQueue;
use super::PlacedTarget;
use crate::clock::boot_now;
use crate::ids::PoolName;

/// A slot at a target, held by a request. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    queue: Arc<DispatchQueue>,
    pool: PoolName,
    placed: PlacedTarget,
    started_at: Duration,
    first_event_at: Option<Duration>,
    last_event_at: Option<Duration>,
    end: AttemptOutcome,
    is_released: bool,
}

impl SlotGuard {
    pub(super) fn new(queue: Arc<DispatchQueue>, pool: PoolName, placed: PlacedTarget) -> Self {
        Self {
            queue,
            pool,
            placed,
            started_at: boot_now(),
            first_event_at: None,
            last_event_at: None,
            // A guard that is dropped early, as when the caller leaves, says nothing about
            // the target.
            end: AttemptOutcome::Cancelled,
            is_released: false,
        }
    }

    /// Returns the target.
    pub(crate) const fn target(&self) -> &PlacedTarget {
        &self.placed
    }

    /// Returns whether the request may still be sent to the target.
    pub(crate) fn may_send(&self) -> bool {
        let table = self.queue.lock_table();
        table.may_send(&self.pool, &self.placed, boot_now())
    }

    /// Records an event of the answer.
    pub(crate) fn record_event(&mut self) {
        let now = boot_now();
        let mut table = self.queue.lock_table();
        match self.last_event_at {
            None => {
                table.record_activity(&self.pool, &self.placed, now);
                let elapsed = now.saturating_sub(self.started_at);
                table.record_first_event(&self.pool, &self.placed, elapsed, now);
                self.placed.prompt_tokens = 0;
            }
            Some(last) => {
                let gap = now.saturating_sub(last);
                table.record_event_gap(&self.pool, &self.placed, gap, now);
            }
        }
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
    }

    /// Records the requests per second that the target accepts, as stated in its answer;
    /// returns whether the limit changes.
    pub(crate) fn record_limit(&self, per_second: Option<f64>) -> bool {
        let mut table = self.queue.lock_table();
        let target = self.placed.incarnation();
        table.record_limit(&target, per_second, self.started_at, boot_now())
    }

    /// Records the rejections in a second after which a target of the pool crashes, as stated in
    /// the answer; returns whether this changes.
    pub(crate) fn record_brittle(&self, per_second: Option<f64>) -> bool {
        let mut table = self.queue.lock_table();
        table.record_brittle(&self.pool, per_second, self.started_at, boot_now())
    }

    /// Records that the target is leaving, as stated in its answer; returns whether this is new.
    pub(crate) fn record_leaving(&self) -> bool {
        let mut table = self.queue.lock_table();
        table.record_leaving(self.placed.incarnation(), boot_now())
    }

    /// Records that the target asked for no requests during `pause`; returns whether its current
    /// pause gets longer.
    pub(crate) fn record_pause(&self, pause: Duration) -> bool {
        let mut table = self.queue.lock_table();
        table.record_pause(self.placed.incarnation(), pause, boot_now())
    }

    /// Frees the slot and records the outcome, if the slot was not released before.
    pub(crate) fn finish(mut self, end: AttemptOutcome) {
        self.release(end);
    }

    /// Frees the slot and records the outcome, before the request is over.
    pub(crate) fn release(&mut self, end: AttemptOutcome) {
        if std::mem::replace(&mut self.is_released, true) {
            return;
        }
        self.end = end;
        let now = boot_now();
        let mut table = self.queue.lock_table();
        if let (AttemptOutcome::Succeeded, Some(first)) = (self.end, self.first_event_at) {
            let elapsed = now.saturating_sub(first);
            table.record_stream_duration(&self.pool, &self.placed, elapsed);
        }
        table.record_outcome(&self.pool, &self.placed, self.end, now);
        drop(table);
        self.queue.assign_waiting();
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.release(self.end);
    }
}
