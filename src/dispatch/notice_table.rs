//! What targets state in their answers about new requests.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;

/// How long a target is remembered as leaving after its registration was last seen. During a
/// store outage a registration may expire and return while the target is still leaving.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// A leaving target, as sent to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingTarget {
    /// The target.
    pub target: TargetIncarnation,
    /// Time since its registration was last seen, in milliseconds.
    pub unseen_ms: u64,
}

/// A target that a store which went back shows as registered although it was removed, as sent
/// to peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReturningTarget {
    /// The target.
    pub target: TargetIncarnation,
    /// Time for which it gets no more requests, in milliseconds.
    pub left_ms: u64,
}

/// What a host knows about a returning target.
#[derive(Clone, Copy, Debug)]
struct ReturningEntry {
    /// When this host learned of it, on the boot clock.
    learned_at: Duration,
    /// Until when it gets no requests.
    until: Duration,
}

/// What a host knows about a leaving target.
#[derive(Clone, Copy, Debug)]
struct LeavingEntry {
    /// When this host learned that the target is leaving, on the boot clock.
    learned_at: Duration,
    /// When its registration was last seen, by this host or a peer.
    seen_at: Duration,
    /// Whether it was registered when this host last checked.
    registered: bool,
}

/// The targets that stated that they are leaving, or asked for a pause.
///
/// Statements belong to one incarnation of a target. They outlive its registration, which the
/// store may lose and get back.
#[derive(Debug, Default)]
pub(super) struct NoticeTable {
    leaving: SortedMap<TargetIncarnation, LeavingEntry>,
    /// Targets that get no requests until the given time.
    pauses: SortedMap<TargetIncarnation, Duration>,
    /// Targets whose pause peers are told of.
    returning: SortedMap<TargetIncarnation, ReturningEntry>,
}

impl NoticeTable {
    /// Records that a target is leaving; returns whether this is new.
    pub(super) fn record_leaving(&mut self, target: TargetIncarnation, now: Duration) -> bool {
        let entry = LeavingEntry {
            learned_at: now,
            seen_at: now,
            registered: true,
        };
        let is_new = !self.leaving.contains_key(&target);
        self.leaving.get_or_insert_with(target, || entry);
        is_new
    }

    /// Merges a leaving target received from a peer; returns whether it is new.
    pub(super) fn merge_leaving(&mut self, leaving: &LeavingTarget, now: Duration) -> bool {
        let seen_at = now.saturating_sub(Duration::from_millis(leaving.unseen_ms));
        if let Some(held) = self.leaving.get_mut(&leaving.target) {
            held.seen_at = held.seen_at.max(seen_at);
            return false;
        }
        let entry = LeavingEntry {
            learned_at: now,
            seen_at,
            registered: true,
        };
        self.leaving.insert(leaving.target.clone(), entry);
        true
    }

    /// Returns the leaving targets that this host learned of since `since`, or all that are
    /// still registered if `all` is set.
    pub(super) fn leaving_changes(
        &self,
        all: bool,
        since: Duration,
        now: Duration,
    ) -> Vec<LeavingTarget> {
        let entries = self.leaving.iter();
        let changed = entries.filter(|(_, entry)| match all {
            true => entry.registered,
            false => entry.learned_at >= since,
        });
        let unseen = |entry: &LeavingEntry| now.saturating_sub(entry.seen_at);
        changed
            .map(|(target, entry)| LeavingTarget {
                target: target.clone(),
                unseen_ms: unseen(entry).as_millis() as u64,
            })
            .collect()
    }

    /// Records that a target asked for no requests during `pause`; returns whether its current
    /// pause gets longer. A shorter one does not end the current pause.
    pub(super) fn record_pause(
        &mut self,
        target: TargetIncarnation,
        pause: Duration,
        now: Duration,
    ) -> bool {
        let until = now + pause;
        let held = self.pauses.get_or_insert_with(target, || Duration::ZERO);
        let extends = *held < until;
        *held = until.max(*held);
        extends
    }

    /// Records that a returning target gets no requests during `pause`; returns whether this is
    /// new.
    pub(super) fn record_returning(
        &mut self,
        target: TargetIncarnation,
        pause: Duration,
        now: Duration,
    ) -> bool {
        let held = self.returning.get(&target);
        if held.is_some_and(|held| held.until > now) {
            return false;
        }
        let entry = ReturningEntry {
            learned_at: now,
            until: now + pause,
        };
        self.returning.insert(target.clone(), entry);
        self.record_pause(target, pause, now);
        true
    }

    /// Returns the returning targets that this host learned of since `since`, or `all`.
    pub(super) fn returning_changes(
        &self,
        all: bool,
        since: Duration,
        now: Duration,
    ) -> Vec<ReturningTarget> {
        let entries = self.returning.iter();
        let changed = entries.filter(|(_, entry)| all || entry.learned_at >= since);
        let changed = changed.filter(|(_, entry)| entry.until > now);
        changed
            .map(|(target, entry)| ReturningTarget {
                target: target.clone(),
                left_ms: entry.until.saturating_sub(now).as_millis() as u64,
            })
            .collect()
    }

    /// Returns whether a target stated that it is leaving.
    pub(super) fn is_leaving(&self, target: &TargetIncarnation) -> bool {
        self.leaving.contains_key(target)
    }

    /// Returns the end of the pause that a target asked for; zero if it asked for none.
    pub(super) fn paused_until(&self, target: &TargetIncarnation) -> Duration {
        self.pauses.get(target).copied().unwrap_or_default()
    }

    /// Removes the pauses that are over, and the leaving targets that have been gone for long.
    /// `is_registered` tells whether an incarnation is registered now.
    pub(super) fn expire(
        &mut self,
        is_registered: impl Fn(&TargetIncarnation) -> bool,
        now: Duration,
    ) {
        self.pauses.retain(|_, until| *until > now);
        self.returning.retain(|_, entry| entry.until > now);
        self.leaving.retain(|target, entry| {
            entry.registered = is_registered(target);
            if entry.registered {
                entry.seen_at = now;
            }
            now.saturating_sub(entry.seen_at) < LEAVING_TTL
        });
    }
}
