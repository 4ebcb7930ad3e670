//! The decision about a request that finds no free slot: queue it, or refuse it at once.
//!
//! A request is queued if a slot is expected while the work that is left still fits into its
//! caller's time. Otherwise its caller learns at once when there will be room, and keeps the time
//! that it has for another try.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// What is known of a request for which no slot is free.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Time until it must start to meet its objective; zero if it can't any more.
    pub objective_left: Duration,
    /// Time until it must start to be answered within its caller's time, at the fastest target;
    /// `None` if it can't be.
    pub start_left: Option<Duration>,
    /// The estimated wait among requests that can meet their objective.
    pub wait: Duration,
    /// The same once it can't meet its own.
    pub late_wait: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// Its work doesn't fit into its caller's time at any target.
    TooLong,
    /// A slot is expected too late for its caller's time.
    NoRoom,
    /// The queue is full of requests that go before it.
    QueueFull,
}

/// What becomes of a request for which no slot is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It is queued, and will probably meet its objective.
    InTime,
    /// It is queued, and will probably be answered after its objective, within its caller's time.
    Late,
    /// It is refused.
    Refused(RefusalCause),
}

/// Decides about a request for which no slot is free.
pub fn decide_admission(request: AdmissionRequest) -> AdmissionDecision {
    let Some(start_left) = request.start_left else {
        return AdmissionDecision::Refused(RefusalCause::TooLong);
    };
    let in_time_left = request.objective_left.min(start_left);
    if !in_time_left.is_zero() && request.wait <= in_time_left {
        return AdmissionDecision::InTime;
    }
    match request.late_wait <= start_left {
        true => AdmissionDecision::Late,
        false => AdmissionDecision::Refused(RefusalCause::NoRoom),
    }
}

/// How often requests that found no free slot were admitted and refused.
#[derive(Debug, Default)]
pub(super) struct AdmissionCounters {
    in_time: AtomicU64,
    late: AtomicU64,
    too_long: AtomicU64,
    no_room: AtomicU64,
    queue_full: AtomicU64,
}

impl AdmissionCounters {
    pub(super) fn count(&self, decision: AdmissionDecision) {
        let counter = match decision {
            AdmissionDecision::InTime => &self.in_time,
            AdmissionDecision::Late => &self.late,
            AdmissionDecision::Refused(RefusalCause::TooLong) => &self.too_long,
            AdmissionDecision::Refused(RefusalCause::NoRoom) => &self.no_room,
            AdmissionDecision::Refused(RefusalCause::QueueFull) => &self.queue_full,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counters with their names.
    pub(super) fn values(&self) -> [(&'static str, u64); 5] {
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("admitted_in_time_total", value(&self.in_time)),
            ("admitted_late_total", value(&self.late)),
            ("refused_too_long_total", value(&self.too_long)),
            ("refused_no_room_total", value(&self.no_room)),
            ("refused_queue_full_total", value(&self.queue_full)),
        ]
    }
}
