//! The latency of a target, recently and without queueing.

use std::time::Duration;

/// Time constant of the recent latency: a queue of four times the slots fills within a quarter of
/// a second when a load rises to 1.5 times the capacity.
const RECENT_SECONDS: f64 = 0.1;
/// Limits of the weight of one sample. One request in a hundred takes five times as long as the
/// others and must not look like a queue; hosts with few requests have only a few samples.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
const MAX_SAMPLE_WEIGHT: f64 = 0.4;
/// A sample counts at most this multiple of the recent latency, for the same reason.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Relative rise of the unqueued latency per second while no queue is known, so that a target that
/// gets slower for good is measured anew.
const BASE_RISE_RATE: f64 = 0.1;
/// The least latency, so that factors of it stay meaningful, in seconds.
const MIN_LATENCY: f64 = 0.001;

/// The latency of a target, recently and without queueing.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    /// In seconds; zero while there is no sample.
    recent: f64,
    base: f64,
    sampled_at: Duration,
}

impl LatencyEstimate {
    /// Creates an estimate without samples.
    pub const fn new() -> Self {
        Self {
            recent: 0.0,
            base: 0.0,
            sampled_at: Duration::ZERO,
        }
    }

    /// Records the latency of an answer. The unqueued latency may rise only if `may_rise`: a queue
    /// that is never empty would otherwise count as part of it.
    pub fn record(&mut self, latency: Duration, may_rise: bool, now: Duration) {
        let seconds = latency.as_secs_f64().max(MIN_LATENCY);
        if self.recent <= 0.0 {
            self.recent = seconds;
            self.base = seconds;
            self.sampled_at = now;
            return;
        }
        let elapsed = now.saturating_sub(self.sampled_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / RECENT_SECONDS).exp();
        let weight = weight.clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        let sample = seconds.min(self.recent * MAX_SAMPLE_FACTOR);
        self.recent += weight * (sample - self.recent);
        if may_rise {
            self.base *= 1.0 + BASE_RISE_RATE * elapsed.min(1.0);
        }
        self.base = self.base.min(self.recent);
        self.sampled_at = now;
    }

    /// Returns the recent latency in seconds; `None` without a sample.
    pub fn recent(&self) -> Option<f64> {
        (self.recent > 0.0).then_some(self.recent)
    }

    /// Returns the latency without a queue in seconds; zero without a sample.
    pub const fn base(&self) -> f64 {
        self.base
    }
}
