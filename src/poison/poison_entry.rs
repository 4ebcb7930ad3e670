//! State of one suspect request, as exchanged between hosts.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::TargetName;
use crate::ids::UnixMillis;

/// Hash of a request's account, class and body, identical on all hosts. A caller that sends a
/// poison request again may give it a new id, but is unlikely to change the body.
pub type RequestFingerprint = u64;

/// Computes the fingerprint of a request.
pub fn fingerprint_request(account: &str, class: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = Xxh3::new();
    // The length prefixes distinguish "ab" + "c" from "a" + "bc".
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(&(class.len() as u64).to_le_bytes());
    hasher.update(class.as_bytes());
    hasher.update(body);
    hasher.digest()
}

/// Loss of a target while it ran the request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetLoss {
    /// Time of the loss, by the clock of the host that observed it.
    pub at: UnixMillis,
    /// Name of the target.
    pub target: TargetName,
}

/// Known state of one suspect request. Merging entries of two hosts gives the same result in
/// any order, so lost or repeated messages do no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoisonEntry {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Losses of targets, sorted.
    pub losses: Vec<TargetLoss>,
    /// When a target last completed the request; losses up to then no longer count.
    pub cleared_at: UnixMillis,
}

impl PoisonEntry {
    /// Creates the entry of a request without losses.
    pub const fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            losses: Vec::new(),
            cleared_at: 0,
        }
    }

    /// Merges the entry of another host; returns whether this changed anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let previous = self.clone();
        self.losses.extend(other.losses.iter().cloned());
        self.losses.sort();
        self.losses.dedup();
        self.cleared_at = self.cleared_at.max(other.cleared_at);
        let cleared_at = self.cleared_at;
        self.losses.retain(|loss| loss.at > cleared_at);
        *self != previous
    }
}
