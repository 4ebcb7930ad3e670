//! The requests of one pool that wait for a slot.

use std::time::Duration;

use super::DispatchWish;
use super::UrgencyRank;
use super::WaitNumber;

/// Where a request stands: those that can still meet their objective go first, by
/// urgency and then by the time that they have left.
///
/// Load it answers: a burst beyond what the targets can begin in time. In order of
/// arrival the line fills with work that will be late, and makes everything behind
/// it late as well; nobody is then served in time until the burst is long over.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LinePlace {
    late: bool,
    rank: UrgencyRank,
    due: Duration,
    number: WaitNumber,
}

/// A waiting request.
#[derive(Debug)]
struct WaitEntry {
    place: LinePlace,
    wish: DispatchWish,
}

/// The requests of one pool that wait for a slot, in their order.
#[derive(Debug, Default)]
pub(super) struct WaitLine {
    entries: Vec<WaitEntry>,
}

impl WaitLine {
    /// Returns how many wait.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many stand before a request of this rank that must be dispatched
    /// by `due`.
    pub(super) fn ahead(&self, rank: UrgencyRank, due: Duration, now: Duration) -> usize {
        let place = LinePlace {
            late: due < now,
            rank,
            due,
            number: WaitNumber::MAX,
        };
        self.entries.partition_point(|held| held.place < place)
    }

    /// Adds a request that must be dispatched by `due` to meet its objective.
    pub(super) fn add(
        &mut self,
        number: WaitNumber,
        wish: DispatchWish,
        due: Duration,
        now: Duration,
    ) {
        let place = LinePlace {
            late: due < now,
            rank: wish.rank,
            due,
            number,
        };
        self.insert(WaitEntry { place, wish });
    }

    /// Removes a request; returns whether it was there.
    pub(super) fn remove(&mut self, number: WaitNumber) -> bool {
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
    pub(super) fn iter(&self) -> impl Iterator<Item = (WaitNumber, &DispatchWish, bool)> {
        self.entries
            .iter()
            .map(|entry| (entry.place.number, &entry.wish, entry.place.late))
    }

    fn insert(&mut self, entry: WaitEntry) {
        let index = self
            .entries
            .partition_point(|held| held.place < entry.place);
        self.entries.insert(index, entry);
    }
}
