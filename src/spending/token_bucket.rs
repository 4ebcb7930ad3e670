//! A bucket that fills at a rate and may be overdrawn by what peers spent.

use std::time::Duration;

use crate::catalog::TokenRate;

/// A bucket of tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate: TokenRate,
    level: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Makes a bucket that holds `share` of its burst.
    pub(super) fn new(rate: TokenRate, share: f64, now: Duration) -> Self {
        Self {
            rate,
            level: rate.burst * share,
            filled_at: now,
        }
    }

    /// Takes a new rate; what is left stays, up to the new burst.
    pub(super) fn set_rate(&mut self, rate: TokenRate, now: Duration) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(rate.burst);
    }

    /// Returns what is left now; below 0 when peers spent more than there was.
    pub(super) fn level(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `tokens` out, whether they are there or not.
    pub(super) fn draw(&mut self, tokens: f64) {
        // An overdraft beyond a second's worth is another window's: it must not
        // shut an account out for longer than the limit itself would.
        self.level = (self.level - tokens).max(-self.rate.per_second);
    }

    /// Returns how long it takes until `tokens` are there.
    pub(super) fn time_until(&self, tokens: f64) -> Duration {
        let missing = (tokens.min(self.rate.burst) - self.level).max(0.0);
        Duration::from_secs_f64((missing / self.rate.per_second.max(1.0)).min(60.0))
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate.per_second).min(self.rate.burst);
        self.filled_at = now;
    }
}
