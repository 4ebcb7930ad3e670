//! The targets and waiting requests of one pool.

use std::time::Duration;

use super::HostPosition;
use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolGrants;
use super::QueueRank;
use super::QueueTicket;
use super::RequestPriority;
use super::ShardRange;
use super::answer_time::AnswerTime;
use super::output_estimate::OutputEstimate;
use super::pool_shards::HeldSpan;
use super::prefill_estimate::PrefillEstimate;
use super::rate_meter::RateMeter;
use super::reach_tracker::ReachTracker;
use super::request_queue::RequestQueue;
use super::shard_range::TargetPosition;
use super::target_choice::ChoiceContext;
use super::target_choice::choose_target;
use super::target_runtime::TargetRuntime;
use crate::capacity::ConcurrencyWindow;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// The fraction of a shard's targets that must be usable for its slots to be divided. If fewer
/// are usable, hosts also use targets outside their shard.
const MIN_USABLE_FRACTION: f64 = 0.5;

/// Factor on the known objective of a pool at each request, so that a shorter one replaces it.
const OBJECTIVE_DECAY: f64 = 0.99;

/// Number of waiting requests, for each software version that they need, for which a free slot is
/// looked for.
const MAX_PLACED_AT_ONCE: usize = 4;
/// The same while granted slots are free. The first requests may wait for a faster target than
/// those with free slots, for which others have the time.
const MAX_PLACED_IN_GRANTS: usize = 24;

/// The targets and waiting requests of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolEntry {
    pub(super) engine: bool,
    pub(super) targets: Vec<TargetRuntime>,
    pub(super) queue: RequestQueue,
    pub(super) prefill: PrefillEstimate,
    pub(super) output: OutputEstimate,
    pub(super) answer_time: AnswerTime,
    /// The rates at which this host starts requests of each rank.
    pub(super) start_rates: SortedMap<QueueRank, RateMeter>,
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
        let granted = self.granted.as_ref();
        let granted = granted.filter(|granted| now < granted.expires_at);
        granted.map(|granted| &granted.pool_grants)
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
        if !request.has_started {
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
        let max_placed = match host.fills_grants && self.has_idle_grants(host.now) {
            true => MAX_PLACED_IN_GRANTS,
            false => MAX_PLACED_AT_ONCE,
        };
        // The first request may already have tried the only free target, while a later one has not;
        // or it needs a software version whose targets are full.
        let mut taken: SortedMap<Option<&SoftwareVersion>, usize> = SortedMap::new();
        let waiting: Vec<(QueueTicket, PlacementRequest, QueueRank)> = self
            .queue
            .iter()
            .filter(|(_, request, _)| {
                let count = taken.get_or_insert_with(request.version.as_ref(), || 0);
                *count += 1;
                *count <= max_placed
            })
            .map(|(ticket, request, rank)| (ticket, request.clone(), rank))
            .collect();
        for (ticket, request, rank) in waiting {
            if let Some(placed) = self.place(&request, host, random()) {
                self.record_start(rank, host.now);
                self.queue.remove(ticket);
                return Some((ticket, placed));
            }
        }
        None
    }

    /// Returns the limits on what this host has outstanding at targets of the pool; only plain
    /// targets have them.
    pub(super) fn limiting_windows(&self) -> impl Iterator<Item = &ConcurrencyWindow> {
        let targets = match self.engine {
            true => &[],
            false => self.targets.as_slice(),
        };
        targets.iter().filter_map(TargetRuntime::limiting_window)
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

    /// Discards what failed connections and silence on a lost path say about the targets.
    pub(super) fn forget_losses(&mut self) {
        for target in &mut self.targets {
            target.forget_losses();
        }
    }

    /// Returns how long all targets that accept new work still want no requests.
    pub(super) fn pause_left(&self, now: Duration) -> Duration {
        let mut least = None;
        for target in self.targets.iter().filter(|target| target.is_accepting()) {
            let left = target.pause_left(now);
            if left.is_zero() {
                return left;
            }
            least = Some(least.map_or(left, |least: Duration| least.min(left)));
        }
        least.unwrap_or_default()
    }
}
