//! The queue of pending events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events ordered by time; events at the same time are ordered by insertion.
#[derive(Debug)]
pub(super) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<QueuedEvent<T>>>,
    inserted_count: u64,
}

#[derive(Debug)]
struct QueuedEvent<T> {
    at: Duration,
    sequence: u64,
    event: T,
}

impl<T> EventQueue<T> {
    pub(super) const fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            inserted_count: 0,
        }
    }

    pub(super) fn push(&mut self, at: Duration, event: T) {
        self.inserted_count += 1;
        self.heap.push(Reverse(QueuedEvent {
            at,
            sequence: self.inserted_count,
            event,
        }));
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, T)> {
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at, queued.event))
    }
}

impl<T> QueuedEvent<T> {
    const fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for QueuedEvent<T> {}

impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedEvent<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
