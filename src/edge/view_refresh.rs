//! Reads of the store for a request that needs the present view of the targets.

use std::time::Duration;

use async_std::future::timeout;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::clock::boot_now;

/// Time limit of a read; the store takes a few milliseconds.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

impl EdgeState {
    /// Reads the changes of the targets unless the view was confirmed since `since`; returns whether
    /// it was. Requests that wait for a read in progress share the next one.
    pub(super) async fn refresh_view(&self, since: Duration) -> bool {
        timeout(REFRESH_TIMEOUT, self.read_changes(since))
            .await
            .unwrap_or(false)
    }

    async fn read_changes(&self, since: Duration) -> bool {
        let Some(source) = self.source() else {
            return false;
        };
        let _turn = self.view_refresh.lock().await;
        let is_current = |age: Duration| boot_now().saturating_sub(age) >= since;
        if self.view.view_age(boot_now()).is_some_and(is_current) {
            return true;
        }
        let after = self.view.revision();
        if !after.is_known() {
            return false;
        }
        let started_at = boot_now();
        count(&self.metrics.store_calls);
        let Ok(update) = source.watch(after, Duration::ZERO).await else {
            return false;
        };
        let change = self
            .view
            .apply_store_targets(update, started_at, boot_now());
        self.apply_change(change, None);
        true
    }
}
