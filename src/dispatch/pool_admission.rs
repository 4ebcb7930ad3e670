//! The estimates behind the admission of requests that find no free slot.

use std::time::Duration;

use super::AdmissionDecision;
use super::AdmissionRequest;
use super::PlacementRequest;
use super::PoolTable;
use super::QueueRank;
use super::QueueTicket;
use super::RefusalCause;
use super::decide_admission;
use super::pool_entry::PoolEntry;
use super::rate_meter::RateMeter;
use super::request_queue::StartTimes;
use super::target_choice::shortest_first_event;
use crate::capacity::ConcurrencyWindow;

/// The maximum number of requests per pool that wait at a host, which bounds the time that a decision
/// takes.
pub(super) const MAX_WAITING: usize = 300;

/// The part of the time until its latest start after which the wait of a queued request is estimated
/// anew. A caller that is refused then has the rest for another attempt.
const REVIEW_FRACTION: u32 = 3;
/// The least time between two such estimates.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Factor on the estimated time of the work that is left. An answer may take longer than the mean, and
/// an output is often longer than its caller expects.
const WORK_MARGIN: f64 = 1.25;

/// What becomes of a request for which no slot is free.
#[derive(Clone, Copy, Debug)]
pub struct PoolAdmission {
    /// Whether it is queued.
    pub decision: AdmissionDecision,
    /// The estimated wait.
    pub wait: Duration,
    /// Time after which the decision is reviewed while the request waits.
    pub review_after: Duration,
}

impl PoolTable {
    /// Decides about a request for which no slot is free.
    pub fn admit(&self, request: &PlacementRequest, now: Duration) -> PoolAdmission {
        let Some(pool) = self.pools.get(&request.pool) else {
            return PoolAdmission {
                decision: AdmissionDecision::InTime,
                wait: Duration::ZERO,
                review_after: Duration::ZERO,
            };
        };
        let times = pool.start_times(request);
        let admission = pool.admit(request, times, None, now);
        let is_full = pool.queue.len() >= MAX_WAITING && !request.has_started;
        let is_queued = !matches!(admission.decision, AdmissionDecision::Refused(_));
        if is_queued && is_full && !pool.queue.is_before_last(request.rank(times, now)) {
            return PoolAdmission {
                decision: AdmissionDecision::Refused(RefusalCause::QueueFull),
                ..admission
            };
        }
        admission
    }

    /// Returns the time within which nearly all requests with an output of up to `output_tokens` are
    /// answered once they were sent; `None` if it was not measured.
    pub fn run_time_bound(&self, pool: &str, output_tokens: u64) -> Option<Duration> {
        let pool = self.pools.get(pool)?;
        let output = pool.output.measured(output_tokens)?;
        Some((pool.answer_time.bound()? + output).mul_f64(WORK_MARGIN))
    }

    /// Decides again about a request that waits under `ticket`; `None` if it no longer waits.
    pub fn review(&self, pool: &str, ticket: QueueTicket, now: Duration) -> Option<PoolAdmission> {
        let pool = self.pools.get(pool)?;
        let (request, times) = pool.queue.find(ticket)?;
        let times = match pool.has_window() {
            // Limits follow the latency of targets, and the work left with it.
            true => pool.start_times(request),
            false => times,
        };
        Some(pool.admit(request, times, Some(ticket), now))
    }
}

impl PlacementRequest {
    /// Returns the rank that the request has now.
    pub(super) fn rank(&self, times: StartTimes, now: Duration) -> QueueRank {
        QueueRank {
            priority: self.priority,
            late: times.is_late(now),
        }
    }
}

impl PoolEntry {
    /// Returns when a request must start to meet its objective, and to be answered within its
    /// caller's time.
    pub(super) fn start_times(&self, request: &PlacementRequest) -> StartTimes {
        let first = self.first_event_time(request);
        let output = match request.has_started {
            true => Duration::ZERO,
            false => self.output.predict(request.output_tokens.unwrap_or(0), 1.0),
        };
        let before = |at: Duration, work: Duration| at.saturating_sub(work.mul_f64(WORK_MARGIN));
        StartTimes {
            in_time: before(request.objective_at, first),
            latest: before(request.first_event_by, first)
                .min(before(request.deadline, first + output)),
        }
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self, rank: QueueRank, now: Duration) {
        let rate = self
            .start_rates
            .get_or_insert_with(rank, RateMeter::default);
        rate.record(now);
    }

    /// Returns the shortest expected time to the first event. While what this host has outstanding
    /// is limited, recent answers show it.
    fn first_event_time(&self, request: &PlacementRequest) -> Duration {
        let windows = self.limiting_windows();
        let latencies = windows.filter_map(ConcurrencyWindow::latency);
        let shortest = || shortest_first_event(&self.targets, request, self.prefill);
        latencies.min().unwrap_or_else(shortest)
    }

    /// Decides about a request for which no slot is free, and which waits under `ticket` if it was
    /// admitted before.
    fn admit(
        &self,
        request: &PlacementRequest,
        times: StartTimes,
        ticket: Option<QueueTicket>,
        now: Duration,
    ) -> PoolAdmission {
        let pause = self.pause_left(now);
        let wait = |late| {
            let rank = QueueRank {
                priority: request.priority,
                late,
            };
            self.expected_wait(rank, times, ticket, now).max(pause)
        };
        let admission = AdmissionRequest {
            objective_left: times.in_time.saturating_sub(now),
            start_left: times.latest.checked_sub(now),
            wait: wait(false),
            late_wait: wait(true),
        };
        let decision = match (decide_admission(admission), admission.start_left) {
            (AdmissionDecision::Refused(_), Some(_)) if request.has_started => {
                AdmissionDecision::Late
            }
            (AdmissionDecision::Refused(_), _) if ticket.is_some() => {
                AdmissionDecision::Refused(RefusalCause::NoRoom)
            }
            (decision, _) => decision,
        };
        let start_left = admission.start_left.unwrap_or_default();
        let review_after = (start_left / REVIEW_FRACTION).max(MIN_REVIEW_INTERVAL);
        PoolAdmission {
            decision,
            wait: match decision {
                AdmissionDecision::InTime => admission.wait,
                _ => admission.late_wait,
            },
            review_after: review_after.min(start_left),
        }
    }

    /// Estimates how long a request of the given rank waits: from the requests ahead of it, and from
    /// the rates at which this host started requests before it and of its rank. More urgent
    /// requests that arrive later slow down the latter.
    ///
    /// A rate that is low because few requests arrived says nothing about the targets, so the interval
    /// between two starts is at most the longest wait in the queue. A request that waits already is
    /// expected to advance as it did so far.
    fn expected_wait(
        &self,
        rank: QueueRank,
        times: StartTimes,
        ticket: Option<QueueTicket>,
        now: Duration,
    ) -> Duration {
        let ahead = self.queue.requests_ahead(rank, times, ticket, now);
        let (rate, own_rate) = self.start_rates_to(rank, now);
        let rate = rate.max(self.window_rate());
        let all = start_interval(rate, ahead.longest_wait) * (ahead.all + 1) as f64;
        let alike = start_interval(own_rate, ahead.longest_alike) * (ahead.alike + 1) as f64;
        let by_progress = ahead.time_per_position * (ahead.all + 1) as u32;
        Duration::from_secs_f64(all.max(alike)).max(by_progress)
    }

    /// Returns the rates at which this host starts requests up to this rank, and of it, per second.
    fn start_rates_to(&self, rank: QueueRank, now: Duration) -> (f64, f64) {
        let rates = self.start_rates.iter();
        let rates = rates.filter(|(held, _)| **held <= rank);
        let all = rates.map(|(_, rate)| rate.per_second(now)).sum();
        let own = self.start_rates.get(&rank);
        (all, own.map_or(0.0, |rate| rate.per_second(now)))
    }
}

/// Returns the seconds between two starts at `rate` per second, at most `longest_wait`.
fn start_interval(rate: f64, longest_wait: Duration) -> f64 {
    (1.0 / rate.max(f64::MIN_POSITIVE)).min(longest_wait.as_secs_f64())
}
