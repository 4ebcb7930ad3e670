//! The time after which a refused caller should retry.
//!
//! If all refused callers got the same time, their retries would arrive as the next burst; if
//! it were too short, the fleet would spend its capacity on refusals.
//!
//! The advice is the time in which the current queue drains, with jitter from a hash of the
//! work's id.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::WorkId;

/// The least advice: callers that retry earlier would find the same load.
const MIN_SECONDS: f64 = 0.25;
/// The longest advice: callers must not stay away long after a burst is over.
const MAX_SECONDS: f64 = 30.0;
/// The jitter, as a fraction of the advice in either direction.
const JITTER: f64 = 0.5;

/// Returns the advice for a queue that drains in `drain_seconds`.
pub(super) fn retry_advice(work: WorkId, drain_seconds: f64) -> Duration {
    let hash = xxh3_64(&work.to_le_bytes());
    let uniform = hash as f64 / u64::MAX as f64;
    let factor = 1.0 + JITTER * (2.0 * uniform - 1.0);
    Duration::from_secs_f64(drain_seconds.clamp(MIN_SECONDS, MAX_SECONDS) * factor)
}
