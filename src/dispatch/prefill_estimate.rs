//! How long a request's first event will take at each target.

use std::time::Duration;

/// What a first event takes on the fastest targets beside reading the prompt,
/// before any was seen, in milliseconds.
const USUAL_BASE_MS: f64 = 70.0;
/// How many prompt tokens the fastest targets read in a millisecond, before any was
/// seen.
const USUAL_TOKENS_PER_MS: f64 = 110.0;
/// The weight of a new sample: about the last thirty count.
const NEW_WEIGHT: f64 = 0.03;
/// Prompts below this say more of the base, those above of the reading, in tokens.
const SHORT_PROMPT: f64 = 1000.0;
const LONG_PROMPT: f64 = 5000.0;

/// What decides the time to the first event, for the fastest targets of a pool; a
/// slower one takes it by its slowness.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillEstimate {
    base_ms: f64,
    tokens_per_ms: f64,
}

impl Default for PrefillEstimate {
    fn default() -> Self {
        Self {
            base_ms: USUAL_BASE_MS,
            tokens_per_ms: USUAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillEstimate {
    /// Returns the time to the first event where `tokens` are read before it, by a
    /// target that is `slowness` times as slow as the fastest.
    pub(super) fn predict(self, tokens: u64, slowness: f64) -> Duration {
        let millis = slowness * (self.base_ms + tokens as f64 / self.tokens_per_ms);
        Duration::from_secs_f64(millis.clamp(0.0, 60_000.0) / 1000.0)
    }

    /// Returns how long a target reads `tokens` that is `slowness` times as slow as the fastest.
    pub(super) fn read_time(self, tokens: u64, slowness: f64) -> Duration {
        let millis = slowness * tokens as f64 / self.tokens_per_ms;
        Duration::from_secs_f64(millis.clamp(0.0, 60_000.0) / 1000.0)
    }

    /// Learns from a first event that took `waited`.
    pub(super) fn note(&mut self, tokens: u64, slowness: f64, waited: Duration) {
        let tokens = tokens as f64;
        let millis = waited.as_secs_f64() * 1000.0 / slowness.max(1.0);
        if tokens <= SHORT_PROMPT {
            self.base_ms += NEW_WEIGHT * (millis.min(4.0 * USUAL_BASE_MS) - self.base_ms);
        }
        let reading = millis - self.base_ms;
        if tokens >= LONG_PROMPT && reading > 1.0 {
            let rate = (tokens / reading).clamp(5.0, 2000.0);
            self.tokens_per_ms += NEW_WEIGHT * (rate - self.tokens_per_ms);
        }
    }
}
