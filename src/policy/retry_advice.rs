//! The time after which a refused caller should retry.
//!
//! If all refused callers got the same time, their retries would arrive as the next burst; if
//! it were too short, the fleet would spend its capacity on refusals.
//!
//! The advice is the time in which the current queue drains, with jitter.

use std::time::Duration;

/// The least advice: callers that retry earlier would find the same load.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// The longest advice: callers must not stay away long after a burst is over.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// The jitter, as a fraction of the advice in either direction.
const JITTER: f64 = 0.5;

/// Returns the advice for a queue that drains within `drain`; `random` is uniform between 0 and 1.
pub(crate) fn retry_advice(drain: Duration, random: f64) -> Duration {
    let factor = 1.0 + JITTER * (2.0 * random - 1.0);
    drain.clamp(MIN_DELAY, MAX_DELAY).mul_f64(factor)
}
