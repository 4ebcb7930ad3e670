//! How long a stream's output takes at each target.

use std::time::Duration;

/// The weight of a new sample: about the last thirty count.
const NEW_WEIGHT: f64 = 0.03;
/// Outputs below this say little of the time that a token takes, in tokens.
const LEAST_OUTPUT: u64 = 50;

/// What an expected output token takes on the fastest targets of a pool, learned from whole
/// streams; a slower target takes it by its slowness.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutputEstimate {
    token_ms: Option<f64>,
}

impl OutputEstimate {
    /// Returns how long `tokens` take at a target that is `slowness` times as slow as the
    /// fastest; nothing as long as none were seen.
    pub(super) fn predict(self, tokens: u64, slowness: f64) -> Duration {
        let millis = self.token_ms.unwrap_or(0.0) * tokens as f64 * slowness;
        Duration::from_secs_f64(millis.clamp(0.0, 3_600_000.0) / 1000.0)
    }

    /// Learns from a whole stream that was expected to have so many tokens.
    pub(super) fn note(&mut self, tokens: u64, slowness: f64, lasted: Duration) {
        if tokens < LEAST_OUTPUT {
            return;
        }
        let sample = lasted.as_secs_f64() * 1000.0 / tokens as f64 / slowness.max(1.0);
        self.token_ms = Some(match self.token_ms {
            // What was expected is often far off, so that one sample may be too.
            Some(mean) => mean + NEW_WEIGHT * (sample.min(4.0 * mean) - mean),
            None => sample,
        });
    }
}
