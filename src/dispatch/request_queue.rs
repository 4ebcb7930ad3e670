//! The requests of one pool that wait for a slot.

use std::time::Duration;

use super::PlacementRequest;
use super::QueueTicket;
use super::RequestPriority;

/// The sort key of a waiting request: requests that can still meet their objective go first,
/// ordered by priority and then by the time left.
///
/// In a burst beyond the targets' capacity, a first-in-first-out queue fills with requests that
/// will be late and delay all later ones, so that no request meets its objective until long
/// after the burst.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    late: bool,
    priority: RequestPriority,
    /// Whether the caller was not refused before. One that returns would not do so again.
    is_first: bool,
    due: Duration,
    ticket: QueueTicket,
}

/// The numbers of requests ahead of another one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestsAhead {
    /// Those that can still be in time.
    pub(super) in_time: usize,
    /// Those of these with the same priority.
    pub(super) in_time_alike: usize,
    /// Those that are late.
    pub(super) late: usize,
    /// Those of these with the same priority.
    pub(super) late_alike: usize,
}

/// A waiting request.
#[derive(Debug)]
struct QueueEntry {
    key: QueueKey,
    request: PlacementRequest,
}

/// The requests of one pool that wait for a slot, in dispatch order.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    entries: Vec<QueueEntry>,
}

impl RequestQueue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Counts the requests ahead of `request`, which must be dispatched by `due` to meet its
    /// objective.
    pub(super) fn count_ahead(
        &self,
        request: &PlacementRequest,
        due: Duration,
        is_late: bool,
    ) -> RequestsAhead {
        let key = QueueKey {
            late: is_late,
            priority: request.priority,
            is_first: !request.is_retry,
            due,
            ticket: QueueTicket::MAX,
        };
        let mut counts = RequestsAhead::default();
        for held in self.entries.iter().take_while(|held| held.key < key) {
            let alike = usize::from(held.key.priority == request.priority);
            match held.key.late {
                true => {
                    counts.late += 1;
                    counts.late_alike += alike;
                }
                false => {
                    counts.in_time += 1;
                    counts.in_time_alike += alike;
                }
            }
        }
        counts
    }

    /// Queues a request that must be dispatched by `due` to meet its objective.
    pub(super) fn push(
        &mut self,
        ticket: QueueTicket,
        request: PlacementRequest,
        due: Duration,
        now: Duration,
    ) {
        let key = QueueKey {
            late: due < now,
            priority: request.priority,
            is_first: !request.is_retry,
            due,
            ticket,
        };
        self.insert(QueueEntry { key, request });
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.key.ticket != ticket);
        self.entries.len() < before
    }

    /// Moves requests that can no longer meet their objective after the others.
    pub(super) fn demote_late(&mut self, now: Duration) {
        let mut index = 0;
        let mut late = Vec::new();
        while index < self.entries.len() {
            let key = self.entries[index].key;
            if !key.late && key.due < now {
                late.push(self.entries.remove(index));
            } else {
                index += 1;
            }
        }
        for mut entry in late {
            entry.key.late = true;
            self.insert(entry);
        }
    }

    /// Returns the waiting requests in dispatch order, and whether each is late.
    pub(super) fn iter(&self) -> impl Iterator<Item = (QueueTicket, &PlacementRequest, bool)> {
        self.entries
            .iter()
            .map(|entry| (entry.key.ticket, &entry.request, entry.key.late))
    }

    fn insert(&mut self, entry: QueueEntry) {
        let index = self.entries.partition_point(|held| held.key < entry.key);
        self.entries.insert(index, entry);
    }
}
