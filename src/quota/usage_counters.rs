//! Usage of one account by all hosts, each request counted once.

use std::time::Duration;

use super::host_clock::ClockOffset;
use super::tracked_window::TrackedWindow;
use super::usage_window::BucketNumber;
use super::usage_window::UsageBuckets;
use super::usage_window::UsageWindow;
use super::usage_window::WINDOW_BUCKETS;
use super::usage_window::start_of;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// What a leader reported about all hosts.
#[derive(Clone, Debug)]
struct LeaderView {
    /// What the leader counted first, by its buckets.
    counted: UsageWindow,
    /// What it knows from others, by its buckets.
    relayed: UsageWindow,
    /// Both, by local buckets.
    window: UsageWindow,
}

/// Usage of one account by all hosts, as known to one host.
///
/// Each request is counted by one origin: the host that admitted it, or the first leader that
/// received it. A host reports its usage until a leader has acknowledged it. Reports give the usage
/// of an origin by bucket, so they may be repeated, late, lost or relayed after the origin stopped,
/// and each request still counts once.
///
/// A leader's report on all hosts is a view of its own. Each view and the local counters may lack
/// some usage, but none contains a request twice, so the largest is the closest.
#[derive(Clone, Debug)]
pub(super) struct UsageCounters {
    window: Duration,
    /// What this host admitted.
    own: UsageWindow,
    /// The part of it that this host or a leader counted.
    handed_over: UsageWindow,
    /// What this host was the first to count: its own usage, and that of hosts that report to it.
    counted: TrackedWindow,
    /// What other origins counted.
    relayed: TrackedWindow,
    /// What each host that reports here admitted, by its buckets.
    members: SortedMap<IncarnationId, UsageWindow>,
    /// What each other origin counted, by its buckets.
    origins: SortedMap<IncarnationId, UsageWindow>,
    views: SortedMap<IncarnationId, LeaderView>,
}

impl UsageCounters {
    pub(super) fn new(window: Duration) -> Self {
        let empty = UsageWindow::new(window);
        Self {
            window,
            own: empty.clone(),
            handed_over: empty,
            counted: TrackedWindow::new(window),
            relayed: TrackedWindow::new(window),
            members: SortedMap::new(),
            origins: SortedMap::new(),
            views: SortedMap::new(),
        }
    }

    /// Changes the length of the window. What was counted stays counted.
    pub(super) fn resize(&mut self, window: Duration, now: Duration) {
        self.window = window;
        let views = self.views.values().map(|view| &view.window);
        if let Some(view) = views.max_by(|left, right| left.total(now).total_cmp(&right.total(now)))
        {
            for (number, used) in view.buckets().iter() {
                let relayed = used - self.counted.used(number);
                self.relayed.raise(number, relayed, now);
            }
        }
        self.own = self.own.resized(window, now);
        self.handed_over = self.handed_over.resized(window, now);
        self.counted = self.counted.resized(window, now);
        self.relayed = self.relayed.resized(window, now);
        self.members = SortedMap::new();
        self.origins = SortedMap::new();
        self.views = SortedMap::new();
    }

    /// Adds usage of this host.
    pub(super) fn consume(&mut self, cost: f64, now: Duration) {
        self.own.add(cost, now);
    }

    /// Counts the own usage that was not handed over to a leader.
    pub(super) fn count_own(&mut self, now: Duration) {
        for (number, amount) in self.own.buckets().iter() {
            let added = self.handed_over.raise(number, amount);
            if added > 0.0 {
                let at = start_of(number, self.own.bucket());
                self.counted.add_at(added, at, now);
            }
        }
    }

    /// Returns the own usage that no leader has acknowledged, as the usage of each bucket and the
    /// part of it that was acknowledged.
    pub(super) fn pending(&self) -> (UsageBuckets, UsageBuckets) {
        let mut own = self.own.buckets();
        let is_pending = |(number, used): (BucketNumber, f64)| {
            used - self.handed_over.used(number) > used * f64::from(f32::EPSILON)
        };
        let pending: Vec<bool> = own.iter().map(is_pending).collect();
        let count = pending
            .iter()
            .rposition(|pending| *pending)
            .map_or(0, |last| last + 1);
        own.used.truncate(count);
        let handed_over = own
            .iter()
            .map(|(number, _)| self.handed_over.used(number) as f32);
        let handed_over = UsageBuckets {
            newest: own.newest,
            used: handed_over.collect(),
        };
        (own, handed_over)
    }

    /// Records that a leader counted own usage.
    pub(super) fn acknowledge(&mut self, sent: &UsageBuckets) {
        for (number, amount) in sent.iter() {
            self.handed_over.raise(number, amount);
        }
    }

    /// Returns what this host was the first to count, since a time or in the whole window.
    pub(super) fn counted_since(&self, since: Option<Duration>) -> UsageBuckets {
        self.counted.changed_since(since)
    }

    /// Returns what other origins counted, since a time or in the whole window.
    pub(super) fn relayed_since(&self, since: Option<Duration>) -> UsageBuckets {
        self.relayed.changed_since(since)
    }

    /// Returns what another origin counted, in the whole window.
    pub(super) fn origin(&self, origin: IncarnationId) -> UsageBuckets {
        let held = self.origins.get(&origin);
        held.map(|held| held.buckets()).unwrap_or_default()
    }

    /// Counts what a host admitted that reports here, less what others have acknowledged.
    /// `is_first` tells whether other hosts rely on this one to pass it on.
    pub(super) fn count_member(
        &mut self,
        member: IncarnationId,
        own: &UsageBuckets,
        handed_over: &UsageBuckets,
        offset: ClockOffset,
        is_first: bool,
        now: Duration,
    ) {
        if own.is_empty() {
            return;
        }
        let window = self.window;
        let bucket = self.own.bucket();
        let seen = self
            .members
            .get_or_insert_with(member, || UsageWindow::new(window));
        for (number, amount) in handed_over.iter() {
            seen.raise(number, amount);
        }
        let counted = match is_first {
            true => &mut self.counted,
            false => &mut self.relayed,
        };
        for (number, amount) in own.iter() {
            let added = seen.raise(number, amount);
            if added > 0.0 {
                counted.add_at(added, counted_at(number, bucket, offset, now), now);
            }
        }
    }

    /// Applies what another origin counted.
    pub(super) fn merge_origin(
        &mut self,
        origin: IncarnationId,
        counted: &UsageBuckets,
        offset: ClockOffset,
        now: Duration,
    ) {
        if counted.is_empty() {
            return;
        }
        let window = self.window;
        let bucket = self.own.bucket();
        let seen = self
            .origins
            .get_or_insert_with(origin, || UsageWindow::new(window));
        for (number, amount) in counted.iter() {
            let added = seen.raise(number, amount);
            if added > 0.0 {
                let at = counted_at(number, bucket, offset, now);
                self.relayed.add_at(added, at, now);
            }
        }
    }

    /// Applies what a leader reported about all hosts.
    pub(super) fn merge_view(
        &mut self,
        leader: IncarnationId,
        counted: &UsageBuckets,
        relayed: &UsageBuckets,
        offset: ClockOffset,
        now: Duration,
    ) {
        let bucket = self.own.bucket();
        let empty = UsageWindow::new(self.window);
        let view = self.views.get_or_insert_with(leader, || LeaderView {
            counted: empty.clone(),
            relayed: empty.clone(),
            window: empty,
        });
        let mut add = |number, added| {
            if added > 0.0 {
                let at = counted_at(number, bucket, offset, now);
                view.window.add_at(added, at, now);
            }
        };
        for (number, amount) in counted.iter() {
            add(number, view.counted.raise(number, amount));
        }
        for (number, amount) in relayed.iter() {
            add(number, view.relayed.raise(number, amount));
        }
    }

    /// Returns the usage of all hosts over the last bucket, the last two and so on.
    pub(super) fn recent(&self, now: Duration) -> [f64; WINDOW_BUCKETS] {
        let own = self.own.recent(now);
        let handed_over = self.handed_over.recent(now);
        let counted = self.counted.recent(now);
        let mut recent = self.relayed.recent(now);
        for (total, counted) in recent.iter_mut().zip(counted) {
            *total += counted;
        }
        for view in self.views.values() {
            for (total, viewed) in recent.iter_mut().zip(view.window.recent(now)) {
                *total = total.max(viewed);
            }
        }
        for (back, total) in recent.iter_mut().enumerate() {
            *total += (own[back] - handed_over[back]).max(0.0);
        }
        recent
    }

    /// Returns the usage of this host within the last window.
    pub(super) fn own_total(&self, now: Duration) -> f64 {
        self.own.total(now)
    }

    /// Removes the origins and views without usage within the last window. `time_of` returns the
    /// current time on the clock of an incarnation, `None` if it has not reported for long.
    pub(super) fn remove_expired(
        &mut self,
        time_of: impl Fn(IncarnationId) -> Option<Duration>,
        now: Duration,
    ) {
        let is_used = |host: &IncarnationId, held: &mut UsageWindow| {
            time_of(*host).is_some_and(|time| !held.is_empty(time))
        };
        self.members.retain(is_used);
        self.origins.retain(is_used);
        self.views.retain(|_, view| !view.window.is_empty(now));
    }
}

/// Returns when usage in a bucket of a reporting host counts here.
fn counted_at(
    number: BucketNumber,
    bucket: Duration,
    offset: ClockOffset,
    now: Duration,
) -> Duration {
    let middle = start_of(number, bucket) + bucket / 2;
    let nanos = (middle.as_nanos() as ClockOffset).saturating_add(offset);
    Duration::from_nanos(nanos.max(0) as u64).min(now)
}
