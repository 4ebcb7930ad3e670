//! Estimates how long callers have already waited from the deadlines that they send.

use std::time::Duration;

use crate::sorted::SortedMap;

/// Limit on distinct deadlines remembered per route.
const MAX_DEADLINES: usize = 8;
/// Minimum number of occurrences for a deadline to count as an initial one.
const MIN_OCCURRENCES: u32 = 5;
/// Count at which all counts are halved, so that deadlines no longer in use are
/// forgotten.
const MAX_COUNT: u32 = 1000;

/// Lowest ratio of an individual initial deadline to the longest one of its route.
/// Retries have less time left than that.
const MIN_INITIAL_RATIO: f64 = 0.8;
/// Period over which the longest deadline of a route is tracked.
const LONGEST_PERIOD: Duration = Duration::from_secs(30);

/// The longest deadline that is remembered. One caller with an absurd deadline would otherwise make
/// all others seem to have waited for the difference. Requests are served for no longer than this.
const MAX_DEADLINE: Duration = Duration::from_secs(300);

/// Recent deadlines of each route.
///
/// Callers start either with one of a few common deadlines or with an individual one
/// close to the longest. A caller that retries after a refusal sends what is left of its
/// initial deadline, which is an uncommon value. The latency objective counts from the
/// first attempt, so it may already have been missed.
#[derive(Debug, Default)]
pub(crate) struct DeadlineHistory {
    routes: SortedMap<String, RouteDeadlines>,
}

#[derive(Debug, Default)]
struct RouteDeadlines {
    seen: Vec<SeenDeadline>,
    /// The longest deadline of the current period and of the previous one.
    longest: Duration,
    previous_longest: Duration,
    period_start: Duration,
}

#[derive(Clone, Copy, Debug)]
struct SeenDeadline {
    deadline: Duration,
    count: u32,
}

impl DeadlineHistory {
    /// Records a deadline and returns the estimated time that the caller has already
    /// waited.
    pub(crate) fn record(&mut self, route: &str, left: Duration, now: Duration) -> Duration {
        if left > MAX_DEADLINE {
            return Duration::ZERO;
        }
        let route = self
            .routes
            .get_or_insert_with(route.to_owned(), RouteDeadlines::default);
        count_deadline(&mut route.seen, left);
        let longest = route.update_longest(left, now);
        let frequent = route
            .seen
            .iter()
            .filter(|entry| entry.count >= MIN_OCCURRENCES);
        let initial = frequent
            .map(|entry| entry.deadline)
            .filter(|deadline| *deadline >= left)
            .min();
        match initial {
            Some(initial) => initial - left,
            None if left < longest.mul_f64(MIN_INITIAL_RATIO) => longest - left,
            None => Duration::ZERO,
        }
    }
}

impl RouteDeadlines {
    /// Records a deadline and returns the longest one of the last two periods.
    fn update_longest(&mut self, left: Duration, now: Duration) -> Duration {
        if now.saturating_sub(self.period_start) >= LONGEST_PERIOD {
            self.previous_longest = std::mem::take(&mut self.longest);
            self.period_start = now;
        }
        self.longest = self.longest.max(left);
        self.longest.max(self.previous_longest)
    }
}

fn count_deadline(seen: &mut Vec<SeenDeadline>, deadline: Duration) {
    if let Some(entry) = seen.iter_mut().find(|entry| entry.deadline == deadline) {
        entry.count += 1;
        if entry.count >= MAX_COUNT {
            seen.iter_mut().for_each(|entry| entry.count /= 2);
        }
        return;
    }
    if seen.len() >= MAX_DEADLINES {
        let rarest = (0..seen.len()).min_by_key(|index| seen[*index].count);
        seen.swap_remove(rarest.unwrap_or(0));
    }
    seen.push(SeenDeadline { deadline, count: 1 });
}
