//! Compact heartbeats of all hosts of a fleet.

use serde::Deserialize;
use serde::Serialize;

use super::HostHash;

/// Number of hosts per bucket.
const HOSTS_PER_BUCKET: usize = 8;

/// Heartbeats of all hosts that the sender knows, a few bytes for each bucket of hosts.
///
/// A list of single heartbeats grows with the fleet, so that each message could hold only a part
/// of it. Heartbeats were then up to 5 s old, and hosts that were alive counted as dead.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatDigest {
    buckets: Vec<HeartbeatBucket>,
}

/// Heartbeats of the hosts whose hashes lie in one range.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct HeartbeatBucket {
    /// The hashes of the hosts, combined by exclusive or. It tells a receiver whether it knows
    /// the same hosts.
    hosts: HostHash,
    /// Age of the oldest heartbeat, in milliseconds.
    pub(super) age_ms: u32,
}

impl HeartbeatDigest {
    /// Returns a digest without hosts, with enough buckets for `hosts`.
    pub(super) fn with_capacity(hosts: usize) -> Self {
        let buckets = hosts.div_ceil(HOSTS_PER_BUCKET).max(1);
        Self {
            buckets: vec![HeartbeatBucket::default(); buckets],
        }
    }

    /// Returns a digest without hosts, with as many buckets as this one.
    pub(super) fn cleared(&self) -> Self {
        Self {
            buckets: vec![HeartbeatBucket::default(); self.buckets.len()],
        }
    }

    /// Adds a host.
    pub(super) fn add(&mut self, host: HostHash, age_ms: u32) {
        if let Some(bucket) = self.bucket_mut(host) {
            bucket.hosts ^= host;
            bucket.age_ms = bucket.age_ms.max(age_ms);
        }
    }

    /// Returns the bucket of a host.
    pub(super) fn bucket(&self, host: HostHash) -> Option<&HeartbeatBucket> {
        self.buckets.get(self.index_of(host))
    }

    /// Returns the bucket of a host if it contains the same hosts as in `other`.
    pub(super) fn same_bucket(&self, other: &Self, host: HostHash) -> Option<&HeartbeatBucket> {
        let bucket = self.bucket(host)?;
        (other.bucket(host)?.hosts == bucket.hosts).then_some(bucket)
    }

    fn bucket_mut(&mut self, host: HostHash) -> Option<&mut HeartbeatBucket> {
        let index = self.index_of(host);
        self.buckets.get_mut(index)
    }

    fn index_of(&self, host: HostHash) -> usize {
        let scaled = u64::from(host) * self.buckets.len() as u64;
        (scaled >> HostHash::BITS) as usize
    }
}
