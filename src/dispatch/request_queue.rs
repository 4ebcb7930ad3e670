//! The requests of one pool that wait for a slot.

use std::time::Duration;

use super::PlacementRequest;
use super::QueueTicket;
use super::RequestPriority;

/// Where a request stands: those that can still meet their objective go first, by
/// urgency and then by the time that they have left.
///
/// Load it answers: a burst beyond what the targets can begin in time. In order of
/// arrival the line fills with work that will be late, and makes everything behind
/// it late as well; nobody is then served in time until the burst is long over.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueOrder {
    late: bool,
    priority: RequestPriority,
    due: Duration,
    number: QueueTicket,
}

/// A waiting request.
#[derive(Debug)]
struct QueueEntry {
    place: QueueOrder,
    request: PlacementRequest,
}

/// The requests of one pool that wait for a slot, in their order.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    entries: Vec<QueueEntry>,
}

impl RequestQueue {
    /// Returns how many wait.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many stand before a request of this priority that must be dispatched
    /// by `due`.
    pub(super) fn ahead(&self, priority: RequestPriority, due: Duration, now: Duration) -> usize {
        let place = QueueOrder {
            late: due < now,
            priority,
            due,
            number: QueueTicket::MAX,
        };
        self.entries.partition_point(|held| held.place < place)
    }

    /// Returns how many late ones stand before a late request of this priority.
    pub(super) fn late_ahead(&self, priority: RequestPriority, due: Duration) -> usize {
        let place = QueueOrder {
            late: true,
            priority,
            due,
            number: QueueTicket::MAX,
        };
        let before = self.entries.iter().filter(|held| held.place < place);
        before.filter(|held| held.place.late).count()
    }

    /// Adds a request that must be dispatched by `due` to meet its objective.
    pub(super) fn add(
        &mut self,
        number: QueueTicket,
        request: PlacementRequest,
        due: Duration,
        now: Duration,
    ) {
        let place = QueueOrder {
            late: due < now,
            priority: request.priority,
            due,
            number,
        };
        self.insert(QueueEntry { place, request });
    }

    /// Removes a request; returns whether it was there.
    pub(super) fn remove(&mut self, number: QueueTicket) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.place.number != number);
        self.entries.len() < before
    }

    /// Moves those that can't meet their objective any more behind the others.
    pub(super) fn sort_late(&mut self, now: Duration) {
        let mut index = 0;
        let mut late = Vec::new();
        while index < self.entries.len() {
            let place = self.entries[index].place;
            if !place.late && place.due < now {
                late.push(self.entries.remove(index));
            } else {
                index += 1;
            }
        }
        for mut entry in late {
            entry.place.late = true;
            self.insert(entry);
        }
    }

    /// Returns the waiting requests in their order, and whether each is late.
    pub(super) fn iter(&self) -> impl Iterator<Item = (QueueTicket, &PlacementRequest, bool)> {
        self.entries
            .iter()
            .map(|entry| (entry.place.number, &entry.request, entry.place.late))
    }

    fn insert(&mut self, entry: QueueEntry) {
        let index = self
            .entries
            .partition_point(|held| held.place < entry.place);
        self.entries.insert(index, entry);
    }
}
