//! What hosts send each other several times a second.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::PoolGrants;
use crate::dispatch::SlotDemand;
use crate::dispatch::TargetLimit;
use crate::dispatch::TargetLoad;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::StoreRevision;
use crate::ids::ZoneName;
use crate::poison::PoisonEntry;
use crate::quota::AccountUsage;
use crate::quota::UnresponsiveHosts;
use crate::quota::UsageScope;
use crate::view::ViewUpdate;

/// A host's name in a few bytes.
pub type HostHash = u32;

/// Returns the hash of a host's name.
pub fn hash_host(host: &str) -> HostHash {
    xxh3_64(host.as_bytes()) as HostHash
}

/// What a host knows of another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The host.
    pub host: HostName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Where it takes its peers' calls.
    pub address: SocketAddr,
    /// The processor time that it has, in thousandths of a core.
    pub capacity: u32,
    /// Its present life.
    pub incarnation: IncarnationId,
    /// How long ago it was last seen, in milliseconds.
    pub age_ms: u32,
    /// Whether it said that it leaves.
    pub leaving: bool,
}

/// When a known host was last seen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAge {
    /// The host.
    pub host: HostHash,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

/// What a host sends a peer, in a call and in the answer to one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The host itself, aged 0.
    pub own: MemberRecord,
    /// How long its present life has lasted, in milliseconds.
    pub uptime_ms: u64,
    /// How many hosts it knows to serve, itself included.
    pub hosts: u16,
    /// Whether it has its place in a group, and reports to a leader or is one.
    pub grouped: bool,
    /// Some of the other hosts that it knows.
    pub members: Vec<MemberRecord>,
    /// When hosts were last seen: those of its group between leaders, some of all others.
    pub heartbeats: Vec<HeartbeatAge>,
    /// The revision of the last change in its view of the fleet.
    pub revision: StoreRevision,
    /// The revision up to which that view is complete.
    pub complete_revision: StoreRevision,
    /// The version of the catalog in force there.
    pub catalog: CatalogVersion,
    /// The revision up to which that catalog is the newest one.
    pub catalog_revision: StoreRevision,
    /// How long ago the catalog was known to be the store's, in milliseconds. It counts
    /// in an answer only: how long a call was on its way is not known.
    pub evidence_age_ms: Option<u64>,
    /// The same of the whole view.
    pub view_age_ms: Option<u64>,
    /// Targets and evacuations that the caller's view lacks; in an answer only.
    pub update: Option<Box<ViewUpdate>>,
    /// Whose usage and loads the message tells; `None` where it tells of neither.
    pub scope: Option<UsageScope>,
    /// What runs at targets; `None` between hosts that use others.
    pub loads: Option<Vec<TargetLoad>>,
    /// How many slots the sender wants; in a report to its leader.
    pub slot_demands: Option<Vec<SlotDemand>>,
    /// Which slots it may use, of pools that have too few for all; in the leader's answer.
    pub slot_grants: Vec<PoolGrants>,
    /// What was admitted lately of each account's quota.
    pub usage: Vec<AccountUsage>,
    /// Hosts of the scope that are silent.
    pub unresponsive: UnresponsiveHosts,
    /// Limits that targets name, as far as they changed.
    pub limits: Vec<TargetLimit>,
    /// Requests that targets were lost to.
    pub poison: Vec<PoisonEntry>,
}
