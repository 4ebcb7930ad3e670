//! When a refused caller should come back.
//!
//! Load: the end of a burst. Callers that are all told the same time come back
//! as the next burst, and callers told too short a time spend the fleet's room
//! on refusals.
//!
//! The advice is the time in which the present queue drains, spread by a hash
//! of the work's id.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::WorkId;

/// The least advice, in seconds: below it callers would come back before
/// anything has changed.
const MIN_SECONDS: f64 = 0.25;
/// The most advice, in seconds: a burst that has passed must not keep callers
/// away for long.
const MAX_SECONDS: f64 = 30.0;
/// The advice is spread over this part of itself on either side.
const JITTER: f64 = 0.5;

/// Returns the advice for a queue that drains in `drain` seconds.
pub(super) fn retry_advice(work: WorkId, drain_seconds: f64) -> Duration {
    let hash = xxh3_64(&work.to_le_bytes());
    let uniform = hash as f64 / u64::MAX as f64;
    let factor = 1.0 + JITTER * (2.0 * uniform - 1.0);
    Duration::from_secs_f64(drain_seconds.clamp(MIN_SECONDS, MAX_SECONDS) * factor)
}
