//! The requests per second that targets take, as they name them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// The relative change of a limit from which on it counts as another one.
const LIMIT_CHANGE: f64 = 0.1;

/// What a target said of the requests that it takes, for a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetLimit {
    /// The target.
    pub target: TargetName,
    /// Requests per second over all hosts; `None` since it names no limit any more.
    pub per_second: Option<f64>,
    /// For how long it has been naming limits, in milliseconds.
    pub lasted_ms: u64,
    /// How long ago it said so last, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LimitEntry {
    /// Requests per second over all hosts; `None` since it names no limit any more.
    pub(super) per_second: Option<f64>,
    /// Since when it has been naming limits, on the boot clock.
    pub(super) since: Duration,
    /// When it said so last.
    said_at: Duration,
    /// When this host learned of it.
    changed_at: Duration,
}

/// The requests per second that targets take, as they name them in their answers.
///
/// Load it answers: a target in need. Each host alone would learn of the limit by what it
/// sends there itself, and each would use all of it.
#[derive(Debug, Default)]
pub(super) struct LimitTable {
    entries: SortedMap<TargetName, LimitEntry>,
}

impl LimitTable {
    /// Returns what a target said.
    pub(super) fn get(&self, target: &str) -> Option<&LimitEntry> {
        self.entries.get(target)
    }

    /// Notes what an answer to a request names that was sent at `sent`; returns whether that
    /// changes the limit.
    ///
    /// A limit ends with an answer to a request that was sent after it was named: an older
    /// one may have been answered before.
    pub(super) fn note(
        &mut self,
        target: &TargetName,
        per_second: Option<f64>,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let held = self.entries.get(target);
        if per_second.is_none() && held.is_none_or(|held| sent <= held.said_at) {
            return false;
        }
        self.take(target, per_second, now, now, now)
    }

    /// Takes in what a peer knows; returns whether that changes the limit.
    pub(super) fn merge(&mut self, limit: &TargetLimit, now: Duration) -> bool {
        let said_at = now.saturating_sub(Duration::from_millis(limit.age_ms));
        let since = now.saturating_sub(Duration::from_millis(limit.lasted_ms));
        let held = self.entries.get(&limit.target);
        if held.is_some_and(|held| said_at <= held.said_at) {
            return false;
        }
        self.take(&limit.target, limit.per_second, since, said_at, now)
    }

    /// Returns what changed since a time, or all limits.
    pub(super) fn changes(&self, all: bool, since: Duration, now: Duration) -> Vec<TargetLimit> {
        let entries = self.entries.iter();
        let changed = entries.filter(|(_, entry)| match all {
            true => entry.per_second.is_some(),
            false => entry.changed_at >= since,
        });
        let age_of = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        changed
            .map(|(target, entry)| TargetLimit {
                target: target.clone(),
                per_second: entry.per_second,
                lasted_ms: age_of(entry.since),
                age_ms: age_of(entry.said_at),
            })
            .collect()
    }

    /// Forgets targets that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.entries.retain(|target, _| is_known(target));
    }

    fn take(
        &mut self,
        target: &TargetName,
        per_second: Option<f64>,
        since: Duration,
        said_at: Duration,
        now: Duration,
    ) -> bool {
        let held = self.entries.get(target).copied();
        let limited = held.filter(|held| held.per_second.is_some());
        let changes = differs(held.and_then(|held| held.per_second), per_second);
        let entry = LimitEntry {
            // Small changes are not sent on, so all hosts keep the same limit meanwhile.
            per_second: match held {
                Some(held) if !changes => held.per_second,
                _ => per_second,
            },
            since: limited.map_or(since, |held| held.since.min(since)),
            said_at,
            changed_at: match held {
                Some(held) if !changes => held.changed_at,
                _ => now,
            },
        };
        self.entries.insert(target.clone(), entry);
        changes
    }
}

fn differs(held: Option<f64>, per_second: Option<f64>) -> bool {
    match (held, per_second) {
        (Some(held), Some(new)) => (new - held).abs() > held * LIMIT_CHANGE,
        (held, new) => held.is_some() != new.is_some(),
    }
}
