//! Builds the gossip messages that this host sends.

use std::time::Duration;

use super::edge_state::EdgeState;
use super::fleet_role::MIN_KNOWN_RATIO;
use crate::clock::boot_now;
use crate::dispatch::PaceSource;
use crate::dispatch::PoolGrants;
use crate::dispatch::TargetLoad;
use crate::ids::HostName;
use crate::members::GossipMessage;
use crate::members::GroupShare;
use crate::members::HeartbeatAge;
use crate::members::HeartbeatDigest;
use crate::members::LoadVersion;
use crate::members::MAX_CHANGED_RECORDS;
use crate::members::MemberRecord;
use crate::members::hash_host;
use crate::quota::AccountUsage;
use crate::quota::FormerUsage;
use crate::quota::ReportBasis;
use crate::quota::UnresponsiveHosts;
use crate::quota::UsageScope;
use crate::sorted::SortedMap;
use crate::view::ViewUpdate;

/// Number of unchanged hosts that each message lists, in rotation. Membership rarely
/// changes, and a full list would be most of a message in a large fleet.
const RECORDS_PER_MESSAGE: usize = 2;
/// Limit on target changes per message. A message must reach all hosts of a group in time
/// over a narrow link.
const MAX_CHANGES_PER_MESSAGE: usize = 128;
/// Number of hosts listed in a message to a peer that is joining. A larger fleet is listed over
/// several messages.
const BOOTSTRAP_RECORDS: usize = 512;
/// Number of hosts listed in a message for each host that a peer does not know. The peer does
/// not say which ones, so most of those listed are known to it.
const RECORDS_PER_UNKNOWN: usize = 4;
/// Largest such number.
const MAX_UNKNOWN_RECORDS: usize = 64;
/// Number of messages over which the heartbeats of the whole fleet are spread.
const HEARTBEAT_ROUNDS: usize = 8;
/// Age up to which a host counts as recently started.
const STARTUP_AGE: Duration = Duration::from_secs(5);
/// Maximum age of the changes that are sent to a peer without a successful exchange.
const DEFAULT_CHANGE_WINDOW: Duration = Duration::from_secs(6);

/// Returns how many hosts a message lists in rotation to a peer that knows `peer_hosts`, where
/// this host knows `known`.
pub(super) fn listed_hosts(peer_hosts: usize, known: usize) -> usize {
    if (peer_hosts as f64) < known as f64 * MIN_KNOWN_RATIO {
        return BOOTSTRAP_RECORDS;
    }
    let unknown = known.saturating_sub(peer_hosts);
    RECORDS_PER_MESSAGE + (unknown * RECORDS_PER_UNKNOWN).min(MAX_UNKNOWN_RECORDS)
}

/// Returns whether a host of this age is still starting and knows few others.
pub(super) fn is_starting_up(age: Duration) -> bool {
    age < STARTUP_AGE
}

/// The recipient of a message and what the message should contain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageOptions<'r> {
    pub(crate) receiver: &'r str,
    /// Whose usage and loads the message reports.
    pub(crate) scope: Option<UsageScope>,
    /// Whether the message reports loads.
    pub(crate) with_loads: bool,
    /// Whether the peer is new to this host or has just started, so that it needs
    /// everything.
    pub(crate) is_new: bool,
    /// Number of hosts that the peer knows, by its last report.
    pub(crate) peer_hosts: usize,
    /// Start of the last successful exchange with the peer.
    pub(crate) since: Option<Duration>,
}

/// The loads that were sent last, and the positions from which the next messages
/// continue.
#[derive(Debug, Default)]
pub(crate) struct GossipCursors {
    loads: Vec<TargetLoad>,
    version: LoadVersion,
    /// Where the next lists for each peer start.
    offsets: SortedMap<HostName, ListOffsets>,
}

/// Positions in the rotating lists for one peer.
#[derive(Clone, Copy, Debug, Default)]
struct ListOffsets {
    records: usize,
    changed: usize,
    heartbeats: usize,
}

/// Quota usage in a message.
#[derive(Debug, Default)]
struct SentUsage {
    accounts: Vec<AccountUsage>,
    unresponsive: UnresponsiveHosts,
    former: Vec<FormerUsage>,
    basis: ReportBasis,
}

impl GossipCursors {
    /// Sets the current loads and returns their version.
    fn update_loads(&mut self, loads: &[TargetLoad]) -> LoadVersion {
        if self.loads != loads {
            self.loads = loads.to_vec();
            self.version += 1;
        }
        self.version
    }

    fn next_record_offset(&mut self, receiver: &str, count: usize) -> usize {
        advance(&mut self.offsets_for(receiver).records, count)
    }

    fn next_changed_offset(&mut self, receiver: &str) -> usize {
        advance(&mut self.offsets_for(receiver).changed, MAX_CHANGED_RECORDS)
    }

    fn next_heartbeat_offset(&mut self, receiver: &str, count: usize) -> usize {
        advance(&mut self.offsets_for(receiver).heartbeats, count)
    }

    fn offsets_for(&mut self, receiver: &str) -> &mut ListOffsets {
        self.offsets
            .get_or_insert_with(receiver.to_owned(), ListOffsets::default)
    }
}

/// Advances the start of a list and returns the previous one.
const fn advance(offset: &mut usize, count: usize) -> usize {
    let start = *offset;
    *offset = start.wrapping_add(count);
    start
}

impl EdgeState {
    /// Returns the version of this host's loads at the targets.
    pub(crate) fn load_version(&self) -> LoadVersion {
        let loads = self.queue.lock_table().own_loads();
        self.gossip_cursors().update_loads(&loads)
    }

    /// Builds a message for a peer; returns it with the version of this host's loads.
    pub(crate) fn build_message(
        &self,
        options: MessageOptions<'_>,
    ) -> (GossipMessage, LoadVersion) {
        let now = boot_now();
        let version = self.load_version();
        let uptime = now.saturating_sub(self.started);
        let is_new = options.is_new || is_starting_up(uptime);
        let since = options
            .since
            .unwrap_or(now.saturating_sub(DEFAULT_CHANGE_WINDOW));
        let (revision, catalog) = self.view.held_versions();
        let usage = self.usage_for(options, options.since, now);
        let table = self.queue.lock_table();
        let limits = table.changed_limits(is_new, since, now);
        let brittle = table.changed_brittle(is_new, since, now);
        let rejections = table.changed_rejections(is_new, since, now);
        let leaving_targets = table.leaving_targets(is_new, since, now);
        let returning_targets = table.returning_targets(is_new, since, now);
        // Other groups use other engines.
        let paces = match options.scope {
            Some(UsageScope::Host) => table.changed_paces(PaceSource::Own, is_new, since, now),
            Some(UsageScope::Fleet) => table.changed_paces(PaceSource::All, is_new, since, now),
            None | Some(UsageScope::Group) => Vec::new(),
        };
        drop(table);
        let (heartbeats, digest) = self.select_heartbeats(options, now);
        let message = GossipMessage {
            own: self.own_record(),
            uptime_ms: uptime.as_millis() as u64,
            history_gap_ms: self.poison.gap.left(now).as_millis() as u64,
            hosts: self.live_host_count() as u16,
            grouped: self.role().is_grouped_member(),
            members: self.select_records(options, since, now),
            heartbeats,
            digest,
            revision,
            complete_revision: self.view.revision(),
            catalog,
            catalog_revision: self.view.catalog_revision(),
            evidence_age_ms: self.evidence_age().map(as_millis),
            view_age_ms: self.view.view_age(now).map(as_millis),
            update: None,
            scope: options.scope,
            loads: options
                .with_loads
                .then(|| self.loads_for(options))
                .flatten(),
            slot_demands: (options.scope == Some(UsageScope::Host)).then(|| {
                let mut table = self.queue.lock_table();
                table.record_slot_report(now);
                table.slot_demands(now)
            }),
            slot_grants: match options.scope {
                Some(UsageScope::Fleet) => self.grant_slots(options.receiver, now),
                _ => Vec::new(),
            },
            shard_report: match options.scope {
                Some(UsageScope::Group) if self.weights_shards() => {
                    self.shard_weights().report(now)
                }
                _ => None,
            },
            shard_spans: match options.scope {
                Some(UsageScope::Fleet) if self.weights_shards() => {
                    self.queue.lock_table().shard_spans()
                }
                _ => Vec::new(),
            },
            streams: match options.scope {
                Some(UsageScope::Host) => {
                    let since = (!is_new).then_some(since);
                    self.streams().own_streams(since, now)
                }
                _ => Vec::new(),
            },
            usage: usage.accounts,
            unresponsive: usage.unresponsive,
            former_usage: usage.former,
            usage_basis: usage.basis,
            limits,
            brittle,
            rejections,
            paces,
            leaving_targets,
            returning_targets,
            reach: self.queue.lock_table().own_reach(now),
            poison: self.poison.changed_entries(is_new, since),
            parts: self.parts.changed_entries(is_new, since),
        };
        (message, version)
    }

    /// Returns the targets and evacuations that are missing from the view of the peer
    /// that sent `message`. Returns `None` if there are too many for a message; the peer
    /// then fetches the view separately.
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
        let own = &self.startup.host;
        let mut grants = self.slot_grants();
        let members = grants.hosts();
        let table = self.queue.lock_table();
        let is_scarce = |pool: &str, slots| grants.is_scarce(pool, slots);
        let pools = table.grant_targets(host, own, &members, is_scarce, now);
        drop(table);
        grants.grant(host, pools, now)
    }

    /// Returns whether ranges of targets follow the demand of the groups.
    pub(super) fn weights_shards(&self) -> bool {
        self.runtime.load().load_control.weights_shards
    }

    /// Updates the ranges of targets of this host's group, whose leader it is.
    pub(super) fn update_shards(&self, share: &GroupShare, now: Duration) {
        if !self.weights_shards() {
            return;
        }
        let demands = self.slot_grants().demand_totals();
        let mut weights = self.shard_weights();
        weights.update(share, &demands, &mut self.queue.lock_table(), now);
    }

    fn own_record(&self) -> MemberRecord {
        MemberRecord {
            host: self.startup.host.clone(),
            availability_zone: self.startup.availability_zone.clone(),
            address: self.startup.peer_address,
            capacity: self.runtime.load().capacity,
            incarnation: self.incarnation,
            age_ms: 0,
            leaving: self.is_leaving(),
        }
    }

    fn usage_for(
        &self,
        options: MessageOptions<'_>,
        since: Option<Duration>,
        now: Duration,
    ) -> SentUsage {
        let mut limiter = self.quota_limiter();
        let Some(scope) = options.scope else {
            return SentUsage::default();
        };
        let receiver = options.receiver;
        let (accounts, unresponsive) = match scope {
            UsageScope::Host => (
                limiter.own_usage(receiver, since, now),
                UnresponsiveHosts::default(),
            ),
            UsageScope::Group => limiter.group_usage(receiver, since, now),
            UsageScope::Fleet => limiter.fleet_usage(receiver, since, now),
        };
        SentUsage {
            accounts,
            unresponsive,
            former: match scope {
                UsageScope::Host | UsageScope::Group => limiter.former_usage(receiver, now),
                UsageScope::Fleet => Vec::new(),
            },
            basis: limiter.basis(scope, now),
        }
    }

    fn loads_for(&self, options: MessageOptions<'_>) -> Option<Vec<TargetLoad>> {
        let table = self.queue.lock_table();
        Some(match options.scope? {
            UsageScope::Host => table.own_loads(),
            UsageScope::Group => table.group_loads(),
            UsageScope::Fleet => table.loads_excluding(options.receiver),
        })
    }

    /// Returns the hosts that changed since the last exchange, and others in rotation: many if
    /// the peer knows too few hosts, so that it soon knows all.
    fn select_records(
        &self,
        options: MessageOptions<'_>,
        since: Duration,
        now: Duration,
    ) -> Vec<MemberRecord> {
        let members = self.members();
        let known = members.live_count(now) + 1;
        let count = listed_hosts(options.peer_hosts, known);
        let mut cursors = self.gossip_cursors();
        let offset = cursors.next_record_offset(options.receiver, count);
        let mut records = members.records_from(offset, count, now);
        if count < BOOTSTRAP_RECORDS {
            let changed_offset = cursors.next_changed_offset(options.receiver);
            records.extend(members.changed_records(since, changed_offset, now));
        }
        records
    }

    /// Returns the heartbeats of the hosts that report to this one, or a digest of all
    /// heartbeats, with a part of them in rotation for hosts that know others.
    fn select_heartbeats(
        &self,
        options: MessageOptions<'_>,
        now: Duration,
    ) -> (Vec<HeartbeatAge>, Option<HeartbeatDigest>) {
        match options.scope {
            None | Some(UsageScope::Host) => (Vec::new(), None),
            Some(UsageScope::Group) => (self.reporter_heartbeats(now), None),
            Some(UsageScope::Fleet) => {
                let members = self.members();
                let count = members.size().div_ceil(HEARTBEAT_ROUNDS);
                let mut cursors = self.gossip_cursors();
                let offset = cursors.next_heartbeat_offset(options.receiver, count);
                let mut heartbeats = members.heartbeats(offset, count, now);
                let (digest, listed) = members.heartbeat_digest(now);
                heartbeats.extend(listed);
                (heartbeats, Some(digest))
            }
        }
    }

    /// Returns heartbeats of this host and of those that report to it.
    fn reporter_heartbeats(&self, now: Duration) -> Vec<HeartbeatAge> {
        let own = HeartbeatAge {
            host: hash_host(&self.startup.host),
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
