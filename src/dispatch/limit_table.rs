//! The requests per second that targets take, as they name them.

use std::time::Duration;

use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// The relative change of a limit from which on it counts as another one.
const LIMIT_CHANGE: f64 = 0.1;

/// What a target said of the requests that it takes.
#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    /// Requests per second over all hosts; `None` since it names no limit any more.
    per_second: Option<f64>,
    /// When it said so last, on the boot clock.
    said_at: Duration,
}

/// The requests per second that targets take, as they name them in their answers.
#[derive(Debug, Default)]
pub(super) struct LimitTable {
    entries: SortedMap<TargetName, LimitEntry>,
}

impl LimitTable {
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
        let held = self.entries.get(target).copied();
        if per_second.is_none() && held.is_none_or(|held| sent <= held.said_at) {
            return false;
        }
        let entry = LimitEntry {
            per_second,
            said_at: now,
        };
        self.entries.insert(target.clone(), entry);
        differs(held.and_then(|held| held.per_second), per_second)
    }

    /// Forgets targets that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.entries.retain(|target, _| is_known(target));
    }
}

fn differs(held: Option<f64>, per_second: Option<f64>) -> bool {
    match (held, per_second) {
        (Some(held), Some(new)) => (new - held).abs() > held * LIMIT_CHANGE,
        (held, new) => held.is_some() != new.is_some(),
    }
}
