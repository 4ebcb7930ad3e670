//! Schedules the calls that list the parts of targets, so that searches share them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;

use super::edge_state::EdgeState;
use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;

/// Shortest time between the starts of two calls to a target, which delay its other work.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the calls that run at the same time.
const MAX_CALLS: usize = 256;

/// Whether a target holds a part; `None` if it did not answer.
pub(super) type HeldAnswer = Option<bool>;

/// A search that waits for the list of a target.
#[derive(Debug)]
struct ListWaiter {
    part: Arc<str>,
    /// Gets the target's position in the search, and its answer.
    answers: Sender<(usize, HeldAnswer)>,
    position: usize,
}

/// The searches that wait for lists of targets.
///
/// A search shares a call only if the call began later: a list that is older than the request may
/// lack its part.
#[derive(Debug)]
pub(super) struct PartListSchedule {
    /// Searches that wait for the next call to a target. A target has an entry from the first
    /// search until no call has begun for the interval.
    waiting: Mutex<SortedMap<TargetIncarnation, Vec<ListWaiter>>>,
    /// Holds a message for each running call.
    permits: (Sender<()>, Receiver<()>),
}

impl Default for PartListSchedule {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
            permits: async_channel::bounded(MAX_CALLS),
        }
    }
}

impl PartListSchedule {
    fn waiting(&self) -> MutexGuard<'_, SortedMap<TargetIncarnation, Vec<ListWaiter>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the searches that the call that begins now answers.
    fn take_waiters(&self, target: &TargetIncarnation) -> Vec<ListWaiter> {
        let mut waiting = self.waiting();
        let mut waiters = waiting
            .get_mut(target)
            .map_or_else(Vec::new, std::mem::take);
        waiters.retain(|waiter| !waiter.answers.is_closed());
        waiters
    }

    /// Removes a target without waiting searches; returns whether it had none.
    fn remove_idle(&self, target: &TargetIncarnation) -> bool {
        let mut waiting = self.waiting();
        let is_idle = waiting.get(target).is_none_or(Vec::is_empty);
        if is_idle {
            waiting.remove(target);
        }
        is_idle
    }
}

impl EdgeState {
    /// Asks each target whether it holds a part, with calls that begin from now on. The channel
    /// gets an answer for each target, by its position, and is then closed.
    pub(super) fn request_lists(
        self: &Arc<Self>,
        targets: impl IntoIterator<Item = TargetIncarnation>,
        part: &str,
    ) -> Receiver<(usize, HeldAnswer)> {
        let (answers, receiver) = async_channel::unbounded();
        let part: Arc<str> = part.into();
        let mut idle = Vec::new();
        let mut waiting = self.part_lists.waiting();
        for (position, target) in targets.into_iter().enumerate() {
            let waiter = ListWaiter {
                part: Arc::clone(&part),
                answers: answers.clone(),
                position,
            };
            match waiting.get_mut(&target) {
                Some(waiters) => waiters.push(waiter),
                None => {
                    waiting.insert(target.clone(), vec![waiter]);
                    idle.push(target);
                }
            }
        }
        drop(waiting);
        for target in idle {
            task::spawn(list_while_needed(Arc::clone(self), target));
        }
        receiver
    }
}

/// Lists the parts of a target once in each interval, until no search waits for it.
async fn list_while_needed(state: Arc<EdgeState>, target: TargetIncarnation) {
    loop {
        // A failed send is impossible, as the state holds the receiver.
        state.part_lists.permits.0.send(()).await.ok();
        let waiters = state.part_lists.take_waiters(&target);
        match waiters.is_empty() {
            true => release_permit(&state),
            false => {
                let (state, target) = (Arc::clone(&state), target.clone());
                task::spawn(async move {
                    let parts = state.list_parts(&target).await;
                    release_permit(&state);
                    answer_waiters(waiters, parts.as_deref());
                });
            }
        }
        task::sleep(LIST_INTERVAL).await;
        if state.part_lists.remove_idle(&target) {
            return;
        }
    }
}

fn release_permit(state: &EdgeState) {
    state.part_lists.permits.1.try_recv().ok();
}

fn answer_waiters(waiters: Vec<ListWaiter>, parts: Option<&[String]>) {
    for waiter in waiters {
        let is_held = |parts: &[String]| {
            parts
                .binary_search_by(|part| part.as_str().cmp(&waiter.part))
                .is_ok()
        };
        // The search may have ended.
        let answer = (waiter.position, parts.map(is_held));
        waiter.answers.try_send(answer).ok();
    }
}
