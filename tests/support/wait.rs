//! Waiting for conditions, with one time limit.

use std::time::Duration;
use std::time::Instant;

use async_std::task;

/// Time limit for any wait in a test.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Poll interval of conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `condition` is true.
pub(crate) async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    wait_until(what, || async { condition() }).await;
}

/// Polls until the asynchronous `condition` is true.
pub(crate) async fn wait_until<C, F>(what: &str, condition: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        task::sleep(POLL_INTERVAL).await;
    }
}
