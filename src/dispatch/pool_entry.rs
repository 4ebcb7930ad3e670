//! The targets and waiting requests of one pool.

use std::time::Duration;

use super::HostPosition;
use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolGrants;
use super::QueueTicket;
use super::RequestPriority;
use super::ShardRange;
use super::output_estimate::OutputEstimate;
use super::prefill_estimate::PrefillEstimate;
use super::rate_meter::RateMeter;
use super::request_queue::RequestQueue;
use super::shard_range::TargetPlace;
use super::target_choice::ChoiceView;
use super::target_choice::choose_target;
use super::target_choice::shortest_first;
use super::target_runtime::TargetRuntime;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// The share of a pool's slots that late work leaves free, so that what comes next
/// and can still be in time begins at once.
const LATE_RESERVE: f64 = 0.06;

/// The targets and waiting requests of one pool.
#[derive(Debug, Default)]
pub(super) struct PoolEntry {
    pub(super) engine: bool,
    pub(super) targets: Vec<TargetRuntime>,
    pub(super) queue: RequestQueue,
    pub(super) first: PrefillEstimate,
    pub(super) output: OutputEstimate,
    /// How often this host sends work there.
    pub(super) begins: RateMeter,
    /// How often it sends work there that can't be in time any more.
    pub(super) late_begins: RateMeter,
    /// How many requests of this host run there, by urgency.
    pub(super) running: SortedMap<RequestPriority, u32>,
    /// The slots that this host may use, where they are divided.
    pub(super) granted: Option<GrantedSlots>,
}

/// What a placement knows of the host.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostView<'h> {
    pub(super) own_zone: &'h ZoneName,
    pub(super) turn: Option<HostPosition>,
    pub(super) now: Duration,
}

/// The slots that this host may use at each target, sorted, and until when.
#[derive(Debug)]
pub(super) struct GrantedSlots {
    pub(super) granted: PoolGrants,
    /// How many late requests were started since they were granted.
    pub(super) late_started: u32,
    pub(super) until: Duration,
}

impl PoolEntry {
    /// Puts the targets in the order of zones and names, and marks those that this
    /// host's group prefers.
    pub(super) fn mark_shard(&mut self, shard: &ShardRange) {
        self.targets.sort_by(|left, right| {
            let key = |target: &TargetRuntime| {
                let record = &target.record;
                (record.availability_zone.clone(), record.name.clone())
            };
            key(left).cmp(&key(right))
        });
        let targets = self.targets.iter();
        let count = targets.filter(|target| target.is_accepting()).count();
        let mut index = 0;
        for target in &mut self.targets {
            target.in_shard = target.is_accepting() && shard.holds(TargetPlace { index, count });
            index += usize::from(target.is_accepting());
        }
    }

    /// Returns the slots that this host may use; `None` where it may use all.
    pub(super) fn grants(&self, now: Duration) -> Option<&PoolGrants> {
        self.granted_now(now).map(|granted| &granted.granted)
    }

    fn granted_now(&self, now: Duration) -> Option<&GrantedSlots> {
        let granted = self.granted.as_ref();
        granted.filter(|granted| now < granted.until)
    }

    /// Returns how many requests of this host run at targets whose slots are granted.
    pub(super) fn granted_running(&self, now: Duration) -> u32 {
        let targets = self.targets.iter();
        let granted = targets.filter(|target| !target.is_rate_limited(now));
        granted.map(|target| target.own).sum()
    }

    pub(super) fn choose(
        &self,
        request: &PlacementRequest,
        host: HostView<'_>,
        spread: f64,
    ) -> Option<usize> {
        let grants = self.grants(host.now);
        let view = ChoiceView {
            engine: self.engine,
            own_zone: host.own_zone,
            first: self.first,
            output: self.output,
            grants: grants.map(
                |granted| match self.granted_running(host.now) < granted.slots {
                    true => granted.grants.as_slice(),
                    // Only targets that are used by turns are left, which nobody is granted.
                    false => &[],
                },
            ),
            turn: host.turn,
            now: host.now,
        };
        choose_target(&self.targets, request, view, spread)
    }

    pub(super) fn place(
        &mut self,
        request: &PlacementRequest,
        host: HostView<'_>,
        spread: f64,
    ) -> Option<PlacedTarget> {
        let index = self.choose(request, host, spread)?;
        let target = &mut self.targets[index];
        let prompt_tokens = request.prompt_tokens;
        let tokens_ahead = target.tokens_ahead();
        target.record_dispatch(prompt_tokens, host.now);
        self.begins.note(host.now);
        *self.running.get_or_insert_with(request.priority, || 0) += 1;
        Some(PlacedTarget {
            name: TargetName::clone(&target.record.name),
            address: target.record.address,
            priority: request.priority,
            prompt_tokens,
            tokens_ahead,
            output_tokens: request.output_tokens,
        })
    }

    pub(super) fn assign_next(
        &mut self,
        host: HostView<'_>,
        spread: &mut impl FnMut() -> f64,
    ) -> Option<(QueueTicket, PlacedTarget)> {
        if self.queue.len() == 0 {
            return None;
        }
        self.queue.sort_late(host.now);
        let late_may_start = self.has_room_for_late(host.now);
        let waiting: Vec<(QueueTicket, PlacementRequest, bool)> = self
            .queue
            .iter()
            .filter(|(_, _, late)| !late || late_may_start)
            // Two with different targets behind them may stand one behind the other.
            .take(4)
            .map(|(number, request, late)| (number, request.clone(), late))
            .collect();
        for (number, request, late) in waiting {
            if let Some(placed) = self.place(&request, host, spread()) {
                self.note_start(late, host.now);
                self.queue.remove(number);
                return Some((number, placed));
            }
        }
        None
    }

    /// Tells whether a request can't be in time any more, wherever it is sent.
    pub(super) fn is_late(&self, request: &PlacementRequest, now: Duration) -> bool {
        now + shortest_first(&self.targets, request, self.first) > request.objective_at
    }

    /// Notes that a request was started.
    pub(super) fn note_start(&mut self, late: bool, now: Duration) {
        if late {
            self.late_begins.note(now);
        }
        if let Some(granted) = &mut self.granted {
            granted.late_started += u32::from(late);
        }
    }

    /// Tells whether late work may take a slot and still leave the reserve.
    pub(super) fn has_room_for_late(&self, now: Duration) -> bool {
        if !self.engine {
            return true;
        }
        if let Some(granted) = self.granted_now(now) {
            return granted.late_started < granted.granted.late;
        }
        let open = || self.targets.iter().filter(|target| target.is_accepting());
        let slots: u32 = open().map(|target| target.record.slots).sum();
        let free: u32 = open().map(TargetRuntime::free_slots).sum();
        f64::from(free) > (f64::from(slots) * LATE_RESERVE).floor()
    }
}
