//! How long callers have waited already, by the time that they have left.

use std::time::Duration;

use crate::sorted::SortedMap;

/// How many deadlines are remembered for a route.
const MAX_DEADLINES: usize = 8;
/// How often a deadline must have come to be one that callers start with.
const MIN_COUNT: u32 = 5;
/// The highest count, so that deadlines that are no longer used are forgotten.
const MAX_COUNT: u32 = 1000;

/// Where callers start with deadlines of their own, these differ by less than this part. One
/// that was told to come back has less left than that.
const MIN_FIRST_RATIO: f64 = 0.8;
/// How long a deadline counts among those that callers start with.
const DEADLINE_MEMORY: Duration = Duration::from_secs(30);

/// The deadlines that came for each route.
///
/// Callers start with one of a few deadlines, or with one of their own near the longest, while
/// one that comes back after a rejection has an odd rest of it left. The objective counts from
/// its first attempt, so it may have passed already.
#[derive(Debug, Default)]
pub(crate) struct DeadlineHistory {
    routes: SortedMap<String, RouteDeadlines>,
}

#[derive(Debug, Default)]
struct RouteDeadlines {
    seen: Vec<SeenDeadline>,
    /// The longest of the present period, and of the one before.
    longest: Duration,
    longest_before: Duration,
    since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct SeenDeadline {
    deadline: Duration,
    count: u32,
}

impl DeadlineHistory {
    /// Notes what a caller of a route has left; returns how long it has waited already.
    pub(crate) fn note(&mut self, route: &str, left: Duration, now: Duration) -> Duration {
        let route = self
            .routes
            .get_or_insert_with(route.to_owned(), RouteDeadlines::default);
        count(&mut route.seen, left);
        let longest = route.longest_with(left, now);
        let usual = route.seen.iter().filter(|held| held.count >= MIN_COUNT);
        let started = usual
            .map(|held| held.deadline)
            .filter(|deadline| *deadline >= left)
            .min();
        match started {
            Some(started) => started - left,
            None if left < longest.mul_f64(MIN_FIRST_RATIO) => longest - left,
            None => Duration::ZERO,
        }
    }
}

impl RouteDeadlines {
    /// Notes a deadline; returns the longest that came lately.
    fn longest_with(&mut self, left: Duration, now: Duration) -> Duration {
        if now.saturating_sub(self.since) >= DEADLINE_MEMORY {
            self.longest_before = std::mem::take(&mut self.longest);
            self.since = now;
        }
        self.longest = self.longest.max(left);
        self.longest.max(self.longest_before)
    }
}

fn count(seen: &mut Vec<SeenDeadline>, deadline: Duration) {
    if let Some(held) = seen.iter_mut().find(|held| held.deadline == deadline) {
        held.count += 1;
        if held.count >= MAX_COUNT {
            seen.iter_mut().for_each(|held| held.count /= 2);
        }
        return;
    }
    if seen.len() >= MAX_DEADLINES {
        let rarest = (0..seen.len()).min_by_key(|index| seen[*index].count);
        seen.swap_remove(rarest.unwrap_or(0));
    }
    seen.push(SeenDeadline { deadline, count: 1 });
}
