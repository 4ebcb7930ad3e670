//! Slots reserved for the top tier, and for short work.
//!
//! Engines have no priorities and running work is not preempted. Once long work fills every
//! slot, urgent work waits for one to end, which may take a minute.
//!
//! The reserve follows the recent demand of such work: its mean concurrency plus some standard
//! deviations. With little such work it is one slot. The slots that such work already fills
//! count.

use std::time::Duration;

/// The interval between samples of the mean.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of a sample above the mean: the reserve follows a burst within half a second.
const RISE_GAIN: f64 = 0.2;
/// The weight of a sample below the mean: the reserve persists through gaps of some seconds
/// between bursts.
const FALL_GAIN: f64 = 0.01;

/// A reserve that follows the smoothed concurrency of a kind of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotReserve {
    mean: f64,
    sampled_at: Duration,
    /// Standard deviations above the mean.
    deviations: f64,
    /// Slots reserved on top of the mean and the deviations.
    minimum: f64,
}

impl SlotReserve {
    pub(super) const fn new(deviations: f64, minimum: f64) -> Self {
        Self {
            mean: 0.0,
            sampled_at: Duration::ZERO,
            deviations,
            minimum,
        }
    }

    /// Adds a sample of how much such work runs and waits now.
    pub(super) fn sample(&mut self, now: Duration, present: u32) {
        if now < self.sampled_at + SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        let present = f64::from(present);
        let gain = if present > self.mean {
            RISE_GAIN
        } else {
            FALL_GAIN
        };
        self.mean += gain * (present - self.mean);
    }

    /// Returns the size of the reserve, slots that such work already fills included.
    pub(super) fn size(&self) -> f64 {
        self.mean + self.deviations * self.mean.sqrt() + self.minimum
    }

    /// Returns how many slots other work must leave free while such work fills `running`.
    pub(super) fn reserved_slots(&self, running: u32) -> u32 {
        (self.size() - f64::from(running)).max(0.0).round() as u32
    }
}
