//! Follows the store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::backoff::RetryBackoff;
use crate::clock::boot_now;
use crate::feed::FleetSource;
use crate::feed::SourceError;
use crate::logs::DecisionLine;

/// How long one watch waits at least, and by how much more at most. The answer's age
/// is that of the call's begin. Hosts take each other's word for that age, so with
/// waits that differ some host's answer is never much older than one wait; an
/// outage then leaves three seconds and more in which keys are still known. With
/// one fixed wait of 1.5 s, begun together after a change, it left less than two.
const LEAST_WAIT: Duration = Duration::from_millis(1000);
const WAIT_SPREAD: Duration = Duration::from_millis(300);
/// The first and the longest wait after a failed call. A store that is down comes
/// back at some moment, and hosts want the news within a fraction of a second.
const FIRST_RETRY: Duration = Duration::from_millis(60);
const LONGEST_RETRY: Duration = Duration::from_millis(500);
/// How often lapsed targets and idle connections are looked at.
const TIDY_PERIOD: Duration = Duration::from_millis(500);

/// Follows the store until the process ends.
pub(crate) async fn follow_store(state: Arc<EdgeState>, source: Arc<dyn FleetSource>) {
    let mut backoff = RetryBackoff::new(FIRST_RETRY, LONGEST_RETRY);
    let mut needs_whole = true;
    let mut lost = false;
    loop {
        let begun = boot_now();
        count(&state.metrics.store_calls);
        let read = match needs_whole {
            true => source.read_whole().await,
            false => {
                let wait = LEAST_WAIT + WAIT_SPREAD.mul_f64(rand::random());
                source.watch(state.feed.marks().0, wait).await
            }
        };
        match read {
            Ok(update) => {
                if std::mem::take(&mut lost) {
                    let revision = update.revision;
                    state.log.write(&DecisionLine::StoreBack { revision });
                }
                needs_whole = false;
                backoff.reset();
                let change = state.feed.take_store_answer(update, begun, boot_now());
                state.take_change(change, None);
            }
            Err(SourceError::HistoryGone) => needs_whole = true,
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    let reason = error.to_string();
                    state.log.write(&DecisionLine::StoreLost { reason });
                }
                task::sleep(backoff.next_wait(rand::random())).await;
            }
        }
    }
}

/// Lets go of what is too old, until the process ends.
pub(crate) async fn tidy(state: Arc<EdgeState>) {
    loop {
        task::sleep(TIDY_PERIOD).await;
        state.take_change(state.feed.expire_lapses(boot_now()), None);
        state.links.close_idle();
        state.desk.assign_waiting();
    }
}
