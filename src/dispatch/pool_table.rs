//! All targets and waiting requests of one host.

use std::time::Duration;

use super::GrantTarget;
use super::HostPosition;
use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolGrants;
use super::QueueTicket;
use super::RequestPriority;
use super::ShardRange;
use super::SlotDemand;
use super::TargetLoad;
use super::limit_table::LimitTable;
use super::peer_loads::PeerLoads;
use super::pool_entry::GrantedSlots;
use super::pool_entry::HostView;
use super::pool_entry::PoolEntry;
use super::target_choice::shortest_first;
use super::target_runtime::TargetRuntime;
use crate::catalog::ColdLimit;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::members::GroupShare;
use crate::quota::UsageScope;
use crate::sorted::SortedMap;
use crate::view::TargetRecord;

/// The part of a shard's targets that must be usable for its slots to be divided. Where more
/// are lost, hosts look for room in other shards.
const LEAST_USABLE: f64 = 0.5;

/// How long granted slots may be used: some reports may be lost.
const GRANT_TIME: Duration = Duration::from_millis(1000);

/// How often a host can send work at least, a second, as long as nothing is known.
const LEAST_BEGIN_RATE: f64 = 4.0;
/// The same for work that can't be in time any more.
const LEAST_LATE_RATE: f64 = 1.0;

/// A target and whether its pool's targets are engines.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// The target.
    pub record: TargetRecord,
    /// Whether it is a model engine.
    pub engine: bool,
    /// What it bears while it is cold; `None` where it is never cold.
    pub cold_limit: Option<ColdLimit>,
    /// Whether its availability zone is evacuated.
    pub evacuated: bool,
}

/// All targets and waiting requests of one host.
#[derive(Debug)]
pub struct PoolTable {
    own_zone: ZoneName,
    shard: ShardRange,
    pub(super) pools: SortedMap<PoolName, PoolEntry>,
    peer_loads: PeerLoads,
    pub(super) limits: LimitTable,
    turn: Option<HostPosition>,
}

impl PoolTable {
    /// Makes a table without targets, for a host in `own_zone`.
    pub fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            shard: ShardRange::default(),
            pools: SortedMap::new(),
            peer_loads: PeerLoads::default(),
            limits: LimitTable::default(),
            turn: None,
        }
    }

    /// Replaces the targets. What is known of those that stay is kept; those that
    /// are gone take no new work at once, and what runs there goes on.
    pub fn set_targets(&mut self, members: Vec<PoolMember>, now: Duration) {
        let mut known: Vec<TargetRuntime> = Vec::new();
        for (_, pool) in self.pools.iter_mut() {
            known.append(&mut pool.targets);
        }
        for member in members {
            let pool = self
                .pools
                .get_or_insert_with(member.record.pool.clone(), PoolEntry::default);
            pool.engine = member.engine;
            let held = known
                .iter()
                .position(|target| target.record.name == member.record.name);
            let target = match held {
                Some(index) => {
                    let mut target = known.swap_remove(index);
                    target.renew(member, now);
                    target
                }
                None => TargetRuntime::new(member, now),
            };
            pool.targets.push(target);
        }
        self.pools
            .retain(|_, pool| !pool.targets.is_empty() || pool.queue.len() > 0);
        self.renew_limits();
        self.mark_shard();
    }

    /// Takes the share of targets that this host's group prefers.
    pub fn set_group_share(&mut self, share: GroupShare) {
        let shard = ShardRange::new(share);
        if self.shard != shard {
            self.shard = shard;
            self.mark_shard();
        }
    }

    /// Takes this host's place among all, by which it may send to rate-limited targets; `None`
    /// while it is unknown.
    pub fn set_host_position(&mut self, turn: Option<HostPosition>) {
        self.turn = turn;
    }

    fn mark_shard(&mut self) {
        for (_, pool) in self.pools.iter_mut() {
            pool.mark_shard(&self.shard);
        }
    }

    /// Takes the slots that this host may use for a while; all of a pool that is not named.
    pub fn set_grants(&mut self, mut pools: Vec<PoolGrants>, now: Duration) {
        for (name, pool) in self.pools.iter_mut() {
            let index = pools.iter().position(|granted| granted.pool == *name);
            pool.granted = index.map(|index| GrantedSlots {
                granted: pools.swap_remove(index),
                late_started: 0,
                until: now + GRANT_TIME,
            });
        }
    }

    /// Returns how many slots this host wants at engines, by urgency.
    pub fn slot_demands(&self) -> Vec<SlotDemand> {
        let mut demands: Vec<SlotDemand> = Vec::new();
        for (name, pool) in self.pools.iter().filter(|(_, pool)| pool.engine) {
            let first = demands.len();
            let mut add = |priority: Option<RequestPriority>, slots: u32| {
                let held = demands[first..].iter_mut();
                let held = held.into_iter().find(|demand| demand.priority == priority);
                match held {
                    Some(held) => held.slots += slots,
                    None => demands.push(SlotDemand {
                        pool: name.clone(),
                        priority,
                        slots,
                    }),
                }
            };
            for (priority, running) in pool.running.iter() {
                add(Some(*priority), *running);
            }
            for (_, request, late) in pool.queue.iter() {
                add((!late).then_some(request.priority), 1);
            }
        }
        demands
    }

    /// Tells whether requests wait for an engine.
    pub fn has_waiting(&self) -> bool {
        let mut engines = self.pools.values().filter(|pool| pool.engine);
        engines.any(|pool| pool.queue.len() > 0)
    }

    /// Returns the engines whose slots this host's group divides, as far as the grants of
    /// `receiver` depend on them; `own` is this host, `members` those that hold grants.
    pub fn grant_targets(
        &self,
        receiver: &str,
        own: &str,
        members: &[HostName],
        now: Duration,
    ) -> Vec<(PoolName, Vec<GrantTarget>)> {
        let engines = self.pools.iter().filter(|(_, pool)| pool.engine);
        let running_of = |host: &str, target: &TargetRuntime| match host == own {
            true => target.own,
            false => self.peer_loads.load_of(host, &target.record.name).running,
        };
        let grant_target = |target: &TargetRuntime| {
            let running = running_of(receiver, target);
            let others = members.iter().filter(|host| *host != receiver);
            let by_members: u32 = others.map(|host| running_of(host, target)).sum();
            let all = target.own + target.peers.running;
            GrantTarget {
                name: target.record.name.clone(),
                slots: target.record.slots,
                running,
                outside: all.saturating_sub(by_members + running),
            }
        };
        let grantable = |pool: &PoolEntry| -> Vec<GrantTarget> {
            let in_shard = || pool.targets.iter().filter(|target| target.in_shard);
            let usable = in_shard().filter(|target| target.is_grantable(now));
            let usable: Vec<GrantTarget> = usable.map(grant_target).collect();
            match (usable.len() as f64) < in_shard().count() as f64 * LEAST_USABLE {
                true => Vec::new(),
                false => usable,
            }
        };
        engines
            .map(|(name, pool)| (name.clone(), grantable(pool)))
            .collect()
    }

    /// Tells whether any target of the pool takes new work.
    pub fn has_accepting_target(&self, pool: &str) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|pool| pool.targets.iter().any(TargetRuntime::is_accepting))
    }

    /// Gives a request a target if one has room and nobody who waits goes first.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        now: Duration,
        spread: f64,
    ) -> Option<PlacedTarget> {
        let host = HostView {
            own_zone: &self.own_zone,
            turn: self.turn,
            now,
        };
        let pool = self.pools.get_mut(&request.pool)?;
        let is_late = pool.is_late(request, now);
        if is_late && !pool.has_room_for_late(now) {
            return None;
        }
        let placed = pool.place(request, host, spread)?;
        pool.note_start(is_late, now);
        Some(placed)
    }

    /// Tells whether a target has room for a request now.
    pub fn has_room_for(&self, request: &PlacementRequest, now: Duration) -> bool {
        let host = HostView {
            own_zone: &self.own_zone,
            turn: self.turn,
            now,
        };
        let Some(pool) = self.pools.get(&request.pool) else {
            return false;
        };
        pool.choose(request, host, 0.5).is_some()
    }

    /// Returns how long a request would wait, by those that stand before it and by how
    /// often this host could send work there lately.
    ///
    /// Load it answers: a burst so large that the last in the line wait until their
    /// callers have left. They are told at once in place of that.
    pub fn expected_wait(&self, request: &PlacementRequest, now: Duration) -> Duration {
        let Some(pool) = self.pools.get(&request.pool) else {
            return Duration::ZERO;
        };
        let first = shortest_first(&pool.targets, request, pool.first);
        let due = request.objective_at.saturating_sub(first);
        let ahead = pool.queue.ahead(request.priority, due, now);
        let begins = pool.begins.per_second(now).max(LEAST_BEGIN_RATE);
        let wait = ahead as f64 / begins;
        // Late work starts only where nothing else does, whatever the rate of all.
        let late_ahead = match due < now {
            true => pool.queue.late_ahead(request.priority, due),
            false => 0,
        };
        let late_begins = pool.late_begins.per_second(now).max(LEAST_LATE_RATE);
        Duration::from_secs_f64(wait.max(late_ahead as f64 / late_begins))
    }

    /// Lets a request wait; [`PoolTable::assign`] gives it a target.
    pub fn wait(&mut self, number: QueueTicket, request: PlacementRequest, now: Duration) {
        let pool = self
            .pools
            .get_or_insert_with(request.pool.clone(), PoolEntry::default);
        let first = shortest_first(&pool.targets, &request, pool.first);
        let due = request.objective_at.saturating_sub(first);
        pool.queue.add(number, request, due, now);
    }

    /// Tells whether a request is to be rejected at once rather than wait: it can't be in time
    /// any more, and the slots of engines are divided among requests that can be.
    ///
    /// Load it answers: a burst beyond what the engines can start. Callers that are told at
    /// once can come back behind it, and are served late then. One that has come back waits:
    /// it would not come again.
    pub fn should_shed(&self, request: &PlacementRequest, now: Duration) -> bool {
        let Some(pool) = self.pools.get(&request.pool) else {
            return false;
        };
        let is_late = pool.is_late(request, now);
        pool.engine && is_late && !request.is_retry && pool.grants(now).is_some()
    }

    /// Takes those that wait without hope out of the queues; see [`PoolTable::should_shed`].
    pub fn shed_late(&mut self, now: Duration) -> Vec<QueueTicket> {
        let mut dropped = Vec::new();
        let divided = self.pools.iter_mut();
        for (_, pool) in divided.filter(|(_, pool)| pool.engine && pool.grants(now).is_some()) {
            pool.queue.sort_late(now);
            let late = pool.queue.iter().filter(|(_, _, late)| *late);
            let hopeless = late.filter(|(_, request, _)| !request.is_retry);
            let tickets: Vec<QueueTicket> = hopeless.map(|(ticket, _, _)| ticket).collect();
            for ticket in &tickets {
                pool.queue.remove(*ticket);
            }
            dropped.extend(tickets);
        }
        dropped
    }

    /// Returns how many requests of the pool wait.
    pub fn waiting(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.queue.len())
    }

    /// Lets a request wait no more; returns whether it still did.
    pub fn leave(&mut self, pool: &str, number: QueueTicket) -> bool {
        self.pools
            .get_mut(pool)
            .is_some_and(|pool| pool.queue.remove(number))
    }

    /// Gives targets to those that wait, as far as there is room.
    pub fn assign(
        &mut self,
        now: Duration,
        mut spread: impl FnMut() -> f64,
    ) -> Vec<(QueueTicket, PlacedTarget)> {
        let mut assigned = Vec::new();
        let host = HostView {
            own_zone: &self.own_zone,
            turn: self.turn,
            now,
        };
        for (_, pool) in self.pools.iter_mut() {
            while let Some(pair) = pool.assign_next(host, &mut spread) {
                assigned.push(pair);
            }
        }
        assigned
    }

    /// Takes what a peer runs at each target, itself or with those that report to it.
    pub fn update_peer_loads(
        &mut self,
        host: HostName,
        loads: Vec<TargetLoad>,
        scope: UsageScope,
        now: Duration,
    ) {
        let touched = self.peer_loads.take(host, loads, scope, now);
        self.spread_peer_loads(&touched);
    }

    /// Forgets what silent peers told: they are most likely dead.
    pub fn expire_peer_loads(&mut self, now: Duration) {
        let mut touched = self.peer_loads.forget_silent(now);
        touched.sort();
        self.spread_peer_loads(&touched);
    }

    /// Brings the `touched` targets up to what peers run there.
    fn spread_peer_loads(&mut self, touched: &[TargetName]) {
        if touched.is_empty() {
            return;
        }
        for (_, pool) in self.pools.iter_mut() {
            for target in &mut pool.targets {
                if touched.binary_search(&target.record.name).is_ok() {
                    target.peers = self.peer_loads.sum(&target.record.name);
                }
            }
        }
    }

    /// Returns the targets that are held for lost, sorted.
    pub fn suspected(&self, now: Duration) -> Vec<TargetName> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let suspected = targets.filter(|target| target.is_suspected(now));
        let mut names: Vec<TargetName> =
            suspected.map(|target| target.record.name.clone()).collect();
        names.sort();
        names
    }

    /// Returns what this host runs at each target, for its peers.
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        targets
            .filter(|target| target.own > 0)
            .map(|target| TargetLoad {
                target: target.record.name.clone(),
                running: target.own,
                pending_prefill_tokens: target.pending_prefill_tokens,
            })
            .collect()
    }

    /// Returns what this host and those that report to it run at each engine.
    pub fn group_loads(&self) -> Vec<TargetLoad> {
        let mut loads = self.own_loads();
        self.peer_loads.add_direct(&mut loads);
        loads.retain(|load| self.find_engine(&load.target).is_some());
        loads
    }

    /// Returns what all hosts but `receiver` run at each engine of this host's shard.
    pub fn loads_excluding(&self, receiver: &str) -> Vec<TargetLoad> {
        let engines = self.pools.values().filter(|pool| pool.engine);
        let targets = engines.flat_map(|pool| &pool.targets);
        let loads = targets.filter(|target| target.in_shard).map(|target| {
            let theirs = self.peer_loads.load_of(receiver, &target.record.name);
            let running = target.own + target.peers.running;
            let unread = target.pending_prefill_tokens + target.peers.pending_prefill_tokens;
            TargetLoad {
                target: target.record.name.clone(),
                running: running.saturating_sub(theirs.running),
                pending_prefill_tokens: unread.saturating_sub(theirs.pending_prefill_tokens),
            }
        });
        loads.filter(|load| load.running > 0).collect()
    }

    /// Returns the engines that this host's group prefers, sorted.
    pub fn shard_targets(&self) -> Vec<TargetName> {
        let engines = self.pools.values().filter(|pool| pool.engine);
        let targets = engines.flat_map(|pool| &pool.targets);
        let preferred = targets.filter(|target| target.in_shard);
        let mut names: Vec<TargetName> =
            preferred.map(|target| target.record.name.clone()).collect();
        names.sort();
        names
    }

    fn find_engine(&self, name: &str) -> Option<&TargetRuntime> {
        let engines = self.pools.values().filter(|pool| pool.engine);
        let mut targets = engines.flat_map(|pool| &pool.targets);
        targets.find(|target| target.record.name == name)
    }

    /// Returns the pool to which a target belongs.
    pub fn pool_of(&self, target: &str) -> Option<PoolName> {
        let holds = |pool: &PoolEntry| {
            let mut targets = pool.targets.iter();
            targets.any(|held| held.record.name == target)
        };
        let found = self.pools.iter().find(|(_, pool)| holds(pool));
        found.map(|(name, _)| name.clone())
    }

    pub(super) fn find(&mut self, pool: &str, target: &str) -> Option<&mut TargetRuntime> {
        let targets = &mut self.pools.get_mut(pool)?.targets;
        targets.iter_mut().find(|held| held.record.name == target)
    }
}
