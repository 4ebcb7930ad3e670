//! The requests of one pool that wait for a slot.

use std::time::Duration;

use super::PlacementRequest;
use super::QueueRank;
use super::QueueTicket;

/// The sort key of a waiting request: its rank, then the time that it has left.
///
/// In a burst beyond the targets' capacity, a first-in-first-out queue fills with requests that
/// will be late and delay all later ones, so that no request meets its objective until long
/// after the burst.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    rank: QueueRank,
    /// When it must start: to meet its objective, or if it can't, to be answered in its caller's
    /// time.
    start_by: Duration,
    ticket: QueueTicket,
}

/// When a request must start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StartTimes {
    /// To meet its objective.
    pub(super) in_time: Duration,
    /// To be answered within its caller's time; zero if it can't be.
    pub(super) latest: Duration,
}

/// The requests ahead of another one, and how long some of them have waited.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestsAhead {
    pub(super) all: usize,
    /// Those of the same rank.
    pub(super) alike: usize,
    /// The longest wait so far of these, and of the request itself.
    pub(super) longest_wait: Duration,
    /// The same over requests of the same rank.
    pub(super) longest_alike: Duration,
    /// The time that the request itself has waited for each position by which it advanced, for one at
    /// least.
    pub(super) time_per_position: Duration,
}

/// A waiting request.
#[derive(Debug)]
struct QueueEntry {
    key: QueueKey,
    request: PlacementRequest,
    times: StartTimes,
    queued_at: Duration,
    /// Number of requests that were ahead of it then.
    initial_position: usize,
}

/// The requests of one pool that wait for a slot, in dispatch order.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    entries: Vec<QueueEntry>,
}

impl StartTimes {
    /// Returns whether the objective can no longer be met.
    pub(super) fn is_late(self, now: Duration) -> bool {
        self.in_time < now
    }

    const fn start_by(self, late: bool) -> Duration {
        match late {
            true => self.latest,
            false => self.in_time,
        }
    }
}

impl QueueEntry {
    /// Returns the key by which the request starts now. It is late once its objective can't be met.
    fn key_at(&self, now: Duration) -> QueueKey {
        let late = self.key.rank.late || self.times.is_late(now);
        QueueKey {
            rank: QueueRank {
                late,
                ..self.key.rank
            },
            start_by: self.times.start_by(late),
            ..self.key
        }
    }
}

impl RequestQueue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the requests ahead of one that waits under `ticket`, or would be queued now, if it
    /// has the given rank.
    pub(super) fn requests_ahead(
        &self,
        rank: QueueRank,
        times: StartTimes,
        ticket: Option<QueueTicket>,
        now: Duration,
    ) -> RequestsAhead {
        let key = QueueKey {
            rank,
            start_by: times.start_by(rank.late),
            ticket: ticket.unwrap_or(QueueTicket::MAX),
        };
        let mut ahead = RequestsAhead::default();
        let mut own = None;
        for entry in &self.entries {
            let is_own = Some(entry.key.ticket) == ticket;
            let held = entry.key_at(now);
            if !is_own && held >= key {
                continue;
            }
            let wait = now.saturating_sub(entry.queued_at);
            ahead.longest_wait = ahead.longest_wait.max(wait);
            ahead.all += usize::from(!is_own);
            if is_own {
                own = Some((wait, entry.initial_position));
            }
            if is_own || held.rank == rank {
                ahead.longest_alike = ahead.longest_alike.max(wait);
                ahead.alike += usize::from(!is_own);
            }
        }
        if let Some((wait, initial_position)) = own {
            let positions = initial_position.saturating_sub(ahead.all).max(1);
            ahead.time_per_position = wait / positions as u32;
        }
        ahead
    }

    /// Queues a request.
    pub(super) fn push(
        &mut self,
        ticket: QueueTicket,
        request: PlacementRequest,
        times: StartTimes,
        now: Duration,
    ) {
        let rank = request.rank(times, now);
        let key = QueueKey {
            rank,
            start_by: times.start_by(rank.late),
            ticket,
        };
        self.insert(QueueEntry {
            key,
            request,
            times,
            queued_at: now,
            initial_position: self.entries.partition_point(|held| held.key < key),
        });
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let before = self.entries.len();
        self.entries.retain(|entry| entry.key.ticket != ticket);
        self.entries.len() < before
    }

    /// Returns a waiting request, and when it must start.
    pub(super) fn find(&self, ticket: QueueTicket) -> Option<(&PlacementRequest, StartTimes)> {
        let mut entries = self.entries.iter();
        let found = entries.find(|entry| entry.key.ticket == ticket)?;
        Some((&found.request, found.times))
    }

    /// Returns whether a request of this rank goes before the last one that can still be refused.
    pub(super) fn is_before_last(&self, rank: QueueRank) -> bool {
        let last = self.refusable().next_back();
        last.is_some_and(|last| rank < last.key.rank)
    }

    /// Removes the last request that can still be refused; returns its ticket.
    pub(super) fn remove_last(&mut self) -> Option<QueueTicket> {
        let ticket = self.refusable().next_back()?.key.ticket;
        self.remove(ticket);
        Some(ticket)
    }

    fn refusable(&self) -> impl DoubleEndedIterator<Item = &QueueEntry> {
        let entries = self.entries.iter();
        entries.filter(|entry| !entry.request.has_started)
    }

    /// Moves requests that can no longer meet their objective after the others of their priority.
    pub(super) fn demote_late(&mut self, now: Duration) {
        let mut index = 0;
        let mut late = Vec::new();
        while index < self.entries.len() {
            let entry = &self.entries[index];
            if !entry.key.rank.late && entry.times.is_late(now) {
                late.push(self.entries.remove(index));
            } else {
                index += 1;
            }
        }
        for mut entry in late {
            entry.key = entry.key_at(now);
            self.insert(entry);
        }
    }

    /// Returns the waiting requests in dispatch order, and their ranks.
    pub(super) fn iter(&self) -> impl Iterator<Item = (QueueTicket, &PlacementRequest, QueueRank)> {
        self.entries
            .iter()
            .map(|entry| (entry.key.ticket, &entry.request, entry.key.rank))
    }

    fn insert(&mut self, entry: QueueEntry) {
        let index = self.entries.partition_point(|held| held.key < entry.key);
        self.entries.insert(index, entry);
    }
}
