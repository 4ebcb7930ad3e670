//! The targets and waiting requests of one pool.

use std::time::Duration;

use super::HostPosition;
use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolGrants;
use super::QueueTicket;
use super::RequestPriority;
use super::ShardRange;
use super::admission_decision::START_MARGIN;
use super::output_estimate::OutputEstimate;
use super::pool_shards::HeldSpan;
use super::prefill_estimate::PrefillEstimate;
use super::rate_meter::RateMeter;
use super::reach_tracker::ReachTracker;
use super::request_queue::RequestQueue;
use super::shard_range::TargetPosition;
use super::target_choice::ChoiceContext;
use super::target_choice::choose_target;
use super::target_choice::shortest_first_event;
use super::target_runtime::TargetRuntime;
use crate::capacity::ConcurrencyWindow;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// The fraction of a pool's slots that late requests leave free, so that new requests that can
/// still meet their objective start at once.
const LATE_RESERVE_FRACTION: f64 = 0.06;

/// The fraction of a shard's targets that must be usable for its slots to be divided. If fewer
/// are usable, hosts also use targets outside their shard.
const MIN_USABLE_FRACTION: f64 = 0.5;

/// Factor on the known objective of a pool at each request, so that a shorter one replaces it.
const OBJECTIVE_DECAY: f64 = 0.99;
/// Factor on the recent latency that a waiting request leaves for its answer, which may take longer
/// than the mean.
const ANSWER_MARGIN: f64 = 1.25;
/// Time that a returning caller, whose objective has passed, may wait for a plain target. It does
/// not return again, and its answer still has a part of its value.
const RETURN_WAIT: Duration = Duration::from_millis(30);

/// Number of waiting requests, for each software version that they need, for which a free slot is
/// looked for.
const MAX_PLACED_AT_ONCE: usize = 4;
/// The same while granted slots are free. The first requests may wait for a faster target than
/// those with free slots, for which others have the time.
const MAX_PLACED_IN_GRANTS: usize = 24;

/// The least assumed rate at which a host starts requests, per second. A host that started none
/// lately may have had none to start.
const MIN_START_RATE: f64 = 4.0;
/// The same for requests of one priority, of which a wave may leave none in time.
const MIN_OWN_RATE: f64 = 0.1;
/// The least assumed rate at which late requests start, per second. Few start during a wave, and
/// many after it. A lower rate refuses callers that could be served, a higher one queues callers
/// that are refused after a long wait.
const MIN_LATE_RATE: f64 = 1.8;
/// The same where slots are not scarce, so that targets have room for late requests.
const MIN_UNDIVIDED_LATE_RATE: f64 = 1.0;

/// The targets and waiting requests of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolEntry {
    pub(super) engine: bool,
    pub(super) targets: Vec<TargetRuntime>,
    pub(super) queue: RequestQueue,
    pub(super) prefill: PrefillEstimate,
    pub(super) output: OutputEstimate,
    /// The rate at which this host starts requests at the pool.
    pub(super) dispatch_rate: RateMeter,
    /// The rates at which it starts requests of each priority.
    pub(super) start_rates: SortedMap<RequestPriority, StartRates>,
    /// Running requests of this host, by priority.
    pub(super) running: SortedMap<RequestPriority, u32>,
    /// Requests that this host refused as overloaded, by priority.
    pub(super) refused: SortedMap<RequestPriority, RateMeter>,
    /// The slots granted to this host, if the pool's slots are divided among hosts.
    pub(super) granted: Option<GrantedSlots>,
    /// The range of targets that this host's group prefers, if it is not an equal one.
    pub(super) span: Option<HeldSpan>,
    /// This host's path to the targets.
    pub(super) reach: ReachTracker,
    /// The longest recent latency objective of the pool's requests.
    pub(super) objective: Duration,
    /// Until when peers are asked for room, as this host's part was used up.
    pub(super) short_until: Duration,
}

/// The rates at which a host starts requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartRates {
    pub(super) all: RateMeter,
    /// Of those that can no longer meet their objective.
    pub(super) late: RateMeter,
}

/// The host's state that a placement depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostView<'h> {
    pub(super) own_zone: &'h ZoneName,
    pub(super) position: Option<HostPosition>,
    /// Whether a free granted slot is filled by a request further back in the queue.
    pub(super) fills_grants: bool,
    pub(super) now: Duration,
}

/// The slots that this host may use at each target, sorted, and when the grants expire.
#[derive(Debug)]
pub(super) struct GrantedSlots {
    pub(super) pool_grants: PoolGrants,
    /// Late requests started since the slots were granted.
    pub(super) late_started: u32,
    pub(super) expires_at: Duration,
}

impl PoolEntry {
    /// Sorts the targets by zone and name.
    pub(super) fn sort_targets(&mut self) {
        self.targets.sort_unstable_by(|left, right| {
            let (left, right) = (&left.record, &right.record);
            let by_zone = left.availability_zone.cmp(&right.availability_zone);
            by_zone.then_with(|| left.name.cmp(&right.name))
        });
    }

    /// Marks the targets in the shard of this host's group.
    pub(super) fn mark_shard(&mut self, shard: &ShardRange) {
        // Shards are divided by registrations, which all hosts share. Answers reach the hosts at
        // different times.
        let targets = self.targets.iter();
        let count = targets
            .filter(|target| target.is_registered_ready())
            .count();
        let span = self.span.map(|held| held.span);
        let mut index = 0;
        for target in &mut self.targets {
            let is_ready = target.is_registered_ready();
            let position = TargetPosition { index, count };
            target.in_shard = is_ready && shard.contains(position, span);
            index += usize::from(is_ready);
        }
    }

    /// Returns the targets of the shard whose slots may be divided; none if too few are usable.
    pub(super) fn grantable_targets(&self, now: Duration) -> Vec<&TargetRuntime> {
        let in_shard = || self.targets.iter().filter(|target| target.in_shard);
        let usable: Vec<&TargetRuntime> = in_shard()
            .filter(|target| target.is_grantable(now))
            .collect();
        match (usable.len() as f64) < in_shard().count() as f64 * MIN_USABLE_FRACTION {
            true => Vec::new(),
            false => usable,
        }
    }

    /// Returns the slots that this host may use; `None` if it may use all.
    pub(super) fn grants(&self, now: Duration) -> Option<&PoolGrants> {
        self.granted_now(now).map(|granted| &granted.pool_grants)
    }

    fn granted_now(&self, now: Duration) -> Option<&GrantedSlots> {
        let granted = self.granted.as_ref();
        granted.filter(|granted| now < granted.expires_at)
    }

    /// Returns how many requests of this host run at targets whose slots are subject to grants.
    pub(super) fn granted_running(&self, now: Duration) -> u32 {
        let targets = self.targets.iter();
        let granted = targets.filter(|target| !target.is_rate_limited(now));
        granted.map(|target| target.own_running).sum()
    }

    pub(super) fn choose(
        &self,
        request: &PlacementRequest,
        host: HostView<'_>,
        random: f64,
    ) -> Option<usize> {
        let grants = self.grants(host.now);
        let context = ChoiceContext {
            engine: self.engine,
            own_zone: host.own_zone,
            prefill: self.prefill,
            output: self.output,
            grants: grants.map(
                |granted| match self.granted_running(host.now) < granted.slots {
                    true => granted.grants.as_slice(),
                    // Only rate-limited targets are left, which are not subject to grants.
                    false => &[],
                },
            ),
            position: host.position,
            now: host.now,
        };
        choose_target(&self.targets, request, context, random)
    }

    pub(super) fn place(
        &mut self,
        request: &PlacementRequest,
        host: HostView<'_>,
        random: f64,
    ) -> Option<PlacedTarget> {
        let index = self.choose(request, host, random)?;
        let target = &mut self.targets[index];
        let prompt_tokens = request.prompt_tokens;
        let tokens_ahead = target.tokens_ahead();
        target.record_dispatch(prompt_tokens, host.now);
        self.dispatch_rate.record(host.now);
        if !request.is_retry {
            let left = request.objective_at.saturating_sub(host.now);
            self.objective = left.max(self.objective.mul_f64(OBJECTIVE_DECAY));
        }
        *self.running.get_or_insert_with(request.priority, || 0) += 1;
        Some(PlacedTarget {
            name: TargetName::clone(&target.record.name),
            address: target.record.address,
            started_at_ms: target.record.started_at_ms,
            software_version: target.record.software_version.clone(),
            priority: request.priority,
            prompt_tokens,
            tokens_ahead,
            output_tokens: request.output_tokens,
        })
    }

    pub(super) fn assign_next(
        &mut self,
        host: HostView<'_>,
        random: &mut impl FnMut() -> f64,
    ) -> Option<(QueueTicket, PlacedTarget)> {
        if self.queue.len() == 0 {
            return None;
        }
        self.queue.demote_late(host.now);
        let late_may_start = self.has_room_for_late(host.now);
        let max_placed = match host.fills_grants && self.has_idle_grants(host.now) {
            true => MAX_PLACED_IN_GRANTS,
            false => MAX_PLACED_AT_ONCE,
        };
        // The first request may already have tried the only free target, while a later one has not;
        // or it needs a software version whose targets are full.
        let mut taken: SortedMap<Option<&SoftwareVersion>, usize> = SortedMap::new();
        let waiting: Vec<(QueueTicket, PlacementRequest, bool)> = self
            .queue
            .iter()
            .filter(|(_, _, late)| !late || late_may_start)
            .filter(|(_, request, _)| {
                let count = taken.get_or_insert_with(request.version.as_ref(), || 0);
                *count += 1;
                *count <= max_placed
            })
            .map(|(ticket, request, late)| (ticket, request.clone(), late))
            .collect();
        for (ticket, request, late) in waiting {
            if let Some(placed) = self.place(&request, host, random()) {
                self.record_start(request.priority, late, host.now);
                self.queue.remove(ticket);
                return Some((ticket, placed));
            }
        }
        None
    }

    /// Returns whether this host may use only some of the slots.
    pub(super) fn is_scarce(&self, now: Duration) -> bool {
        self.engine && self.grants(now).is_some()
    }

    /// Returns the estimated wait of a request for a plain target, and how long it may wait to meet
    /// its objective, while what this host has outstanding is limited.
    pub(super) fn window_wait(
        &self,
        request: &PlacementRequest,
        now: Duration,
    ) -> Option<(Duration, Duration)> {
        let due = self.window_due(request, now)?;
        let ahead = self.queue.count_ahead(request, due, due < now);
        let ahead = ahead.in_time + ahead.late + 1;
        let wait = Duration::from_secs_f64(ahead as f64 / self.window_rate().max(1.0));
        Some((wait, due.saturating_sub(now)))
    }

    /// Returns when a request must start to meet its objective.
    pub(super) fn due(&self, request: &PlacementRequest) -> Duration {
        let first = shortest_first_event(&self.targets, request, self.prefill);
        request.objective_at.saturating_sub(first)
    }

    /// Returns how long a request may wait so that the fastest target answers it before its
    /// deadline; `None` if none does.
    pub(super) fn start_left(&self, request: &PlacementRequest, now: Duration) -> Option<Duration> {
        let first = shortest_first_event(&self.targets, request, self.prefill);
        let output = self.output.predict(request.output_tokens.unwrap_or(0), 1.0);
        let left = request.deadline.checked_sub(now + first + output)?;
        Some(left.saturating_sub(START_MARGIN))
    }

    /// Returns the estimated wait of a request where slots are not scarce.
    pub(super) fn undivided_wait(&self, request: &PlacementRequest, now: Duration) -> Duration {
        let due = self.due(request);
        let ahead = self.queue.count_ahead(request, due, due < now);
        let rate = self.dispatch_rate.per_second(now).max(MIN_START_RATE);
        let rate = rate.max(self.window_rate());
        // Late requests start at a lower rate, as others go first.
        let late_rates = self.start_rates.values();
        let late_rate: f64 = late_rates.map(|rates| rates.late.per_second(now)).sum();
        let wait = (ahead.in_time + ahead.late) as f64 / rate;
        let late_wait = ahead.late as f64 / late_rate.max(MIN_UNDIVIDED_LATE_RATE);
        Duration::from_secs_f64(wait.max(late_wait)).max(self.pause_left(now))
    }

    /// Returns the estimated wait of a request that can be in time.
    pub(super) fn wait(&self, request: &PlacementRequest, now: Duration) -> Duration {
        let ahead = self.queue.count_ahead(request, self.due(request), false);
        let (rate, _) = self.start_rates(request.priority, now);
        let wait = ahead.in_time as f64 / rate.max(MIN_START_RATE);
        Duration::from_secs_f64(wait).max(self.pause_left(now))
    }

    /// Returns the same by the rate at which requests of its own priority start: more urgent
    /// requests that arrive later start before them.
    pub(super) fn own_wait(&self, request: &PlacementRequest, now: Duration) -> Duration {
        let ahead = self.queue.count_ahead(request, self.due(request), false);
        let (rate, _) = self.own_rates(request, now);
        Duration::from_secs_f64((ahead.in_time_alike + 1) as f64 / rate.max(MIN_OWN_RATE))
    }

    /// Returns the estimated wait of a request that is late when it starts. Requests that can be in
    /// time go first, and many of its own priority will be late by then as well.
    pub(super) fn late_wait(&self, request: &PlacementRequest, now: Duration) -> Duration {
        let ahead = self.queue.count_ahead(request, self.due(request), true);
        let (rate, late_rate) = self.start_rates(request.priority, now);
        let (_, own_late_rate) = self.own_rates(request, now);
        let others = (ahead.in_time - ahead.in_time_alike) as f64 / rate.max(MIN_START_RATE);
        let alike = ahead.in_time_alike + ahead.late_alike;
        let late = (ahead.late - ahead.late_alike) as f64 / late_rate.max(MIN_LATE_RATE);
        let own = (alike + 1) as f64 / own_late_rate.max(MIN_LATE_RATE);
        Duration::from_secs_f64(others + late + own).max(self.pause_left(now))
    }

    /// Returns the rates at which requests of the same priority start, per second: all of them, and
    /// the late ones.
    fn own_rates(&self, request: &PlacementRequest, now: Duration) -> (f64, f64) {
        let rates = self.start_rates.get(&request.priority);
        rates.map_or((0.0, 0.0), |rates| {
            (rates.all.per_second(now), rates.late.per_second(now))
        })
    }

    /// Returns whether a request can no longer meet its objective at any target.
    pub(super) fn is_late(&self, request: &PlacementRequest, now: Duration) -> bool {
        now + shortest_first_event(&self.targets, request, self.prefill) > request.objective_at
    }

    /// Returns the limits on what this host has outstanding at targets of the pool; only plain
    /// targets have them.
    fn limiting_windows(&self) -> impl Iterator<Item = &ConcurrencyWindow> {
        let targets = self.targets.iter().filter(|_| !self.engine);
        targets.filter_map(TargetRuntime::limiting_window)
    }

    /// Returns whether there are such limits now.
    pub(super) fn has_window(&self) -> bool {
        self.limiting_windows().next().is_some()
    }

    /// Returns the requests per second that these limits permit.
    pub(super) fn window_rate(&self) -> f64 {
        self.limiting_windows()
            .filter_map(ConcurrencyWindow::rate)
            .sum()
    }

    /// Returns until when a request is to be sent to meet its objective, while what this host has
    /// outstanding is limited. A returning caller, whose objective has passed, is given
    /// [`RETURN_WAIT`].
    pub(super) fn window_due(&self, request: &PlacementRequest, now: Duration) -> Option<Duration> {
        let latencies = self
            .limiting_windows()
            .filter_map(ConcurrencyWindow::latency);
        let answer_time = latencies.min()?.mul_f64(ANSWER_MARGIN);
        let due = request.objective_at.saturating_sub(answer_time);
        Some(match request.is_retry {
            true => due.max(now + RETURN_WAIT),
            false => due,
        })
    }

    /// Returns the rates at which requests of this priority or more urgent ones start, in events
    /// per second: all of them, and the late ones.
    pub(super) fn start_rates(&self, priority: RequestPriority, now: Duration) -> (f64, f64) {
        let urgent = self
            .start_rates
            .iter()
            .filter(|(held, _)| **held <= priority);
        urgent.fold((0.0, 0.0), |(all, late), (_, rates)| {
            (
                all + rates.all.per_second(now),
                late + rates.late.per_second(now),
            )
        })
    }

    /// Discards what failed connections and silence on a lost path say about the targets.
    pub(super) fn forget_losses(&mut self) {
        for target in &mut self.targets {
            target.forget_losses();
        }
    }

    /// Returns how long all targets that accept new work still want no requests.
    pub(super) fn pause_left(&self, now: Duration) -> Duration {
        let accepting = self.targets.iter().filter(|target| target.is_accepting());
        let left = accepting.map(|target| target.pause_left(now));
        left.min().unwrap_or_default()
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self, priority: RequestPriority, late: bool, now: Duration) {
        let rates = self
            .start_rates
            .get_or_insert_with(priority, StartRates::default);
        rates.all.record(now);
        if late {
            rates.late.record(now);
        }
        if let Some(granted) = &mut self.granted {
            granted.late_started += u32::from(late);
        }
    }

    /// Returns whether a late request may start without using the reserve.
    pub(super) fn has_room_for_late(&self, now: Duration) -> bool {
        if !self.engine {
            return true;
        }
        if let Some(granted) = self.granted_now(now) {
            return granted.late_started < granted.pool_grants.late;
        }
        let open = || {
            let targets = self.targets.iter();
            targets.filter(|target| target.is_available(now))
        };
        let slots: u32 = open().map(|target| target.record.slots).sum();
        let free: u32 = open().map(TargetRuntime::free_slots).sum();
        f64::from(free) > (f64::from(slots) * LATE_RESERVE_FRACTION).floor()
    }
}
