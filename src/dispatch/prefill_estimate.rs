//! Estimates the time to a request's first event at each target.

use std::time::Duration;

/// Initial estimate of the time to the first event without the prefill, on the fastest targets,
/// in milliseconds.
const INITIAL_BASE_MS: f64 = 70.0;
/// Initial estimate of the prefill rate of the fastest targets, in prompt tokens per
/// millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 110.0;
/// The weight of a new sample; the average covers about the last thirty.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Prompts up to this length update the base time: their prefill is negligible.
const SHORT_PROMPT_TOKENS: f64 = 1000.0;
/// Prompts of at least this length update the prefill rate.
const LONG_PROMPT_TOKENS: f64 = 5000.0;

/// Learned parameters of the time to the first event on the fastest targets of a pool. The
/// time on a slower target is scaled by its slowness.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillEstimate {
    base_ms: f64,
    tokens_per_ms: f64,
}

impl Default for PrefillEstimate {
    fn default() -> Self {
        Self {
            base_ms: INITIAL_BASE_MS,
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillEstimate {
    /// Returns the time to the first event when `tokens` are prefilled before it, on a target
    /// that is `slowness` times as slow as the fastest.
    pub(super) fn predict(self, tokens: u64, slowness: f64) -> Duration {
        let millis = slowness * (self.base_ms + tokens as f64 / self.tokens_per_ms);
        Duration::from_secs_f64(millis.clamp(0.0, 60_000.0) / 1000.0)
    }

    /// Returns the time to prefill `tokens` on a target that is `slowness` times as slow as the
    /// fastest.
    pub(super) fn prefill_time(self, tokens: u64, slowness: f64) -> Duration {
        let millis = slowness * tokens as f64 / self.tokens_per_ms;
        Duration::from_secs_f64(millis.clamp(0.0, 60_000.0) / 1000.0)
    }

    /// Updates the estimate with a first event that arrived after `elapsed`.
    pub(super) fn record(&mut self, tokens: u64, slowness: f64, elapsed: Duration) {
        let tokens = tokens as f64;
        let millis = elapsed.as_secs_f64() * 1000.0 / slowness.max(1.0);
        if tokens <= SHORT_PROMPT_TOKENS {
            self.base_ms += SAMPLE_WEIGHT * (millis.min(4.0 * INITIAL_BASE_MS) - self.base_ms);
        }
        let prefill_ms = millis - self.base_ms;
        if tokens >= LONG_PROMPT_TOKENS && prefill_ms > 1.0 {
            let rate = (tokens / prefill_ms).clamp(5.0, 2000.0);
            self.tokens_per_ms += SAMPLE_WEIGHT * (rate - self.tokens_per_ms);
        }
    }
}
