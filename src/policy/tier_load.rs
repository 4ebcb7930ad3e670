//! How many slots each tier has filled lately.
//!
//! Load: saturation. The wait of a lower tier depends on what higher tiers will
//! still send, not only on what waits now; an estimate from the queue alone
//! lets in work that then waits for minutes and is refused in the end.

use std::time::Duration;

use crate::ids::TierRank;
use crate::sorted::SortedMap;

/// How often the means take a sample.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of a sample; the means look back some fifty seconds, so that a
/// burst does not shut out long work that can wait until it is over.
const GAIN: f64 = 0.002;

/// How many slots each tier has filled lately.
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

    /// Takes how many slots each tier fills now.
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

    /// Returns how many slots the tiers above `tier` fill.
    pub(super) fn above(&self, tier: TierRank) -> f64 {
        let higher = self.means.iter().filter(|(other, _)| **other < tier);
        higher.map(|(_, mean)| *mean).sum()
    }
}
