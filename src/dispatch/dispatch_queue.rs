//! The table as the requests of one host share it.

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

use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolTable;
use super::QueueTicket;
use super::SlotGuard;
use crate::clock::boot_now;
use crate::ids::PoolName;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// How many requests of one pool may wait at a host. Its part of the targets
/// begins some twenty a second; what waits behind this many would wait longer
/// than any caller does.
const MAX_WAITING: usize = 300;

/// How a wait for a target ended.
#[derive(Debug)]
pub(crate) enum WaitOutcome {
    /// A target has room.
    Placed(SlotGuard),
    /// No target of the pool takes new work.
    NoTarget,
    /// More wait than can be served.
    Overloaded,
    /// The time that the request could wait is over.
    TimedOut,
}

/// The table as the requests of one host share it.
#[derive(Debug)]
pub(crate) struct DispatchQueue {
    table: Mutex<PoolTable>,
    waiters: Mutex<SortedMap<QueueTicket, Sender<PlacedTarget>>>,
    next_number: AtomicU64,
}

impl DispatchQueue {
    /// Makes a queue without targets.
    pub(crate) fn new(own_zone: ZoneName) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(PoolTable::new(own_zone)),
            waiters: Mutex::default(),
            next_number: AtomicU64::new(0),
        })
    }

    /// Locks the table; held for a look or a change, never over a wait.
    pub(crate) fn lock_table(&self) -> MutexGuard<'_, PoolTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a target has room, for at most `patience`. Dropping the future
    /// lets the request wait no more.
    pub(crate) async fn wait_for_target(
        self: &Arc<Self>,
        request: PlacementRequest,
        patience: Duration,
    ) -> WaitOutcome {
        let pool = request.pool.clone();
        let (number, receiver) = {
            let now = boot_now();
            let mut table = self.lock_table();
            if !table.has_accepting_target(&pool) {
                return WaitOutcome::NoTarget;
            }
            if let Some(placed) = table.place(&request, now, rand::random()) {
                drop(table);
                return WaitOutcome::Placed(self.guard(pool, placed));
            }
            let hopeless =
                table.should_shed(&request, now) || table.expected_wait(&request, now) > patience;
            if hopeless || table.waiting(&pool) >= MAX_WAITING {
                return WaitOutcome::Overloaded;
            }
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let (sender, receiver) = async_channel::bounded(1);
            self.lock_waiters().insert(number, sender);
            table.wait(number, request, now);
            (number, receiver)
        };
        let place = QueuedRequest {
            queue: self,
            pool: &pool,
            number,
            receiver,
        };
        let waited = timeout(patience, place.receiver.recv()).await;
        // It may also have been placed in the last moment.
        match waited
            .unwrap_or(Err(RecvError))
            .or(place.receiver.try_recv())
        {
            Ok(placed) => WaitOutcome::Placed(self.guard(pool.clone(), placed)),
            Err(_) => WaitOutcome::TimedOut,
        }
    }

    /// Gives targets to those that wait, as far as there is room.
    pub(crate) fn assign_waiting(self: &Arc<Self>) {
        let now = boot_now();
        let mut table = self.lock_table();
        let assigned = table.assign(now, rand::random);
        let dropped = table.shed_late(now);
        drop(table);
        for ticket in dropped {
            // Without its sender the request's wait ends.
            self.lock_waiters().remove(&ticket);
        }
        for (number, placed) in assigned {
            let waiter = self.lock_waiters().remove(&number);
            let unwanted = match waiter {
                Some(waiter) => waiter
                    .try_send(placed)
                    .err()
                    .map(|error| error.into_inner()),
                None => Some(placed),
            };
            // Its request left meanwhile; the slot goes to the next.
            if let Some(placed) = unwanted {
                self.give_back(placed);
            }
        }
    }

    fn give_back(self: &Arc<Self>, placed: PlacedTarget) {
        let pool = self.lock_table().pool_of(&placed.name);
        if let Some(pool) = pool {
            drop(self.guard(pool, placed));
        }
    }

    fn guard(self: &Arc<Self>, pool: PoolName, placed: PlacedTarget) -> SlotGuard {
        SlotGuard::new(Arc::clone(self), pool, placed)
    }

    fn lock_waiters(&self) -> MutexGuard<'_, SortedMap<QueueTicket, Sender<PlacedTarget>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request's position in the line; dropping it takes the request out, however its
/// wait ended.
struct QueuedRequest<'a> {
    queue: &'a Arc<DispatchQueue>,
    pool: &'a str,
    number: QueueTicket,
    receiver: Receiver<PlacedTarget>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.queue.lock_waiters().remove(&self.number);
        self.queue.lock_table().leave(self.pool, self.number);
        // A target that was given to a request whose caller left in the same
        // moment: its slot would otherwise be held for ever.
        if let Ok(placed) = self.receiver.try_recv() {
            self.queue.give_back(placed);
        }
    }
}
