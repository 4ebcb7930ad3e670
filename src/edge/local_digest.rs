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
const NOTES_A_MESSAGE: usize = 2;
/// How many changes of targets a message carries at most: it must pass a narrow link to all
/// hosts of a group in time.
const CHANGES_A_MESSAGE: usize = 128;
/// How many hosts it names to one that knows few.
const FIRST_NOTES: usize = 512;
/// The part of the hosts that a peer must know to be named only those that changed.
const KNOWN_PART: f64 = 0.8;
/// Into how many messages the heartbeats of a whole fleet are divided.
const SIGHTING_TURNS: usize = 8;
/// Until when a host has started lately.
const YOUNG_AGE: Duration = Duration::from_secs(5);
/// For how long a change is sent to a peer that was not sent anything before.
const CHANGE_TIME: Duration = Duration::from_secs(6);

/// Tells whether a host of this age has started lately, and knows few others.
pub(super) fn is_young(age: Duration) -> bool {
    age < YOUNG_AGE
}

/// What a message is made for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageRequest<'r> {
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
pub(crate) struct SentState {
    loads: Vec<TargetLoad>,
    version: LoadVersion,
    note_turn: usize,
    /// Which heartbeats each peer gets next.
    sighting_turns: SortedMap<HostName, usize>,
}

impl SentState {
    /// Takes the loads of now; returns their version.
    fn take_loads(&mut self, loads: &[TargetLoad]) -> LoadVersion {
        if self.loads != loads {
            self.loads = loads.to_vec();
            self.version += 1;
        }
        self.version
    }

    fn take_note_turn(&mut self, count: usize) -> usize {
        let turn = self.note_turn;
        self.note_turn = turn.wrapping_add(count);
        turn
    }

    fn take_sighting_turn(&mut self, receiver: &str, count: usize) -> usize {
        let next = self
            .sighting_turns
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
        self.sent_state().take_loads(&loads)
    }

    /// Returns a message for a peer, and the version of this host's loads.
    pub(crate) fn message_for(&self, request: MessageRequest<'_>) -> (GossipMessage, LoadVersion) {
        let now = boot_now();
        let version = self.load_version();
        let life = now.saturating_sub(self.started);
        let new = request.new || is_young(life);
        let since = request.since.unwrap_or(now.saturating_sub(CHANGE_TIME));
        let (revision, catalog) = self.view.held_versions();
        let (usage, unresponsive) = self.usage_for(request, new, now);
        let message = GossipMessage {
            own: self.own_note(),
            uptime_ms: life.as_millis() as u64,
            hosts: self.live_hosts() as u16,
            grouped: self.role().is_placed(),
            members: self.some_notes(request, since, now),
            heartbeats: self.some_sightings(request, now),
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
        (changes <= CHANGES_A_MESSAGE).then(|| Box::new(update))
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
        request: MessageRequest<'_>,
        all: bool,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let mut ledger = self.quotas();
        match request.scope {
            None => (Vec::new(), UnresponsiveHosts::default()),
            Some(UsageScope::Host) => (ledger.own_usage(all, now), UnresponsiveHosts::default()),
            Some(UsageScope::Group) => ledger.group_usage(all, now),
            Some(UsageScope::Fleet) => ledger.fleet_usage(request.receiver, all, now),
        }
    }

    fn loads_for(&self, request: MessageRequest<'_>) -> Option<Vec<TargetLoad>> {
        let table = self.queue.lock_table();
        Some(match request.scope? {
            UsageScope::Host => table.own_loads(),
            UsageScope::Group => table.group_loads(),
            UsageScope::Fleet => table.loads_excluding(request.receiver),
        })
    }

    /// Returns notes of hosts that changed since the last exchange, and of some others,
    /// others each time.
    fn some_notes(
        &self,
        request: MessageRequest<'_>,
        since: Duration,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let members = self.members();
        let known = (members.live_count(now) + 1) as f64;
        if (request.peer_hosts as f64) < known * KNOWN_PART {
            return members.records_from(0, FIRST_NOTES, now);
        }
        let turn = self.sent_state().take_note_turn(NOTES_A_MESSAGE);
        let mut notes = members.records_from(turn, NOTES_A_MESSAGE, now);
        notes.extend(members.changed_records(since, now));
        notes
    }

    /// Returns when hosts were seen: those that report here, or some of all.
    fn some_sightings(&self, request: MessageRequest<'_>, now: Duration) -> Vec<HeartbeatAge> {
        match request.scope {
            None | Some(UsageScope::Host) => Vec::new(),
            Some(UsageScope::Group) => self.reporters(now),
            Some(UsageScope::Fleet) => {
                let members = self.members();
                let count = members.size().div_ceil(SIGHTING_TURNS);
                let mut sent = self.sent_state();
                let turn = sent.take_sighting_turn(request.receiver, count);
                members.heartbeats(turn, count, now)
            }
        }
    }

    /// Returns the hosts that report to this one, itself included.
    fn reporters(&self, now: Duration) -> Vec<HeartbeatAge> {
        let own = HeartbeatAge {
            host: hash_host(&self.settings.load().host),
            age_ms: 0,
        };
        let mut heartbeats = vec![own];
        let reports = self.reports();
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
