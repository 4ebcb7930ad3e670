//! The token rate of a target, learned from the gaps between its events.

use std::time::Duration;

/// The weight of a new gap in the moving average, which covers about the last ten gaps, so that
/// a slowdown shows within a second of events.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The moving average of the gaps between a target's events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GapTracker {
    mean_ms: Option<f64>,
}

impl GapTracker {
    /// Records the gap between two events of one stream.
    pub(super) fn record_gap(&mut self, gap: Duration) {
        update_mean(&mut self.mean_ms, gap);
    }

    /// Returns the mean gap between events, in milliseconds.
    pub(super) const fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }
}

fn update_mean(mean: &mut Option<f64>, value: Duration) {
    let value = value.as_secs_f64() * 1000.0;
    *mean = Some(match *mean {
        Some(before) => before + SAMPLE_WEIGHT * (value - before),
        None => value,
    });
}
