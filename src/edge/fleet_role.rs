//! The role of this host within the fleet.

use std::sync::Arc;
use std::time::Duration;

use super::edge_state::EdgeState;
use super::path_exchange::peer_reporting;
use crate::clock::boot_now;
use crate::dispatch::HostPosition;
use crate::ids::HostName;
use crate::members::GroupLayout;
use crate::members::LayoutHost;
use crate::members::is_grouped;

/// Age at which the group layout is recomputed.
const MAX_LAYOUT_AGE: Duration = Duration::from_millis(1000);
/// The same on a recently started host, which is still discovering others.
const STARTUP_LAYOUT_AGE: Duration = Duration::from_millis(100);
/// Time that a starting host waits for the first report of the fleet size.
const FIRST_GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the last report for which a host acts as the leader of those that report to
/// it.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Time for which a reported fleet size is valid.
const FLEET_SIZE_TTL: Duration = Duration::from_secs(3);
/// Ratio of the reported fleet size that a host must know before it joins a group. Below it,
/// peers list all hosts to it.
pub(super) const MIN_KNOWN_RATIO: f64 = 0.9;
/// Longest time that a host waits to know that many hosts.
const MAX_JOIN_TIME: Duration = Duration::from_secs(5);
/// Age of the target view at which a host that doesn't watch the store polls it, as a
/// ratio of the maximum delay of target changes. The second ratio is added in full for
/// the highest read rank. The remainder is left for the read.
const POLL_AGE_RATIO: f64 = 0.6;
const POLL_RANK_RATIO: f64 = 0.15;
/// Highest read rank.
const MAX_READ_RANK: usize = 9;

/// How a host learns of changes in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreAccess {
    /// Waits for changes in the store, for itself or for its zone.
    Watch,
    /// Asks the store for changes at once, because the view from peers is too old.
    Poll,
    /// Relies on peers that read the store.
    Peers,
}

/// The role of this host within the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetRole {
    pub(crate) layout: GroupLayout,
    /// Whether it still knows too few hosts to join a group, or awaits the first report of
    /// the fleet size.
    pub(crate) is_joining: bool,
    /// Whether it is the first leader candidate of its group.
    pub(crate) is_leader: bool,
    /// Whether it always watches the store, as every host of a small fleet does.
    pub(crate) watches: bool,
    /// Whether its group's leader watches the store on behalf of the zone.
    pub(crate) may_watch: bool,
    /// Position among the hosts that read the store when the view is out of date; a
    /// higher rank waits longer.
    pub(crate) read_rank: usize,
    computed_at: Duration,
}

/// The largest fleet size that peers reported recently.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerFleetSize {
    hosts: usize,
    grouped: bool,
    reported_at: Duration,
}

impl FleetRole {
    /// Returns whether the host has joined a group.
    pub(crate) const fn is_grouped_member(&self) -> bool {
        self.layout.is_grouped() && !self.is_joining
    }
}

impl PeerFleetSize {
    /// Updates the fleet size from the report of a peer; `grouped` is whether that peer has
    /// joined a group.
    pub(crate) fn update(&mut self, hosts: usize, grouped: bool, now: Duration) {
        let is_expired = now.saturating_sub(self.reported_at) >= FLEET_SIZE_TTL;
        if hosts >= self.hosts || is_expired {
            *self = Self {
                hosts,
                grouped: grouped || self.grouped && !is_expired,
                reported_at: now,
            };
        }
    }

    /// Returns the reported size, 0 if none is recent, and whether a peer has joined a group.
    pub(super) fn get(self, now: Duration) -> (usize, bool) {
        match now.saturating_sub(self.reported_at) < FLEET_SIZE_TTL {
            true => (self.hosts, self.grouped),
            false => (0, false),
        }
    }
}

impl EdgeState {
    /// Returns this host's role, recomputed if it is out of date.
    pub(crate) fn refresh_role(&self) -> Arc<FleetRole> {
        let now = boot_now();
        let current = self.role();
        let max_age = match now.saturating_sub(self.started) < MAX_JOIN_TIME {
            true => STARTUP_LAYOUT_AGE,
            false => MAX_LAYOUT_AGE,
        };
        if now.saturating_sub(current.computed_at) < max_age {
            return current;
        }
        let role = Arc::new(self.compute_role(&current, now));
        self.set_role(Arc::clone(&role));
        self.update_quota_hosts(now);
        let mut limiter = self.quota_limiter();
        limiter.remove_expired(now);
        let members = self.members();
        let total = members.size().max(1);
        let unseen = total - 1 - members.recently_seen_count(now).min(total - 1);
        let unseen_ratio = unseen as f64 / (total - 1).max(1) as f64;
        limiter.set_unseen_hosts(|host| members.time_since_seen(host, now), unseen_ratio, now);
        let peers = members.live_count(now);
        drop(members);
        drop(limiter);
        let position = (!role.is_joining).then(|| self.own_position());
        let mut table = self.queue.lock_table();
        table.set_group_share(role.layout.own_share());
        table.set_host_position(position);
        table.set_peer_reporting(peer_reporting(role.layout.is_grouped(), peers));
        role
    }

    /// Returns this host's position among all hosts. Until it has met one, those behind the seeds count,
    /// and it is any of them.
    pub(super) fn own_position(&self) -> HostPosition {
        let known = self.members().own_position();
        let hosts = self.least_hosts(known.hosts);
        match hosts > known.hosts {
            true => HostPosition {
                index: (self.incarnation % hosts as u64) as usize,
                hosts,
            },
            false => known,
        }
    }

    /// Updates the hosts among which quotas are divided.
    pub(super) fn update_quota_hosts(&self, now: Duration) {
        let role = self.role();
        let hosts = self.least_hosts(role.layout.host_count());
        let dead = self.members().dead_since(now);
        let mut limiter = self.quota_limiter();
        limiter.set_grouped(role.layout.is_grouped(), now);
        limiter.set_host_count(hosts, now);
        limiter.set_dead_hosts(&dead, now);
    }

    fn compute_role(&self, current: &FleetRole, now: Duration) -> FleetRole {
        let settings = self.runtime.load();
        let own = LayoutHost {
            availability_zone: self.startup.availability_zone.clone(),
            host: self.startup.host.clone(),
            capacity: settings.capacity,
        };
        let mut members = self.members();
        members.remove_expired(now);
        let others = members.layout_hosts(now);
        drop(members);
        let known = others.len() + 1;
        let (size, peers_grouped) = self.peer_fleet_size().get(now);
        let grouped = is_grouped(
            size.max(known),
            current.layout.is_grouped() || peers_grouped,
        );
        let layout = GroupLayout::new(&own, others, grouped);
        let age = now.saturating_sub(self.started);
        let awaits_first_report =
            size == 0 && !settings.seeds.is_empty() && age < FIRST_GOSSIP_TIMEOUT;
        let knows_few = (known as f64) < size as f64 * MIN_KNOWN_RATIO;
        let is_joining = age < MAX_JOIN_TIME && (knows_few || awaits_first_report);
        let own_group = layout.own_group();
        let is_leader = layout.leader_candidates(own_group).first() == Some(&&own.host);
        let read_rank = match (layout.is_grouped(), is_leader) {
            (false, _) => self.own_rank(),
            (true, true) => own_group,
            (true, false) => MAX_READ_RANK,
        };
        FleetRole {
            watches: !layout.is_grouped() && !is_joining,
            may_watch: layout.is_grouped() && layout.is_first_in_zone(own_group),
            is_leader,
            is_joining,
            read_rank: read_rank.min(MAX_READ_RANK),
            layout,
            computed_at: now,
        }
    }

    /// Returns whether this host is its group's leader or receives reports from other
    /// hosts, which consider it the leader.
    pub(crate) fn acts_as_leader(&self, role: &FleetRole) -> bool {
        if !role.is_grouped_member() {
            return false;
        }
        role.is_leader || {
            let now = boot_now();
            let mut reports = self.reporting_hosts();
            reports.retain(|_, at| now.saturating_sub(*at) < REPORT_TTL);
            !reports.is_empty()
        }
    }

    /// Returns whether requests are waiting for an engine.
    pub(crate) fn has_waiting(&self) -> bool {
        self.queue.lock_table().has_waiting()
    }

    /// Records that a host reported to this one.
    pub(crate) fn record_report(&self, host: &HostName, now: Duration) {
        self.reporting_hosts().insert(host.clone(), now);
    }

    /// Returns the number of hosts that watch the store.
    pub(crate) fn watching_host_count(&self) -> usize {
        let role = self.role();
        match role.layout.is_grouped() {
            true => role.layout.own_share().zones.len(),
            false => self.live_host_count(),
        }
    }

    /// Returns how this host should currently read changes from the store.
    pub(crate) fn store_access(&self) -> StoreAccess {
        let role = self.role();
        if role.watches || role.may_watch && self.acts_as_leader(&role) {
            return StoreAccess::Watch;
        }
        let delay = self.runtime.load().bounds.max_target_delay;
        let rank = role.read_rank as f64 / MAX_READ_RANK as f64;
        let bound = delay.mul_f64(POLL_AGE_RATIO + POLL_RANK_RATIO * rank);
        let age = self.view.view_age(boot_now());
        match age.is_none_or(|age| age >= bound) {
            true => StoreAccess::Poll,
            false => StoreAccess::Peers,
        }
    }
}
