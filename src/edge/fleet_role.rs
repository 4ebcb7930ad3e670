//! What this host does among all hosts.

use std::sync::Arc;
use std::time::Duration;

use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::ids::HostName;
use crate::members::GroupLayout;
use crate::members::LayoutHost;
use crate::members::is_grouped;

/// How long a layout of the groups is kept before it is made anew.
const MAX_LAYOUT_AGE: Duration = Duration::from_millis(1000);
/// The same on a host that has started lately and learns of others.
const STARTUP_LAYOUT_AGE: Duration = Duration::from_millis(100);
/// How long a host waits for a first message about how many others there are.
const FIRST_GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);
/// For how long a host that was reported to acts as a leader.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// How long the size of the fleet that a peer knows counts.
const FLEET_SIZE_TTL: Duration = Duration::from_secs(3);
/// The part of a known fleet that a host must know before it takes its place there.
const MIN_KNOWN_RATIO: f64 = 0.9;
/// For how long a host waits at most until it knows that part.
const MAX_JOIN_TIME: Duration = Duration::from_secs(5);
/// The age of the view of the targets from which a host polls the store that doesn't watch
/// it, as a part of the bound on changes of targets; and by how much more of it the last
/// turn waits. What is left is for the read.
const POLL_AGE_RATIO: f64 = 0.6;
const POLL_RANK_RATIO: f64 = 0.15;
/// How many turns there are in which hosts read what nobody else has.
const MAX_READ_RANK: usize = 9;

/// How a host reads the changes of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreAccess {
    /// It waits for changes, for its zone or for itself.
    Watch,
    /// It asks for changes at once: what it hears from others is too old.
    Poll,
    /// Others read for it.
    Peers,
}

/// What this host does among all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetRole {
    pub(crate) layout: GroupLayout,
    /// Whether it knows too few of the others to take its place among them.
    pub(crate) is_joining: bool,
    /// Whether it is to lead its group.
    pub(crate) leads: bool,
    /// Whether it watches the store in any case: in a small fleet all hosts do.
    pub(crate) watches: bool,
    /// Whether the leader of its group watches the store for the zone.
    pub(crate) may_watch: bool,
    /// In which turn it reads the store when nobody else has.
    pub(crate) turn: usize,
    made: Duration,
}

/// The largest fleet that a peer knew lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerFleetSize {
    hosts: usize,
    grouped: bool,
    at: Duration,
}

impl FleetRole {
    /// Tells whether the host has its place in a group.
    pub(crate) const fn is_grouped_member(&self) -> bool {
        self.layout.is_grouped() && !self.is_joining
    }
}

impl PeerFleetSize {
    /// Notes the size that a peer knows, and whether it has its place in a group.
    pub(crate) fn record(&mut self, hosts: usize, grouped: bool, now: Duration) {
        let is_old = now.saturating_sub(self.at) >= FLEET_SIZE_TTL;
        if hosts >= self.hosts || is_old {
            *self = Self {
                hosts,
                grouped: grouped || self.grouped && !is_old,
                at: now,
            };
        }
    }

    fn get(self, now: Duration) -> (usize, bool) {
        match now.saturating_sub(self.at) < FLEET_SIZE_TTL {
            true => (self.hosts, self.grouped),
            false => (0, false),
        }
    }
}

impl EdgeState {
    /// Returns this host's role, worked out anew when it is old.
    pub(crate) fn refresh_role(&self) -> Arc<FleetRole> {
        let now = boot_now();
        let held = self.role();
        let longest = match now.saturating_sub(self.started) < MAX_JOIN_TIME {
            true => STARTUP_LAYOUT_AGE,
            false => MAX_LAYOUT_AGE,
        };
        if now.saturating_sub(held.made) < longest {
            return held;
        }
        let role = Arc::new(self.compute_role(&held, now));
        self.set_role(Arc::clone(&role));
        let mut quotas = self.quota_ledger();
        quotas.set_grouped(role.layout.is_grouped(), now);
        quotas.set_host_count(role.layout.host_count(), now);
        let members = self.members();
        let seen = members.size().max(1);
        let unseen = seen - 1 - members.recently_seen_count(now).min(seen - 1);
        let unseen_part = unseen as f64 / (seen - 1).max(1) as f64;
        quotas.set_unseen_hosts(|host| members.time_since_seen(host, now), unseen_part, now);
        let turn = (!role.is_joining).then(|| members.own_position());
        drop(members);
        drop(quotas);
        let mut table = self.queue.lock_table();
        table.set_group_share(role.layout.own_share());
        table.set_host_position(turn);
        role
    }

    fn compute_role(&self, held: &FleetRole, now: Duration) -> FleetRole {
        let settings = self.settings.load();
        let own = LayoutHost {
            availability_zone: settings.availability_zone.clone(),
            host: settings.host.clone(),
            capacity: settings.capacity,
        };
        let mut members = self.members();
        members.remove_expired(now);
        let places = members.layout_hosts(now);
        drop(members);
        let known = places.len() + 1;
        let (size, peers_grouped) = self.peer_fleet_size().get(now);
        let grouped = is_grouped(size.max(known), held.layout.is_grouped() || peers_grouped);
        let layout = GroupLayout::new(&own, places, grouped);
        let age = now.saturating_sub(self.started);
        let awaits_first_gossip =
            size == 0 && !settings.seeds.is_empty() && age < FIRST_GOSSIP_TIMEOUT;
        let knows_few = (known as f64) < size as f64 * MIN_KNOWN_RATIO;
        let is_joining = age < MAX_JOIN_TIME && (knows_few || awaits_first_gossip);
        let own_group = layout.own_group();
        let leads = layout.leader_candidates(own_group).first() == Some(&&own.host);
        let turn = match (layout.is_grouped(), leads) {
            (false, _) => self.own_rank(),
            (true, true) => own_group,
            (true, false) => MAX_READ_RANK,
        };
        FleetRole {
            watches: !layout.is_grouped() && !is_joining,
            may_watch: layout.is_grouped() && layout.is_first_in_zone(own_group),
            leads,
            is_joining,
            turn: turn.min(MAX_READ_RANK),
            layout,
            made: now,
        }
    }

    /// Tells whether this host leads its group, or others report to it all the same.
    pub(crate) fn acts_as_leader(&self, role: &FleetRole) -> bool {
        if !role.is_grouped_member() {
            return false;
        }
        role.leads || {
            let now = boot_now();
            let mut reports = self.reporting_hosts();
            reports.retain(|_, at| now.saturating_sub(*at) < REPORT_TTL);
            !reports.is_empty()
        }
    }

    /// Tells whether requests wait for an engine.
    pub(crate) fn has_waiting(&self) -> bool {
        self.queue.lock_table().has_waiting()
    }

    /// Notes that a host reported to this one.
    pub(crate) fn record_report(&self, host: &HostName, now: Duration) {
        self.reporting_hosts().insert(host.clone(), now);
    }

    /// Returns how many hosts watch the store.
    pub(crate) fn watching_host_count(&self) -> usize {
        let role = self.role();
        match role.layout.is_grouped() {
            true => role.layout.own_share().zones.len(),
            false => self.live_host_count(),
        }
    }

    /// Returns how this host is to read the changes of the store now.
    pub(crate) fn store_access(&self) -> StoreAccess {
        let role = self.role();
        if role.watches || role.may_watch && self.acts_as_leader(&role) {
            return StoreAccess::Watch;
        }
        let delay = self.settings.load().bounds.max_target_delay;
        let turn = role.turn as f64 / MAX_READ_RANK as f64;
        let bound = delay.mul_f64(POLL_AGE_RATIO + POLL_RANK_RATIO * turn);
        let age = self.view.view_age(boot_now());
        match age.is_none_or(|age| age >= bound) {
            true => StoreAccess::Poll,
            false => StoreAccess::Peers,
        }
    }
}
