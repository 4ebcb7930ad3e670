//! What this host sends its peers.

use std::time::Duration;

use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::dispatch::PoolGrants;
use crate::dispatch::TargetLoad;
use crate::ids::HostName;
use crate::members::GossipMessage;
use crate::members::HeartbeatAge;
use crate::members::LoadVersion;
use crate::members::MemberRecord;
use crate::members::hash_host;
use crate::quota::AccountUsage;
use crate::quota::UnresponsiveHosts;
use crate::quota::UsageScope;
use crate::sorted::SortedMap;
use crate::view::ViewUpdate;

/// How many other hosts each message names in turn. Who is there hardly changes, and all
/// of them would be most of its bytes in a large fleet.
const NOTES_PER_MESSAGE: usize = 2;
/// How many changes of targets a message carries at most: it must pass a narrow link to all
/// hosts of a group in time.
const MAX_CHANGES_PER_MESSAGE: usize = 128;
/// How many hosts it names to one that knows few.
const BOOTSTRAP_NOTES: usize = 512;
/// The part of the hosts that a peer must know to be named only those that changed.
const MIN_KNOWN_RATIO: f64 = 0.8;
/// Into how many messages the sightings of a whole fleet are divided.
const SIGHTING_ROUNDS: usize = 8;
/// Until when a host has started lately.
const STARTUP_AGE: Duration = Duration::from_secs(5);
/// For how long a change is sent to a peer that was not sent anything before.
const DEFAULT_CHANGE_WINDOW: Duration = Duration::from_secs(6);

/// Tells whether a host of this age has started lately, and knows few others.
pub(super) fn is_starting_up(age: Duration) -> bool {
    age < STARTUP_AGE
}

/// What a message is made for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageOptions<'r> {
    /// The peer that gets it.
    pub(crate) receiver: &'r str,
    /// Whose usage and loads it tells.
    pub(crate) scope: Option<UsageScope>,
    /// Whether it tells loads.
    pub(crate) near: bool,
    /// Whether the peer is new to this host, or knows little.
    pub(crate) new: bool,
    /// How many hosts the peer knows, as far as it has said so.
    pub(crate) peer_hosts: usize,
    /// When the last exchange with the peer started, as far as it succeeded.
    pub(crate) since: Option<Duration>,
}

/// The loads that were last sent, and which members are named next.
#[derive(Debug, Default)]
pub(crate) struct GossipCursors {
    loads: Vec<TargetLoad>,
    version: LoadVersion,
    note_offset: usize,
    /// Which sightings each peer gets next.
    sighting_offsets: SortedMap<HostName, usize>,
}

impl GossipCursors {
    /// Takes the loads of now; returns their version.
    fn update_loads(&mut self, loads: &[TargetLoad]) -> LoadVersion {
        if self.loads != loads {
            self.loads = loads.to_vec();
            self.version += 1;
        }
        self.version
    }

    fn next_note_offset(&mut self, count: usize) -> usize {
        let turn = self.note_offset;
        self.note_offset = turn.wrapping_add(count);
        turn
    }

    fn next_sighting_offset(&mut self, receiver: &str, count: usize) -> usize {
        let next = self
            .sighting_offsets
            .get_or_insert_with(receiver.to_owned(), || 0);
        let turn = *next;
        *next = turn.wrapping_add(count);
        turn
    }
}

impl EdgeState {
    /// Returns the version of what this host runs at each target.
    pub(crate) fn load_version(&self) -> LoadVersion {
        let loads = self.queue.lock_table().own_loads();
        self.gossip_cursors().update_loads(&loads)
    }

    /// Returns a message for a peer, and the version of this host's loads.
    pub(crate) fn build_message(
        &self,
        request: MessageOptions<'_>,
    ) -> (GossipMessage, LoadVersion) {
        let now = boot_now();
        let version = self.load_version();
        let life = now.saturating_sub(self.started);
        let new = request.new || is_starting_up(life);
        let since = request
            .since
            .unwrap_or(now.saturating_sub(DEFAULT_CHANGE_WINDOW));
        let (revision, catalog) = self.view.held_versions();
        let (usage, unresponsive) = self.usage_for(request, new, now);
        let message = GossipMessage {
            own: self.own_note(),
            uptime_ms: life.as_millis() as u64,
            hosts: self.live_host_count() as u16,
            grouped: self.role().is_grouped_member(),
            members: self.select_notes(request, since, now),
            heartbeats: self.select_sightings(request, now),
            revision,
            complete_revision: self.view.revision(),
            catalog,
            catalog_revision: self.view.catalog_revision(),
            evidence_age_ms: self.evidence_age().map(as_millis),
            view_age_ms: self.view.view_age(now).map(as_millis),
            update: None,
            scope: request.scope,
            loads: request.near.then(|| self.loads_for(request)).flatten(),
            slot_demands: (request.scope == Some(UsageScope::Host))
                .then(|| self.queue.lock_table().slot_demands()),
            slot_grants: match request.scope {
                Some(UsageScope::Fleet) => self.grant_slots(request.receiver, now),
                _ => Vec::new(),
            },
            usage,
            unresponsive,
            limits: self.queue.lock_table().changed_limits(new, since, now),
            poison: self.poison.changed_entries(new, since),
        };
        (message, version)
    }

    /// Returns the targets and evacuations that a peer's view lacks, by the message that it
    /// sent; `None` where they are too many for a message, which the peer fetches then.
    pub(crate) fn update_for(&self, message: &GossipMessage) -> Option<Box<ViewUpdate>> {
        if self.view.held_versions().0 <= message.revision {
            return None;
        }
        let update = self.view.update_since(message.complete_revision)?;
        let changes = update.targets.len() + update.removals.len();
        (changes <= MAX_CHANGES_PER_MESSAGE).then(|| Box::new(update))
    }

    /// Grants a host of the group its part of the shard's slots.
    pub(crate) fn grant_slots(&self, host: &str, now: Duration) -> Vec<PoolGrants> {
        let settings = self.settings.load();
        let mut granted = self.slot_grants();
        let members = granted.hosts();
        let table = self.queue.lock_table();
        let pools = table.grant_targets(host, &settings.host, &members, now);
        drop(table);
        granted.grant(host, pools, now)
    }

    fn own_note(&self) -> MemberRecord {
        let settings = self.settings.load();
        MemberRecord {
            host: settings.host.clone(),
            availability_zone: settings.availability_zone.clone(),
            address: settings.peer_address,
            capacity: settings.capacity,
            incarnation: self.incarnation,
            age_ms: 0,
            leaving: self.is_leaving(),
        }
    }

    fn usage_for(
        &self,
        request: MessageOptions<'_>,
        all: bool,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let mut ledger = self.quota_ledger();
        match request.scope {
            None => (Vec::new(), UnresponsiveHosts::default()),
            Some(UsageScope::Host) => (ledger.own_usage(all, now), UnresponsiveHosts::default()),
            Some(UsageScope::Group) => ledger.group_usage(all, now),
            Some(UsageScope::Fleet) => ledger.fleet_usage(request.receiver, all, now),
        }
    }

    fn loads_for(&self, request: MessageOptions<'_>) -> Option<Vec<TargetLoad>> {
        let table = self.queue.lock_table();
        Some(match request.scope? {
            UsageScope::Host => table.own_loads(),
            UsageScope::Group => table.group_loads(),
            UsageScope::Fleet => table.loads_excluding(request.receiver),
        })
    }

    /// Returns notes of hosts that changed since the last exchange, and of some others,
    /// others each time.
    fn select_notes(
        &self,
        request: MessageOptions<'_>,
        since: Duration,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let members = self.members();
        let known = (members.live_count(now) + 1) as f64;
        if (request.peer_hosts as f64) < known * MIN_KNOWN_RATIO {
            return members.records_from(0, BOOTSTRAP_NOTES, now);
        }
        let turn = self.gossip_cursors().next_note_offset(NOTES_PER_MESSAGE);
        let mut notes = members.records_from(turn, NOTES_PER_MESSAGE, now);
        notes.extend(members.changed_records(since, now));
        notes
    }

    /// Returns when hosts were seen: those that report here, or some of all.
    fn select_sightings(&self, request: MessageOptions<'_>, now: Duration) -> Vec<HeartbeatAge> {
        match request.scope {
            None | Some(UsageScope::Host) => Vec::new(),
            Some(UsageScope::Group) => self.reporter_sightings(now),
            Some(UsageScope::Fleet) => {
                let members = self.members();
                let count = members.size().div_ceil(SIGHTING_ROUNDS);
                let mut sent = self.gossip_cursors();
                let turn = sent.next_sighting_offset(request.receiver, count);
                members.heartbeats(turn, count, now)
            }
        }
    }

    /// Returns the hosts that report to this one, itself included.
    fn reporter_sightings(&self, now: Duration) -> Vec<HeartbeatAge> {
        let own = HeartbeatAge {
            host: hash_host(&self.settings.load().host),
            age_ms: 0,
        };
        let mut heartbeats = vec![own];
        let reports = self.reporting_hosts();
        heartbeats.extend(reports.iter().map(|(host, at)| HeartbeatAge {
            host: hash_host(host),
            age_ms: now.saturating_sub(*at).as_millis() as u32,
        }));
        heartbeats
    }
}

fn as_millis(age: Duration) -> u64 {
    age.as_millis() as u64
}
