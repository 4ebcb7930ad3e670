//! Registrations of targets.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::ids::StoreRevision;
use crate::ids::TargetName;
use crate::ids::ZoneName;

/// Most slots that a target can have. Engines run batches of up to some hundreds, and the slots of
/// 6,000 targets, or of one target times 100,000 as in grants, fit a `u32`.
const MAX_SLOTS: u32 = 4096;
/// Longest name of a target, pool, zone or version, in bytes, which is that of a key of the store.
/// Names are sent to peers with each registration, whose messages hold 2 MB.
const MAX_NAME_BYTES: usize = 200;
/// Longest time for which a target can be cold. Warm-ups take seconds; a target is used at the rate
/// of a cold one for as long as it states.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetPhase {
    /// It accepts new requests.
    Ready,
    /// It completes running requests and accepts no new ones.
    Draining,
}

/// One run of a target's process. It ends with the process: one that starts under the same
/// name or at the same address is another incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation {
    /// Name of the target.
    pub name: TargetName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Start time in milliseconds of the target's own clock.
    pub started_at_ms: u64,
}

/// A target's registration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Name of the target, unique while it runs.
    pub name: TargetName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: TargetPhase,
    /// Start time in milliseconds of the target's own clock. A target may restart under the
    /// same name and then keeps no state from before.
    pub started_at_ms: u64,
    /// Version of its software; empty if it states none.
    pub software_version: SoftwareVersion,
    /// Remaining time for which it is cold, as of this registration.
    pub cold_remaining: Duration,
    /// Store revision at which it was written.
    pub revision: StoreRevision,
}

impl TargetRecord {
    /// Returns whether the registration names a target that can be used. Another writer may leave
    /// any value that parses.
    ///
    /// One with an absurd number of slots is not taken with fewer: engines are chosen by the square
    /// of their free slots, so that it would get nearly all requests, and its address is as doubtful
    /// as the number.
    pub fn is_usable(&self) -> bool {
        (1..=MAX_SLOTS).contains(&self.slots)
            && self.cold_remaining <= MAX_COLD_TIME
            && is_connectable(self.address)
            && self.has_valid_name()
            && !self.pool.is_empty()
            && is_name(&self.pool)
            && is_name(&self.availability_zone)
            && is_name(&self.software_version)
    }

    /// Returns whether a target can have the name of this registration.
    pub(super) fn has_valid_name(&self) -> bool {
        !self.name.is_empty() && is_name(&self.name)
    }

    /// Returns whether the other record is the same registration in another era of the store.
    pub fn differs_only_in_era(&self, other: &Self) -> bool {
        let mut moved = self.clone();
        moved.revision.era = other.revision.era;
        moved == *other
    }

    /// Returns the incarnation that was registered.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.name.clone(),
            address: self.address,
            started_at_ms: self.started_at_ms,
        }
    }
}

/// Returns whether a single host can be connected to at the address. The unspecified address would
/// be this host itself.
fn is_connectable(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Returns whether the text can be a name. The name of a target is sent in a header, to which a line
/// break would add others.
fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control)
}
