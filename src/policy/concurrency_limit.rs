//! How much of its share of a target a host uses, found by the gradient of latency.
//!
//! Load: a target takes more requests at once than it can serve well, because
//! its declared slots are too many or a neighbour takes its machine. Without a
//! limit every stream on it slows down together, and all of them are late.
//!
//! The limit is a factor on the host's own share. It shrinks while the pace is
//! far above the best one seen and grows back otherwise. It never exceeds 1, so
//! the shares of all hosts still add up to no more than the slots.

use std::time::Duration;

/// How often the factor moves: a few dozen tokens of samples lie in between.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// A pace of so many times the best is ordinary: a full batch costs 1.5 times
/// an idle step, and long prompts of others add as much again.
const TOLERANCE: f64 = 3.0;
/// The weight of the new factor in each step.
const SMOOTHING: f64 = 0.3;
/// What the factor regains in a step; a full recovery takes about 2 s.
const RECOVERY_STEP: f64 = 0.1;
/// The factor never falls below this: some work must run for the pace to be seen.
const MIN_FACTOR: f64 = 0.25;

/// How much of its share of a target a host uses.
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

    /// Moves the factor by the gradient between the best pace and the present one.
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

    /// Returns how many slots of a share may be filled; at least one of any.
    pub(super) fn usable(&self, share: u32) -> u32 {
        let usable = (f64::from(share) * self.factor).floor() as u32;
        usable.max(1).min(share)
    }
}
