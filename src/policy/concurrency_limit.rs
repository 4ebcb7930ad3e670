//! An adaptive concurrency limit: the latency gradient determines which fraction of its share
//! of a target a host uses.
//!
//! A target may run more requests than it can serve well, because it declares too many slots
//! or another process uses its machine. Without a limit all its streams slow down together,
//! and all of them are late.
//!
//! The limit is a factor on the host's own share. It shrinks while the time per token is far
//! above the best one seen, and recovers otherwise. It never exceeds 1, so the shares of all
//! hosts still add up to no more than the target's slots.

use std::time::Duration;

/// The interval between updates of the factor: a few dozen token samples.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// A time per token up to this multiple of the best is normal: a full batch costs 1.5 times an
/// idle step, and long prompts of others add as much again.
const TOLERANCE: f64 = 3.0;
/// The weight of the new factor in each update.
const SMOOTHING: f64 = 0.3;
/// The increase of the factor per update; a full recovery takes about 2 s.
const RECOVERY_STEP: f64 = 0.1;
/// The least factor: some work must run to measure the time per token.
const MIN_FACTOR: f64 = 0.25;

/// The fraction of its share of a target that a host uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    factor: f64,
    stepped_at: Duration,
}

impl ConcurrencyLimit {
    pub(super) const fn new() -> Self {
        Self {
            factor: 1.0,
            stepped_at: Duration::ZERO,
        }
    }

    /// Updates the factor by the gradient between the best and the current time per token.
    pub(super) fn step(&mut self, now: Duration, best: f64, pace: f64) {
        if now < self.stepped_at + STEP_INTERVAL {
            return;
        }
        self.stepped_at = now;
        let gradient = (TOLERANCE * best / pace).clamp(0.5, 1.0);
        let desired = self.factor * gradient + RECOVERY_STEP;
        let factor = self.factor + SMOOTHING * (desired - self.factor);
        self.factor = if gradient < 1.0 {
            factor.min(self.factor)
        } else {
            self.factor + RECOVERY_STEP
        }
        .clamp(MIN_FACTOR, 1.0);
    }

    /// Returns how many slots of a share may be filled; at least one of a non-empty share.
    pub(super) fn usable(&self, share: u32) -> u32 {
        let usable = (f64::from(share) * self.factor).floor() as u32;
        usable.max(1).min(share)
    }
}
