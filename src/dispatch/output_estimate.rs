//! Estimates the duration of a stream's output at each target.

use std::time::Duration;

/// The weight of a new sample; the average covers about the last thirty.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Shorter outputs are ignored: they say little about the time per token.
const MIN_OUTPUT_TOKENS: u64 = 50;

/// The time per expected output token on the fastest targets of a pool, learned from complete
/// streams. The time on a slower target is scaled by its slowness.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutputEstimate {
    ms_per_token: Option<f64>,
}

impl OutputEstimate {
    /// Returns the time to generate `tokens` on a target that is `slowness` times as slow as the
    /// fastest; zero before the first sample.
    pub(super) fn predict(self, tokens: u64, slowness: f64) -> Duration {
        let millis = self.ms_per_token.unwrap_or(0.0) * tokens as f64 * slowness;
        Duration::from_secs_f64(millis.clamp(0.0, 3_600_000.0) / 1000.0)
    }

    /// Returns the time to generate `tokens` on one of the fastest targets; `None` before the first
    /// sample, unless there are none to generate.
    pub(super) fn measured(self, tokens: u64) -> Option<Duration> {
        match (tokens, self.ms_per_token) {
            (1.., None) => None,
            _ => Some(self.predict(tokens, 1.0)),
        }
    }

    /// Updates the estimate with a complete stream that was expected to have `tokens`.
    pub(super) fn record(&mut self, tokens: u64, slowness: f64, elapsed: Duration) {
        if tokens < MIN_OUTPUT_TOKENS {
            return;
        }
        let sample = elapsed.as_secs_f64() * 1000.0 / tokens as f64 / slowness.max(1.0);
        self.ms_per_token = Some(match self.ms_per_token {
            // The expected length is often far off, and the sample with it, so it is capped.
            Some(mean) => mean + SAMPLE_WEIGHT * (sample.min(4.0 * mean) - mean),
            None => sample,
        });
    }
}
