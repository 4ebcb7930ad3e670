//! Limits that targets state in their answers, for themselves or for their pool.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;

/// The smallest relative change of a limit that is applied and gossiped.
const MIN_RELATIVE_CHANGE: f64 = 0.1;

/// The largest limit, per second, which is beyond what all hosts send. Larger ones, which a target
/// may state as it likes, would overflow the parts of hosts.
const MAX_LIMIT: f64 = 1e6;

/// A limit, as sent to peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatedLimit<K> {
    /// What is limited.
    pub subject: K,
    /// Number per second over all hosts; `None` once the limit has ended.
    pub per_second: Option<f64>,
    /// Time since the target first stated a limit, in milliseconds.
    pub lasted_ms: u64,
    /// Age of its last statement, in milliseconds.
    pub age_ms: u64,
}

/// The requests that a target accepts.
pub type TargetLimit = StatedLimit<TargetIncarnation>;
/// The rejections after which a target of a brittle pool crashes.
pub type BrittleLimit = StatedLimit<PoolName>;

/// The last statement of a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitEntry {
    /// Number per second over all hosts; `None` once the limit has ended.
    pub(super) per_second: Option<f64>,
    /// When the target first stated a limit, on the boot clock.
    pub(super) since: Duration,
    /// When the target last stated its limit, or stated none.
    stated_at: Duration,
    /// When it last changed at this host.
    changed_at: Duration,
}

/// Limits by the answers of targets to this host and to its peers.
///
/// An overloaded target states a limit for all hosts together. If hosts did not exchange it,
/// each would learn of it by its own requests and use all of it.
#[derive(Debug)]
pub(super) struct LimitTable<K> {
    entries: SortedMap<K, LimitEntry>,
}

impl<K: Ord> Default for LimitTable<K> {
    fn default() -> Self {
        Self {
            entries: SortedMap::new(),
        }
    }
}

impl<K: Clone + Ord> LimitTable<K> {
    /// Returns the last limit that was stated.
    pub(super) fn get(&self, subject: &K) -> Option<&LimitEntry> {
        self.entries.get(subject)
    }

    /// Records the limit in the answer to a request that was sent at `sent`; returns whether the
    /// limit changes.
    ///
    /// Only the answer to a request sent after the last statement can end the limit: the answer
    /// to an earlier request may predate the limit.
    pub(super) fn record(
        &mut self,
        subject: &K,
        per_second: Option<f64>,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let held = self.entries.get(subject);
        if per_second.is_none() && held.is_none_or(|held| sent <= held.stated_at) {
            return false;
        }
        self.store(subject, per_second, now, now, now)
    }

    /// Merges a limit received from a peer; returns whether the limit changes.
    pub(super) fn merge(&mut self, limit: &StatedLimit<K>, now: Duration) -> bool {
        let stated_at = now.saturating_sub(Duration::from_millis(limit.age_ms));
        let since = now.saturating_sub(Duration::from_millis(limit.lasted_ms));
        let held = self.entries.get(&limit.subject);
        if held.is_some_and(|held| stated_at <= held.stated_at) {
            return false;
        }
        self.store(&limit.subject, limit.per_second, since, stated_at, now)
    }

    /// Returns the limits that changed since `since`, or all current limits if `all` is set.
    pub(super) fn changes(&self, all: bool, since: Duration, now: Duration) -> Vec<StatedLimit<K>> {
        let entries = self.entries.iter();
        let changed = entries.filter(|(_, entry)| match all {
            true => entry.per_second.is_some(),
            false => entry.changed_at >= since,
        });
        let age_of = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        changed
            .map(|(subject, entry)| StatedLimit {
                subject: subject.clone(),
                per_second: entry.per_second,
                lasted_ms: age_of(entry.since),
                age_ms: age_of(entry.stated_at),
            })
            .collect()
    }

    /// Removes what is no longer registered.
    pub(super) fn retain(&mut self, is_registered: impl Fn(&K) -> bool) {
        self.entries.retain(|subject, _| is_registered(subject));
    }

    fn store(
        &mut self,
        subject: &K,
        per_second: Option<f64>,
        since: Duration,
        stated_at: Duration,
        now: Duration,
    ) -> bool {
        let per_second = per_second.map(|per_second| per_second.clamp(0.0, MAX_LIMIT));
        let held = self.entries.get(subject).copied();
        let limited = held.filter(|held| held.per_second.is_some());
        let changes = differs(held.and_then(|held| held.per_second), per_second);
        let entry = LimitEntry {
            // Small changes are not gossiped, so applying them would make hosts disagree.
            per_second: match held {
                Some(held) if !changes => held.per_second,
                _ => per_second,
            },
            since: limited.map_or(since, |held| held.since.min(since)),
            stated_at,
            changed_at: match held {
                Some(held) if !changes => held.changed_at,
                _ => now,
            },
        };
        self.entries.insert(subject.clone(), entry);
        changes
    }
}

fn differs(held: Option<f64>, per_second: Option<f64>) -> bool {
    match (held, per_second) {
        (Some(held), Some(new)) => (new - held).abs() > held * MIN_RELATIVE_CHANGE,
        (held, new) => held.is_some() != new.is_some(),
    }
}
