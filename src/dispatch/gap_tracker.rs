//! The token rate of a target, learned from the gaps between its events.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::view::TargetIncarnation;

/// The weight of a new gap in the moving average, which covers about the last ten gaps, so that
/// a slowdown shows within a second of events.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The smallest relative change of the mean gap that is reported.
const MIN_RELATIVE_CHANGE: f64 = 0.25;

/// The longest mean gap that a peer can report, in milliseconds. A target whose events are further
/// apart is as slow for every decision, and larger numbers may be no durations.
const MAX_GAP_MS: f64 = 3_600_000.0;

/// The mean gap between the events of a target, as sent to peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetPace {
    /// The target.
    pub target: TargetIncarnation,
    /// The mean gap, in milliseconds.
    pub gap_ms: f32,
    /// Age of the last event, in milliseconds.
    pub age_ms: u32,
}

/// Whose measurements of a target's pace are wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceSource {
    /// Those of this host.
    Own,
    /// Those of this host and of its peers.
    All,
}

/// The moving average of the gaps between a target's events.
///
/// In a large fleet a host sends a target one request in 40 s, and would have to learn for
/// itself which third of the targets is slow. So hosts use the newest measurement of any host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GapTracker {
    mean_ms: Option<f64>,
    /// When the last event arrived, here or at the peer that reported the mean.
    measured_at: Duration,
    /// The mean when it last changed by enough to be reported.
    reported_ms: f64,
    /// When this host, or any host, last changed the reported mean.
    own_changed_at: Option<Duration>,
    changed_at: Option<Duration>,
}

impl GapTracker {
    /// Records the gap between two events of one stream.
    pub(super) fn record_gap(&mut self, gap: Duration, now: Duration) {
        let gap_ms = gap.as_secs_f64() * 1000.0;
        let mean = match self.mean_ms {
            Some(before) => before + SAMPLE_WEIGHT * (gap_ms - before),
            None => gap_ms,
        };
        self.measured_at = now;
        if self.set_mean(mean, now) {
            self.own_changed_at = Some(now);
        }
    }

    /// Merges the measurement of a peer; an older one than that of this host is ignored.
    pub(super) fn merge(&mut self, gap_ms: f64, age: Duration, now: Duration) {
        let measured_at = now.saturating_sub(age);
        let is_newer = self.mean_ms.is_none() || measured_at > self.measured_at;
        if is_newer && gap_ms.is_finite() && gap_ms > 0.0 {
            self.measured_at = measured_at;
            self.set_mean(gap_ms.min(MAX_GAP_MS), now);
        }
    }

    /// Returns the mean gap between events, in milliseconds.
    pub(super) const fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// Returns the mean gap and its age if it changed since `since`; always if `since` is `None`.
    pub(super) fn change(
        &self,
        source: PaceSource,
        since: Option<Duration>,
        now: Duration,
    ) -> Option<(f64, Duration)> {
        let changed_at = match source {
            PaceSource::Own => self.own_changed_at,
            PaceSource::All => self.changed_at,
        };
        let is_changed = changed_at.is_some_and(|at| since.is_none_or(|since| at >= since));
        let mean = self.mean_ms.filter(|_| is_changed)?;
        Some((mean, now.saturating_sub(self.measured_at)))
    }

    /// Sets the mean; returns whether it changed by enough to be reported.
    fn set_mean(&mut self, mean: f64, now: Duration) -> bool {
        self.mean_ms = Some(mean);
        let changes = (mean - self.reported_ms).abs() > self.reported_ms * MIN_RELATIVE_CHANGE;
        if changes {
            self.reported_ms = mean;
            self.changed_at = Some(now);
        }
        changes
    }
}
