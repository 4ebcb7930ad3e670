//! What hosts tell each other of one suspect.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::TargetName;
use crate::ids::UnixMillis;

/// Stands for an account, a class and a body; alike on all hosts. A caller that
/// sends a killing request again may give it a new id, but hardly a new body.
pub type RequestFingerprint = u64;

/// Makes the fingerprint of a request.
pub fn fingerprint_request(account: &str, class: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = Xxh3::new();
    // The lengths keep "ab" + "c" apart from "a" + "bc".
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(&(class.len() as u64).to_le_bytes());
    hasher.update(class.as_bytes());
    hasher.update(body);
    hasher.digest()
}

/// One target that was lost while it ran the request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetLoss {
    /// When, by the clock of the host that saw it.
    pub at: UnixMillis,
    /// The target.
    pub target: TargetName,
}

/// What is known of one suspect. Entries of two hosts merge to the same value
/// in any order, so a lost or repeated digest does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoisonEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The targets that were lost, sorted.
    pub losses: Vec<TargetLoss>,
    /// When a target last ran it to the end; losses up to then count no more.
    pub cleared: UnixMillis,
}

impl PoisonEntry {
    /// Makes the entry of a request that no target was lost to.
    pub const fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            losses: Vec::new(),
            cleared: 0,
        }
    }

    /// Takes in what another host knows; returns whether that was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.losses.extend(other.losses.iter().cloned());
        self.losses.sort();
        self.losses.dedup();
        self.cleared = self.cleared.max(other.cleared);
        let cleared = self.cleared;
        self.losses.retain(|loss| loss.at > cleared);
        *self != before
    }
}
