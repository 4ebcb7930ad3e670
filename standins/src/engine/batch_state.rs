//! Throughput model of continuous batching.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::EngineSettings;

/// Counts of running requests, which determine the speed of each.
#[derive(Debug, Default)]
pub(crate) struct BatchState {
    running: AtomicU32,
    prefilling: AtomicU32,
}

impl BatchState {
    /// Adds a running request.
    pub(crate) fn enter(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a finished request.
    pub(crate) fn leave(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Adds a request in prefill.
    pub(crate) fn enter_prefill(&self) {
        self.prefilling.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a request from prefill.
    pub(crate) fn leave_prefill(&self) {
        self.prefilling.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of running requests, including those in prefill.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in prefill.
    pub(crate) fn prefilling(&self) -> u32 {
        self.prefilling.load(Ordering::Relaxed)
    }

    /// Returns the time between two tokens of a request.
    pub(crate) fn token_time(&self, settings: &EngineSettings, slowdown: f64) -> Duration {
        let contention = f64::from(self.running()) / f64::from(settings.slots.max(1));
        Duration::from_secs_f64(slowdown * contention.max(1.0) / settings.tokens_per_second)
    }

    /// Returns the prefill time of `tokens` prompt tokens, shared with the other prefills.
    pub(crate) fn prefill_time(
        &self,
        settings: &EngineSettings,
        tokens: u32,
        slowdown: f64,
    ) -> Duration {
        let contention = f64::from(self.prefilling().max(1));
        let alone = f64::from(tokens) / settings.prefill_tokens_per_second;
        Duration::from_secs_f64(slowdown * contention * alone)
    }
}
