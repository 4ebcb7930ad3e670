//! The pool table as shared by the concurrent requests of one host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::RecvError;
use async_channel::Sender;
use async_std::future::timeout;

use super::AdmissionDecision;
use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolAdmission;
use super::PoolTable;
use super::QueueTicket;
use super::RefusalCause;
use super::SlotGuard;
use super::admission_decision::AdmissionCounters;
use crate::clock::boot_now;
use crate::ids::PoolName;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// Interval at which the requests that wait for a limited plain target together look for an opening.
const WINDOW_INTERVAL: Duration = Duration::from_millis(10);

/// The outcome of waiting for a target.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    /// A slot at a target was assigned.
    Placed(Box<SlotGuard>),
    /// No target of the pool accepts new work.
    NoTarget,
    /// The request is refused by the admission decision.
    Overloaded(PoolAdmission),
    /// The maximum wait has passed.
    TimedOut,
}

/// The pool table as shared by the concurrent requests of one host.
#[derive(Debug)]
pub(crate) struct DispatchQueue {
    table: Mutex<PoolTable>,
    waiters: Mutex<SortedMap<QueueTicket, Sender<PlacedTarget>>>,
    next_ticket: AtomicU64,
    /// When targets were last assigned because limits had opened, in milliseconds.
    windows_assigned_ms: AtomicU64,
    counters: AdmissionCounters,
}

impl DispatchQueue {
    /// Creates a queue without targets.
    pub(crate) fn new(own_zone: ZoneName) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(PoolTable::new(own_zone)),
            waiters: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            windows_assigned_ms: AtomicU64::new(0),
            counters: AdmissionCounters::default(),
        })
    }

    /// Locks the table. The guard must not be held across an await point.
    pub(crate) fn lock_table(&self) -> MutexGuard<'_, PoolTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a target has a free slot, for at most `max_wait`, as long as one is expected in the
    /// time that the caller has. Dropping the future removes the request from the queue.
    pub(crate) async fn wait_for_target(
        self: &Arc<Self>,
        request: PlacementRequest,
        max_wait: Duration,
    ) -> WaitOutcome {
        let pool = request.pool.clone();
        let end = boot_now().saturating_add(max_wait);
        let (queued, mut admission) = {
            let now = boot_now();
            let mut table = self.lock_table();
            if !table.has_target_for(&request) {
                return WaitOutcome::NoTarget;
            }
            if let Some(placed) = table.place(&request, now, rand::random()) {
                drop(table);
                return WaitOutcome::Placed(Box::new(self.make_guard(pool, placed)));
            }
            let admission = table.admit(&request, now);
            self.counters.count(admission.decision);
            if let AdmissionDecision::Refused(_) = admission.decision {
                return WaitOutcome::Overloaded(admission);
            }
            let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
            let (sender, receiver) = async_channel::bounded(1);
            self.lock_waiters().insert(ticket, sender);
            if let Some(displaced) = table.enqueue(ticket, request, now) {
                // Ends the wait of that request, which finds that it no longer is in the queue.
                self.lock_waiters().remove(&displaced);
            }
            let queued = QueuedRequest {
                queue: self,
                pool: &pool,
                ticket,
                receiver,
            };
            (queued, admission)
        };
        loop {
            let left = end.saturating_sub(boot_now());
            let waited = self.wait(&queued, left.min(admission.review_after)).await;
            // The request may have been placed just as the wait timed out.
            if let Ok(placed) = waited.or(queued.receiver.try_recv()) {
                return WaitOutcome::Placed(Box::new(self.make_guard(pool.clone(), placed)));
            }
            let now = boot_now();
            let reviewed = self.lock_table().review(&pool, queued.ticket, now);
            let Some(reviewed) = reviewed else {
                // It has left the queue: its target is being assigned, or a more urgent request has
                // displaced it.
                if let Ok(placed) = queued.receiver.recv().await {
                    return WaitOutcome::Placed(Box::new(self.make_guard(pool.clone(), placed)));
                }
                admission.decision = AdmissionDecision::Refused(RefusalCause::QueueFull);
                self.counters.count(admission.decision);
                return WaitOutcome::Overloaded(admission);
            };
            if queued.receiver.is_closed() || now >= end {
                return WaitOutcome::TimedOut;
            }
            admission = reviewed;
            if let AdmissionDecision::Refused(_) = admission.decision {
                self.counters.count(admission.decision);
                return WaitOutcome::Overloaded(admission);
            }
        }
    }

    /// Waits for the target of a queued request. While this host limits what it has outstanding at
    /// the pool, a limit below one request opens with time, so the requests that wait for it
    /// assign targets in turn.
    async fn wait(
        self: &Arc<Self>,
        queued: &QueuedRequest<'_>,
        max_wait: Duration,
    ) -> Result<PlacedTarget, RecvError> {
        let end = boot_now() + max_wait;
        loop {
            let left = end.saturating_sub(boot_now());
            let waiting = self.lock_table().waiting_for_window(queued.pool);
            let step = match waiting {
                Some(waiting) => left.min(WINDOW_INTERVAL * waiting.max(1) as u32),
                None => left,
            };
            match timeout(step, queued.receiver.recv()).await {
                Ok(received) => return received,
                Err(_) if step == left => return Err(RecvError),
                Err(_) => self.assign_windows(),
            }
        }
    }

    /// Assigns targets whose limits have opened, unless another request has just done so.
    fn assign_windows(self: &Arc<Self>) {
        let now = boot_now().as_millis() as u64;
        let last = self.windows_assigned_ms.load(Ordering::Relaxed);
        if now.saturating_sub(last) >= WINDOW_INTERVAL.as_millis() as u64 / 2 {
            self.windows_assigned_ms.store(now, Ordering::Relaxed);
            self.assign_waiting();
        }
    }

    /// Ends the wait of all requests of a pool, as if it had timed out.
    pub(crate) fn release_waiting(&self, pool: &str) {
        let tickets = self.lock_table().queued_tickets(pool);
        let mut waiters = self.lock_waiters();
        for ticket in tickets {
            // Dropping the sender ends the request's wait.
            waiters.remove(&ticket);
        }
    }

    /// Returns how often requests that found no free slot were admitted and refused, with the
    /// names of the counters.
    pub(crate) fn admission_counts(&self) -> [(&'static str, u64); 5] {
        self.counters.values()
    }

    /// Assigns free slots to waiting requests.
    pub(crate) fn assign_waiting(self: &Arc<Self>) {
        let now = boot_now();
        let mut table = self.lock_table();
        let assigned = table.assign(now, rand::random);
        drop(table);
        for (ticket, placed) in assigned {
            let waiter = self.lock_waiters().remove(&ticket);
            let unwanted = match waiter {
                Some(waiter) => waiter
                    .try_send(placed)
                    .err()
                    .map(|error| error.into_inner()),
                None => Some(placed),
            };
            // The request is no longer waiting; its slot goes to the next one.
            if let Some(placed) = unwanted {
                self.release(placed);
            }
        }
    }

    fn release(self: &Arc<Self>, placed: PlacedTarget) {
        let pool = self.lock_table().pool_of(&placed.name);
        if let Some(pool) = pool {
            drop(self.make_guard(pool, placed));
        }
    }

    fn make_guard(self: &Arc<Self>, pool: PoolName, placed: PlacedTarget) -> SlotGuard {
        SlotGuard::new(Arc::clone(self), pool, placed)
    }

    fn lock_waiters(&self) -> MutexGuard<'_, SortedMap<QueueTicket, Sender<PlacedTarget>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in the queue. Dropping it removes the request, however its wait ended.
struct QueuedRequest<'a> {
    queue: &'a Arc<DispatchQueue>,
    pool: &'a str,
    ticket: QueueTicket,
    receiver: Receiver<PlacedTarget>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.queue.lock_waiters().remove(&self.ticket);
        self.queue.lock_table().dequeue(self.pool, self.ticket);
        // The slot may have been assigned just as the caller left; without this it would
        // never be released.
        if let Ok(placed) = self.receiver.try_recv() {
            self.queue.release(placed);
        }
    }
}
