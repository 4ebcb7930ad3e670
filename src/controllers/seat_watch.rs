//! Logs which seats leave claims unanswered, and whether this host noticed the time limit late.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::ids::HostName;
use crate::logs::StateChange;
use crate::logs::StateLog;

/// An unanswered call to a seat.
#[derive(Debug)]
pub(crate) struct SeatFailure {
    pub(crate) seat: HostName,
    /// How the call failed.
    pub(crate) reason: String,
    /// The time limit of the call, and the time after which this host noticed the failure.
    pub(crate) limit: Duration,
    pub(crate) waited: Duration,
}

/// Logs when a seat leaves a call unanswered after it answered, and when it answers again.
pub(crate) struct SeatWatch {
    log: Arc<StateLog>,
    /// Seats whose last call failed, sorted.
    failing: Mutex<Vec<HostName>>,
}

impl SeatWatch {
    /// Creates a watch for which all seats count as answering.
    pub(crate) fn new(log: Arc<StateLog>) -> Self {
        Self {
            log,
            failing: Mutex::default(),
        }
    }

    /// Records an answer.
    pub(crate) fn record_answer(&self, seat: &HostName) {
        let mut failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = failing.binary_search(seat) {
            let seat = failing.remove(index);
            self.log.write(&StateChange::SeatBack { seat });
        }
    }

    /// Records a call without an answer.
    pub(crate) fn record_failure(&self, failure: SeatFailure) {
        let mut failing = self.failing.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(index) = failing.binary_search(&failure.seat) {
            failing.insert(index, failure.seat.clone());
            let late = failure.waited.saturating_sub(failure.limit);
            self.log.write(&StateChange::SeatUnanswered {
                seat: failure.seat,
                reason: failure.reason,
                waited_ms: failure.waited.as_millis() as u64,
                late_ms: late.as_millis() as u64,
            });
        }
    }
}
