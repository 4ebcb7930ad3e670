//! Messages that hosts exchange several times per second.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::HeartbeatDigest;
use crate::dispatch::BrittleLimit;
use crate::dispatch::LeavingTarget;
use crate::dispatch::PoolGrants;
use crate::dispatch::PoolReach;
use crate::dispatch::PoolSpan;
use crate::dispatch::ReturningTarget;
use crate::dispatch::ShardReport;
use crate::dispatch::SlotDemand;
use crate::dispatch::TargetLimit;
use crate::dispatch::TargetLoad;
use crate::dispatch::TargetPace;
use crate::dispatch::TargetRejection;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::StoreRevision;
use crate::ids::ZoneName;
use crate::poison::PartEntry;
use crate::poison::PoisonEntry;
use crate::quota::AccountUsage;
use crate::quota::FormerUsage;
use crate::quota::ReportBasis;
use crate::quota::UnresponsiveHosts;
use crate::quota::UsageScope;
use crate::streams::VersionStreams;
use crate::view::ViewUpdate;

/// Hash of a host's name, used in place of the name to keep messages small.
pub type HostHash = u32;

/// Returns the hash of a host's name.
pub fn hash_host(host: &str) -> HostHash {
    xxh3_64(host.as_bytes()) as HostHash
}

/// What a host knows about another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Address at which it accepts calls of peers.
    pub address: SocketAddr,
    /// CPU capacity in thousandths of a core.
    pub capacity: u32,
    /// Its current incarnation.
    pub incarnation: IncarnationId,
    /// Time since it was last seen, in milliseconds.
    pub age_ms: u32,
    /// Whether it announced its shutdown.
    pub leaving: bool,
}

/// Time since a known host was last seen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAge {
    /// Hash of the host's name.
    pub host: HostHash,
    /// Time since it was last seen, in milliseconds.
    pub age_ms: u32,
}

/// Message that a host sends to a peer, both as a call and as the answer to one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The sender itself, with an age of 0.
    pub own: MemberRecord,
    /// Time since the sender started, in milliseconds.
    pub uptime_ms: u64,
    /// How long losses that the sender doesn't know may still count, in milliseconds.
    pub history_gap_ms: u64,
    /// Number of live hosts that it knows, including itself.
    pub hosts: u16,
    /// Whether it belongs to a group and reports to a leader or is one.
    pub grouped: bool,
    /// Some of the other hosts that it knows.
    pub members: Vec<MemberRecord>,
    /// Heartbeat ages: between leaders those of the sender's group, otherwise those that the
    /// digest does not give, and some of all other hosts.
    pub heartbeats: Vec<HeartbeatAge>,
    /// Heartbeats of all hosts; in a leader's answer.
    pub digest: Option<HeartbeatDigest>,
    /// Revision of the last change in its view of the fleet.
    pub revision: StoreRevision,
    /// Revision up to which that view is complete.
    pub complete_revision: StoreRevision,
    /// Version of the catalog in use.
    pub catalog: CatalogVersion,
    /// Revision up to which that catalog is known to be the newest.
    pub catalog_revision: StoreRevision,
    /// Time since the catalog was known to match the store, in milliseconds. It is used only
    /// from answers, since the transit time of a call is unknown.
    pub evidence_age_ms: Option<u64>,
    /// The same for the whole view.
    pub view_age_ms: Option<u64>,
    /// Targets and evacuations missing from the calling host's view; in answers only.
    pub update: Option<Box<ViewUpdate>>,
    /// Hosts whose usage and loads the message contains; `None` if it contains neither.
    pub scope: Option<UsageScope>,
    /// Load on targets; `None` if the receiver uses other targets.
    pub loads: Option<Vec<TargetLoad>>,
    /// Slots that the sender requests; in a report to its leader.
    pub slot_demands: Option<Vec<SlotDemand>>,
    /// Slots that the receiver may use in pools where slots are scarce; in a leader's answer.
    pub slot_grants: Vec<PoolGrants>,
    /// Demand and ranges of the sender's group; between leaders.
    pub shard_report: Option<ShardReport>,
    /// Ranges of the group that differ from equal ones; in a leader's answer.
    pub shard_spans: Vec<PoolSpan>,
    /// Recent quota usage by account.
    pub usage: Vec<AccountUsage>,
    /// Usage that hosts counted which no longer report it; to a peer that is new to the sender.
    pub former_usage: Vec<FormerUsage>,
    /// What the reported usage is based on.
    pub usage_basis: ReportBasis,
    /// Unresponsive hosts within the scope.
    pub unresponsive: UnresponsiveHosts,
    /// Changed request limits announced by targets.
    pub limits: Vec<TargetLimit>,
    /// Changed brittle pools, with the rejections in a second after which a target crashes.
    pub brittle: Vec<BrittleLimit>,
    /// Changed last rejections by targets of brittle pools.
    pub rejections: Vec<TargetRejection>,
    /// Changed streams that the sender began in pools with several software versions; in reports
    /// of its own usage.
    pub streams: Vec<VersionStreams>,
    /// Changed paces of engines that the receiver uses.
    pub paces: Vec<TargetPace>,
    /// Targets that stated in an answer that they are leaving.
    pub leaving_targets: Vec<LeavingTarget>,
    /// Removed targets that a store which went back shows as registered.
    pub returning_targets: Vec<ReturningTarget>,
    /// The sender's own paths to the targets of each pool.
    pub reach: Vec<PoolReach>,
    /// Requests during which targets crashed.
    pub poison: Vec<PoisonEntry>,
    /// Parts of prompts during which targets crashed.
    pub parts: Vec<PartEntry>,
}
