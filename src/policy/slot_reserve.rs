//! The slots kept free for the top tier, and for short work.
//!
//! Load: long work among short. Engines know no priorities, and work that runs
//! is not taken back, so once digests fill every slot an urgent check waits for
//! one to end, which may take a minute.
//!
//! The reserve follows what such work has needed lately: the mean of how much
//! runs at once, and some deviations above it. With little such work it is one
//! slot; the slots that such work fills already count.

use std::time::Duration;

/// How often the mean takes a sample.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of a rising sample: a burst is met within half a second.
const RISE_GAIN: f64 = 0.2;
/// The weight of a falling sample: the reserve outlasts the gaps between bursts
/// of some seconds.
const FALL_GAIN: f64 = 0.01;

/// How much work of a kind runs at once, smoothed.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotReserve {
    mean: f64,
    sampled_at: Duration,
    /// How many deviations above the mean are kept.
    deviations: f64,
    /// What is kept in any case.
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

    /// Takes how much such work runs and waits now.
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

    /// Returns how many slots such work should find, those it fills included.
    pub(super) fn size(&self) -> f64 {
        self.mean + self.deviations * self.mean.sqrt() + self.minimum
    }

    /// Returns how many slots others must leave free while `running` are filled.
    pub(super) fn reserved_slots(&self, running: u32) -> u32 {
        (self.size() - f64::from(running)).max(0.0).round() as u32
    }
}
