//! Detection of requests that crash the targets that run them.
//!
//! It protects against a request that crashes every target that runs it and that its caller
//! sends again. Without it, each resend would crash another target until none is left, and all
//! requests that ran on the same targets would be lost as well.

use super::PoisonEntry;
use super::RequestFingerprint;
use super::TargetLoss;
use crate::ids::TargetName;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// Number of losses after which a request is rejected. A single loss may be a coincidence,
/// since a failing target loses all requests that run there. Two losses are the most that users
/// accept.
const MAX_LOSSES: usize = 2;
/// How long losses are remembered, in milliseconds. It is long enough for the caller's
/// operators to react, and short enough that a fixed engine gets the request again.
const RETENTION_MS: u64 = 600_000;
/// Losses of one target within this time count as one, in milliseconds. Several copies of the
/// request may have run there for different hosts.
const SAME_LOSS_MS: u64 = 2_000;
/// Maximum number of suspects; a single message may carry all of them.
const MAX_SUSPECTS: usize = 64;

/// Requests suspected of crashing targets.
///
/// Only requests that ran on a target when it was lost are suspected. A request that
/// completes on any target is cleared on every host.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: SortedMap<RequestFingerprint, PoisonEntry>,
}

impl PoisonTable {
    /// Records that a target was lost while it ran the request.
    pub fn record_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        now: UnixMillis,
    ) {
        let mut loss = PoisonEntry::new(fingerprint);
        loss.losses.push(TargetLoss {
            at: now,
            target: target.clone(),
        });
        self.merge(&loss);
        self.evict_expired(now);
    }

    /// Records that a target completed the request; returns whether the request was in the
    /// table.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint, now: UnixMillis) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        entry.cleared_at = entry.cleared_at.max(now);
        entry.losses.clear();
        true
    }

    /// Merges the entry of a peer; returns whether this changed anything.
    pub fn merge(&mut self, entry: &PoisonEntry) -> bool {
        self.entries
            .get_or_insert_with(entry.fingerprint, || PoisonEntry::new(entry.fingerprint))
            .merge(entry)
    }

    /// Returns all entries for peers.
    pub fn entries(&self) -> Vec<PoisonEntry> {
        self.entries.values().cloned().collect()
    }

    /// Returns whether a target was lost while it ran the request. Such a request must not run
    /// together with other suspects, so that a second loss identifies the cause.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.count_losses(fingerprint) > 0
    }

    /// Returns whether the request is rejected.
    pub fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        self.count_losses(fingerprint) >= MAX_LOSSES
    }

    /// Returns the targets that were lost while they ran the request.
    pub fn lost_targets(&self, fingerprint: RequestFingerprint) -> Vec<TargetName> {
        self.entries
            .get(&fingerprint)
            .map_or_else(Vec::new, |entry| {
                let targets = entry.losses.iter().map(|loss| loss.target.clone());
                targets.collect()
            })
    }

    /// Removes entries past the retention period, and the oldest ones above the maximum number.
    pub fn evict_expired(&mut self, now: UnixMillis) {
        let cutoff = now.saturating_sub(RETENTION_MS);
        self.entries.retain(|_, entry| {
            entry.losses.retain(|loss| loss.at >= cutoff);
            !entry.losses.is_empty() || entry.cleared_at >= cutoff
        });
        while self.entries.len() > MAX_SUSPECTS {
            let Some(oldest) = self.oldest_entry() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }

    fn oldest_entry(&self) -> Option<RequestFingerprint> {
        self.entries
            .iter()
            .min_by_key(|(_, entry)| entry.losses.last().map_or(entry.cleared_at, |loss| loss.at))
            .map(|(fingerprint, _)| *fingerprint)
    }

    fn count_losses(&self, fingerprint: RequestFingerprint) -> usize {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return 0;
        };
        let losses = &entry.losses;
        let is_duplicate = |index: usize| {
            let loss = &losses[index];
            losses[..index]
                .iter()
                .any(|earlier| earlier.target == loss.target && loss.at - earlier.at < SAME_LOSS_MS)
        };
        (0..losses.len())
            .filter(|index| !is_duplicate(*index))
            .count()
    }
}
