//! The targets and waiting requests of one host.

use std::time::Duration;

use super::GrantTarget;
use super::HostPosition;
use super::PeerReporting;
use super::PlacedTarget;
use super::PlacementRequest;
use super::PoolGrants;
use super::QueueTicket;
use super::ShardRange;
use super::TargetLoad;
use super::limit_table::LimitTable;
use super::notice_table::NoticeTable;
use super::peer_loads::PeerLoads;
use super::pool_admission::MAX_WAITING;
use super::pool_entry::GrantedSlots;
use super::pool_entry::HostView;
use super::pool_entry::PoolEntry;
use super::pool_reach::PeerReaches;
use super::slot_grants::full_speed_slots;
use super::slot_reporting::SlotReporting;
use super::target_choice::shortest_mean_gap;
use super::target_locations::TargetLocations;
use super::target_runtime::TargetRuntime;
use crate::capacity::ConcurrencyWindow;
use crate::catalog::ColdLimit;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::members::GroupShare;
use crate::quota::UsageScope;
use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;
use crate::view::TargetRecord;

/// How long granted slots may be used without renewal, as some reports may be lost.
const GRANT_LIFETIME: Duration = Duration::from_millis(1000);

/// A target with the configuration of its pool.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// The target.
    pub record: TargetRecord,
    /// Whether the pool's targets are model engines.
    pub engine: bool,
    /// The request limit while the target is cold; `None` if it has no cold phase.
    pub cold_limit: Option<ColdLimit>,
    /// Whether its availability zone is evacuated.
    pub evacuated: bool,
}

/// The targets and waiting requests of one host.
#[derive(Debug)]
pub struct PoolTable {
    own_zone: ZoneName,
    pub(super) shard: ShardRange,
    pub(super) pools: SortedMap<PoolName, PoolEntry>,
    /// Where each target is; rebuilt whenever targets are added or removed.
    pub(super) locations: TargetLocations,
    peer_loads: PeerLoads,
    pub(super) limits: LimitTable<TargetIncarnation>,
    /// Pools whose targets crash after so many rejections in a second.
    pub(super) brittle: LimitTable<PoolName>,
    pub(super) notices: NoticeTable,
    pub(super) peer_reaches: PeerReaches,
    pub(super) reporting: PeerReporting,
    pub(super) host_position: Option<HostPosition>,
    pub(super) slot_reporting: SlotReporting,
    /// Whether this host limits what it has outstanding at plain targets.
    adapts_to_targets: bool,
}

impl PoolTable {
    /// Creates a table without targets, for a host in `own_zone`.
    pub fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            shard: ShardRange::default(),
            pools: SortedMap::new(),
            locations: TargetLocations::default(),
            peer_loads: PeerLoads::default(),
            limits: LimitTable::default(),
            brittle: LimitTable::default(),
            notices: NoticeTable::default(),
            peer_reaches: PeerReaches::default(),
            reporting: PeerReporting::All,
            host_position: None,
            slot_reporting: SlotReporting::default(),
            adapts_to_targets: false,
        }
    }

    /// Replaces the targets. The state of targets that remain is kept. Removed targets get no
    /// new work; their running requests continue.
    pub fn set_targets(&mut self, mut members: Vec<PoolMember>, now: Duration) {
        let mut known: Vec<TargetRuntime> = Vec::new();
        for (_, pool) in self.pools.iter_mut() {
            known.append(&mut pool.targets);
        }
        // Both lists are sorted, so that one pass over them finds the targets that remain.
        known.sort_unstable_by(|left, right| left.record.name.cmp(&right.record.name));
        members.sort_unstable_by(|left, right| left.record.name.cmp(&right.record.name));
        let mut known = known.into_iter().peekable();
        for member in members {
            let name = &member.record.name;
            while known.next_if(|held| held.record.name < *name).is_some() {}
            let held = known.next_if(|held| held.record.name == *name);
            let pool = self
                .pools
                .get_or_insert_with(member.record.pool.clone(), PoolEntry::default);
            pool.engine = member.engine;
            let target = match held {
                Some(mut target) => {
                    target.update_registration(member, now);
                    target
                }
                None => TargetRuntime::new(member, now),
            };
            pool.targets.push(target);
        }
        self.pools
            .retain(|_, pool| !pool.targets.is_empty() || pool.queue.len() > 0);
        for (_, pool) in self.pools.iter_mut() {
            pool.sort_targets();
        }
        self.locations = TargetLocations::of(&self.pools);
        self.refresh_statements(now);
        self.set_window_hosts();
        self.mark_shard();
    }

    /// Sets the share of targets that this host's group prefers. If it changes, ranges are equal
    /// until the leader sends others.
    pub fn set_group_share(&mut self, share: GroupShare) {
        let shard = ShardRange::new(share);
        if self.shard != shard {
            self.shard = shard;
            for (_, pool) in self.pools.iter_mut() {
                pool.span = None;
            }
            self.mark_shard();
        }
    }

    /// Sets this host's position among all hosts, which determines its send windows at
    /// rate-limited targets; `None` while unknown.
    pub fn set_host_position(&mut self, position: Option<HostPosition>) {
        let hosts = |position: Option<HostPosition>| position.map(|position| position.hosts);
        let has_changed = hosts(self.host_position) != hosts(position);
        self.host_position = position;
        if has_changed {
            self.set_window_hosts();
        }
    }

    /// Sets whether this host limits what it has outstanding at plain targets by their latency
    /// and rejections.
    pub fn set_adapts_to_targets(&mut self, adapts: bool) {
        if self.adapts_to_targets != adapts {
            self.adapts_to_targets = adapts;
            self.set_window_hosts();
        }
    }

    /// Returns whether limits at plain targets are in use.
    pub const fn adapts_to_targets(&self) -> bool {
        self.adapts_to_targets
    }

    /// Returns the number of requests that wait while this host limits what it has outstanding at a
    /// target of the pool; `None` if it does not.
    pub(crate) fn waiting_for_window(&self, pool: &str) -> Option<usize> {
        let pool = self.pools.get(pool).filter(|pool| pool.has_window())?;
        Some(pool.queue.len())
    }

    /// Returns the plain targets at which this host began or ceased to limit what it has
    /// outstanding since the last call, each with its window.
    pub(crate) fn take_window_changes(&mut self) -> Vec<(TargetName, ConcurrencyWindow)> {
        let plain = self.pools.iter_mut().filter(|(_, pool)| !pool.engine);
        let targets = plain.flat_map(|(_, pool)| &mut pool.targets);
        let changes = targets.filter_map(|target| {
            let window = target.window.as_mut()?;
            let changed = window.take_change();
            changed.then(|| (target.record.name.clone(), *window))
        });
        changes.collect()
    }

    /// Returns the number of plain targets at which this host limits what it has outstanding.
    pub(crate) fn window_count(&self) -> usize {
        let plain = self.pools.values().filter(|pool| !pool.engine);
        let targets = plain.flat_map(|pool| &pool.targets);
        targets.filter_map(TargetRuntime::limiting_window).count()
    }

    fn set_window_hosts(&mut self) {
        let hosts = self.host_position.map_or(1, |position| position.hosts);
        for (_, pool) in self.pools.iter_mut() {
            // With fewer hosts than slots the loads that peers report are enough, and a host that is
            // short of processor time would take its own delay for a queue at the target.
            let targets = pool.targets.iter();
            let slots: usize = targets.map(|target| target.record.slots as usize).sum();
            let is_crowded = self.adapts_to_targets && !pool.engine && hosts > slots;
            let hosts = is_crowded.then_some(hosts);
            for target in &mut pool.targets {
                target.set_window_hosts(hosts);
            }
        }
    }

    fn mark_shard(&mut self) {
        for (_, pool) in self.pools.iter_mut() {
            pool.mark_shard(&self.shard);
        }
    }

    /// Sets the slots granted to this host. It may use all slots of a pool that is not listed.
    pub fn set_grants(&mut self, mut pools: Vec<PoolGrants>, now: Duration) {
        for (name, pool) in self.pools.iter_mut() {
            let index = pools.iter().position(|granted| granted.pool == *name);
            pool.granted = index.map(|index| GrantedSlots {
                pool_grants: pools.swap_remove(index).bounded(),
                expires_at: now + GRANT_LIFETIME,
            });
        }
    }

    /// Returns whether any request waits for an engine.
    pub fn has_waiting(&self) -> bool {
        let mut engines = self.pools.values().filter(|pool| pool.engine);
        engines.any(|pool| pool.queue.len() > 0)
    }

    /// Returns the engines whose slots this host's group divides, as input for the grants of
    /// `receiver`. `own` is this host; `members` are the hosts that hold grants. Pools for which
    /// `is_scarce`, which gets the number of usable slots, returns false are left out.
    pub fn grant_targets(
        &self,
        receiver: &str,
        own: &str,
        members: &[HostName],
        is_scarce: impl Fn(&str, u32) -> bool,
        now: Duration,
    ) -> Vec<(PoolName, Vec<GrantTarget>)> {
        let others = || {
            let others = members.iter();
            others.filter(|host| *host != receiver && *host != own)
        };
        let by_others = self.peer_loads.running_of(others());
        let holds_grants = receiver != own && members.iter().any(|host| host == own);
        let grant_target = |target: &TargetRuntime| {
            let name = &target.record.name;
            let running = match receiver == own {
                true => target.own_running,
                false => self.peer_loads.load_of(receiver, name).running,
            };
            let by_own = match holds_grants {
                true => target.own_running,
                false => 0,
            };
            let by_members = by_others.get(&name).copied().unwrap_or(0) + by_own;
            let all = target.own_running + target.peer_load.running;
            GrantTarget {
                name: name.clone(),
                slots: target.record.slots,
                running,
                ungranted_running: all.saturating_sub(by_members + running),
                slowness_percent: 100,
            }
        };
        let divides_fast = self.slot_reporting.enabled;
        let engines = self.pools.iter().filter(|(_, pool)| pool.engine);
        let usable = engines.map(|(name, pool)| (name, pool, pool.grantable_targets(now)));
        usable
            .filter_map(|(name, pool, targets)| {
                let fastest = shortest_mean_gap(&pool.targets);
                let with_slowness = targets
                    .iter()
                    .map(|target| (target.record.slots, target.slowness(fastest)));
                let slots = match divides_fast {
                    true => full_speed_slots(with_slowness),
                    false => targets.iter().map(|target| target.record.slots).sum(),
                };
                if !is_scarce(name, slots) {
                    return None;
                }
                let targets = targets.into_iter().map(|target| GrantTarget {
                    slowness_percent: (target.slowness(fastest) * 100.0) as u32,
                    ..grant_target(target)
                });
                Some((name.clone(), targets.collect()))
            })
            .collect()
    }

    /// Returns whether any target of the pool accepts new work.
    pub fn has_accepting_target(&self, pool: &str) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|pool| pool.targets.iter().any(TargetRuntime::is_accepting))
    }

    /// Returns whether any target that may run the request accepts new work.
    pub fn has_target_for(&self, request: &PlacementRequest) -> bool {
        let pool = self.pools.get(&request.pool);
        let targets = pool.into_iter().flat_map(|pool| &pool.targets);
        let mut allowed =
            targets.filter(|target| request.allows_version(&target.record.software_version));
        allowed.any(TargetRuntime::is_accepting)
    }

    /// Returns whether any target of the pool that accepts new work is not in `tried`.
    pub fn has_untried_target(&self, pool: &str, tried: &[TargetName]) -> bool {
        let targets = self.pools.get(pool).map(|pool| &pool.targets);
        let mut targets = targets.into_iter().flatten();
        targets.any(|target| target.is_accepting() && !tried.contains(&target.record.name))
    }

    /// Assigns a target to a request if one has a free slot.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        now: Duration,
        random: f64,
    ) -> Option<PlacedTarget> {
        let host = HostView {
            own_zone: &self.own_zone,
            position: self.host_position,
            fills_grants: self.slot_reporting.enabled,
            now,
        };
        let pool = self.pools.get_mut(&request.pool)?;
        let rank = request.rank(pool.start_times(request), now);
        let placed = pool.place(request, host, random)?;
        pool.record_start(rank, now);
        Some(placed)
    }

    /// Returns whether a request may still be sent to the target that it was assigned. The target
    /// may have announced that it is leaving, or asked for a pause, while a connection was
    /// opened.
    pub fn may_send(&self, pool: &str, placed: &PlacedTarget, now: Duration) -> bool {
        let Some(pool) = self.pools.get(pool) else {
            return false;
        };
        let mut targets = pool.targets.iter();
        targets.any(|target| target.is_assigned(placed) && target.is_available(now))
    }

    /// Returns whether any target has a free slot for the request now.
    pub fn has_room_for(&self, request: &PlacementRequest, now: Duration) -> bool {
        let host = HostView {
            own_zone: &self.own_zone,
            position: self.host_position,
            fills_grants: self.slot_reporting.enabled,
            now,
        };
        let Some(pool) = self.pools.get(&request.pool) else {
            return false;
        };
        pool.choose(request, host, 0.5).is_some()
    }

    /// Returns how long all targets of a pool that accept new work still want no requests; zero
    /// if one of them takes requests.
    pub fn pause_left(&self, pool: &str, now: Duration) -> Duration {
        let pool = self.pools.get(pool);
        pool.map_or(Duration::ZERO, |pool| pool.pause_left(now))
    }

    /// Queues a request; [`PoolTable::assign`] assigns a target to it. Returns the request that leaves
    /// a full queue for it, the last one.
    pub fn enqueue(
        &mut self,
        ticket: QueueTicket,
        request: PlacementRequest,
        now: Duration,
    ) -> Option<QueueTicket> {
        let pool = self
            .pools
            .get_or_insert_with(request.pool.clone(), PoolEntry::default);
        let times = pool.start_times(&request);
        pool.queue.push(ticket, request, times, now);
        match pool.queue.len() > MAX_WAITING {
            true => pool.queue.remove_last(),
            false => None,
        }
    }

    /// Returns the number of requests that wait for the pool.
    pub fn waiting(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.queue.len())
    }

    /// Returns the requests that wait for the pool.
    pub fn queued_tickets(&self, pool: &str) -> Vec<QueueTicket> {
        let queue = self.pools.get(pool).map(|pool| &pool.queue);
        let queued = queue.into_iter().flat_map(|queue| queue.iter());
        queued.map(|(ticket, _, _)| ticket).collect()
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub fn dequeue(&mut self, pool: &str, ticket: QueueTicket) -> bool {
        self.pools
            .get_mut(pool)
            .is_some_and(|pool| pool.queue.remove(ticket))
    }

    /// Assigns free slots to waiting requests.
    pub fn assign(
        &mut self,
        now: Duration,
        mut random: impl FnMut() -> f64,
    ) -> Vec<(QueueTicket, PlacedTarget)> {
        let mut assigned = Vec::new();
        let host = HostView {
            own_zone: &self.own_zone,
            position: self.host_position,
            fills_grants: self.slot_reporting.enabled,
            now,
        };
        for (_, pool) in self.pools.iter_mut() {
            while let Some(pair) = pool.assign_next(host, &mut random) {
                assigned.push(pair);
            }
        }
        assigned
    }

    /// Replaces the loads reported by a peer: its own, or those of its group or the fleet.
    pub fn update_peer_loads(
        &mut self,
        host: HostName,
        loads: Vec<TargetLoad>,
        scope: UsageScope,
        now: Duration,
    ) {
        let changed = self.peer_loads.update(host, loads, scope, now);
        self.apply_peer_loads(&changed);
    }

    /// Removes the loads of unresponsive peers, which are most likely dead.
    pub fn expire_peer_loads(&mut self, now: Duration) {
        let changed = self.peer_loads.expire(now);
        self.apply_peer_loads(&changed);
    }

    /// Updates the peer load of the `changed` targets.
    fn apply_peer_loads(&mut self, changed: &[TargetName]) {
        for name in changed {
            let peer_load = self.peer_loads.sum(name);
            if let Some(target) = self.locations.find_mut(&mut self.pools, name) {
                target.peer_load = peer_load;
            }
        }
    }

    /// Returns the targets that are suspected to be lost, sorted.
    pub fn suspected(&self, now: Duration) -> Vec<TargetName> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let suspected = targets.filter(|target| target.is_suspected(now));
        let mut names: Vec<TargetName> =
            suspected.map(|target| target.record.name.clone()).collect();
        names.sort();
        names
    }

    /// Returns the targets that are ejected, as they fail request after request, sorted.
    pub fn ejected(&self, now: Duration) -> Vec<TargetName> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        let ejected = targets.filter(|target| target.is_ejected(now));
        let mut names: Vec<TargetName> = ejected.map(|target| target.record.name.clone()).collect();
        names.sort();
        names
    }

    /// Returns this host's load at each target, for its peers.
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let targets = self.pools.values().flat_map(|pool| &pool.targets);
        targets
            .filter(|target| target.own_running > 0)
            .map(|target| TargetLoad {
                target: target.record.name.clone(),
                running: target.own_running,
                pending_prefill_tokens: target.pending_prefill_tokens,
            })
            .collect()
    }

    /// Returns the load of this host and of the hosts that report to it, at each engine.
    pub fn group_loads(&self) -> Vec<TargetLoad> {
        let mut loads = self.peer_loads.direct_loads(self.own_loads());
        loads.retain(|load| self.is_engine(&load.target));
        loads
    }

    /// Returns the load of all hosts but `receiver` at each engine of this host's shard.
    pub fn loads_excluding(&self, receiver: &str) -> Vec<TargetLoad> {
        let engines = self.pools.values().filter(|pool| pool.engine);
        let targets = engines.flat_map(|pool| &pool.targets);
        let loads = targets.filter(|target| target.in_shard).map(|target| {
            let theirs = self.peer_loads.load_of(receiver, &target.record.name);
            let running = target.own_running + target.peer_load.running;
            let pending = target.pending_prefill_tokens + target.peer_load.pending_prefill_tokens;
            TargetLoad {
                target: target.record.name.clone(),
                running: running.saturating_sub(theirs.running),
                pending_prefill_tokens: pending.saturating_sub(theirs.pending_prefill_tokens),
            }
        });
        loads.filter(|load| load.running > 0).collect()
    }

    /// Returns the engines in this host's shard, sorted.
    pub fn shard_targets(&self) -> Vec<TargetName> {
        let engines = self.pools.values().filter(|pool| pool.engine);
        let targets = engines.flat_map(|pool| &pool.targets);
        let preferred = targets.filter(|target| target.in_shard);
        let mut names: Vec<TargetName> =
            preferred.map(|target| target.record.name.clone()).collect();
        names.sort();
        names
    }

    pub(super) fn is_engine(&self, target: &str) -> bool {
        let pool = self.locations.pool_of(target);
        let pool = pool.and_then(|pool| self.pools.get(pool));
        pool.is_some_and(|pool| pool.engine)
    }

    /// Returns the pool of a target.
    pub fn pool_of(&self, target: &str) -> Option<PoolName> {
        self.locations.pool_of(target).cloned()
    }

    /// Returns the state of the incarnation that a request was assigned to. What happens to its
    /// requests says nothing about a later one.
    pub(super) fn target_mut(
        &mut self,
        pool: &str,
        placed: &PlacedTarget,
    ) -> Option<&mut TargetRuntime> {
        let held = self.locations.find_mut(&mut self.pools, &placed.name)?;
        (held.record.pool == pool && held.is_assigned(placed)).then_some(held)
    }
}
