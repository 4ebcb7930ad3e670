//! The recent slot usage of each tier.
//!
//! Under saturation the wait of a lower tier depends on the future arrivals of higher tiers,
//! not only on the current queue. An estimate from the queue alone would admit work that waits
//! for minutes and is refused in the end.

use std::time::Duration;

use crate::ids::TierRank;
use crate::sorted::SortedMap;

/// The interval between samples of the means.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of a sample. The means cover some fifty seconds, so that a burst does not exclude
/// long work that can wait until it is over.
const GAIN: f64 = 0.002;

/// The recent mean slot usage of each tier.
#[derive(Debug)]
pub(super) struct TierLoad {
    sampled_at: Duration,
    means: SortedMap<TierRank, f64>,
}

impl TierLoad {
    pub(super) const fn new() -> Self {
        Self {
            sampled_at: Duration::ZERO,
            means: SortedMap::new(),
        }
    }

    /// Adds a sample of the slots that each tier fills now.
    pub(super) fn sample(&mut self, now: Duration, filled: &SortedMap<TierRank, u32>) {
        if now < self.sampled_at + SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        for (tier, _) in filled.iter() {
            self.means.get_or_insert_with(*tier, || 0.0);
        }
        for (tier, mean) in self.means.iter_mut() {
            let present = f64::from(filled.get(tier).copied().unwrap_or(0));
            *mean += GAIN * (present - *mean);
        }
    }

    /// Returns the mean number of slots filled by the tiers above `tier`.
    pub(super) fn above(&self, tier: TierRank) -> f64 {
        let higher = self.means.iter().filter(|(other, _)| **other < tier);
        higher.map(|(_, mean)| *mean).sum()
    }
}
