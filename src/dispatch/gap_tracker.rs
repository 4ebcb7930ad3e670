//! How fast a target works, learned from what it sends.

use std::time::Duration;

/// The weight of a new value in the running means: about the last ten count, so
/// that a target that turns slow is known within a second of its events.
const NEW_WEIGHT: f64 = 0.1;

/// Running means of what was seen of a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GapTracker {
    pause_ms: Option<f64>,
}

impl GapTracker {
    /// Notes the pause between two events of one stream.
    pub(super) fn record_event_gap(&mut self, pause: Duration) {
        mix(&mut self.pause_ms, pause);
    }

    /// Returns the mean pause between events, in milliseconds.
    pub(super) const fn pause_ms(&self) -> Option<f64> {
        self.pause_ms
    }
}

fn mix(mean: &mut Option<f64>, value: Duration) {
    let value = value.as_secs_f64() * 1000.0;
    *mean = Some(match *mean {
        Some(before) => before + NEW_WEIGHT * (value - before),
        None => value,
    });
}
