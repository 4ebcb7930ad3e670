//! The time that targets of a pool take to answer.

use std::time::Duration;

/// Weights of a new sample in the mean and in its deviation, as in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of deviations above the mean within which nearly all answers come, as in RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// The mean time that targets take to answer, and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTime {
    estimate: Option<(f64, f64)>,
}

impl AnswerTime {
    /// Records an answer, or a request without any, after `elapsed`.
    pub(super) fn record(&mut self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => {
                let error = sample - mean;
                (
                    mean + MEAN_WEIGHT * error,
                    deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
                )
            }
        });
    }

    /// Returns the time within which nearly all answers come; `None` without a sample.
    pub(super) fn bound(self) -> Option<Duration> {
        let (mean, deviation) = self.estimate?;
        Some(Duration::from_secs_f64(mean + DEVIATIONS * deviation))
    }
}
