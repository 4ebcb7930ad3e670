//! Waiting for a condition, under one generous limit.

use std::time::Duration;
use std::time::Instant;

use async_std::task;

/// The one limit for whatever a test waits for.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Polls until `condition` holds.
pub(crate) async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    wait_until(what, || async { condition() }).await;
}

/// Polls until `condition` holds, where looking at it takes a call.
pub(crate) async fn wait_until<C, F>(what: &str, condition: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < WAIT_LIMIT, "waited in vain for {what}");
        task::sleep(POLL_PAUSE).await;
    }
}
