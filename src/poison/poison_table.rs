//! Detection of requests that crash the targets that run them.
//!
//! It protects against a request that crashes every target that runs it and that its caller
//! sends again. Without it, each resend would crash another target until none is left, and all
//! requests that ran on the same targets would be lost as well.

use std::cmp::Reverse;

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
/// Maximum number of suspects. Each crash makes suspects of all requests that ran on the target,
/// a dozen or more; the losses of a request must outlast the crashes between two of its runs.
const MAX_SUSPECTS: usize = 4096;
/// Maximum number of suspects in a message.
const MAX_SENT: usize = 64;

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

    /// Returns the most important entries for peers.
    pub fn entries(&self) -> Vec<PoisonEntry> {
        self.select_entries(|_| true)
    }

    /// Returns the most important of the entries whose fingerprint is `wanted`, for peers.
    pub fn select_entries(&self, wanted: impl Fn(RequestFingerprint) -> bool) -> Vec<PoisonEntry> {
        let entries = self.entries.values();
        let mut entries: Vec<&PoisonEntry> =
            entries.filter(|entry| wanted(entry.fingerprint)).collect();
        entries.sort_by_cached_key(|entry| Reverse(importance(entry)));
        entries.truncate(MAX_SENT);
        entries.into_iter().cloned().collect()
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

    /// Removes entries past the retention period, and the least important ones above the maximum
    /// number.
    pub fn evict_expired(&mut self, now: UnixMillis) {
        let cutoff = now.saturating_sub(RETENTION_MS);
        self.entries.retain(|_, entry| {
            entry.losses.retain(|loss| loss.at >= cutoff);
            !entry.losses.is_empty() || entry.cleared_at >= cutoff
        });
        while self.entries.len() > MAX_SUSPECTS {
            let least = self.entries.values().min_by_key(|entry| importance(entry));
            let Some(least) = least.map(|entry| entry.fingerprint) else {
                return;
            };
            self.entries.remove(&least);
        }
    }

    fn count_losses(&self, fingerprint: RequestFingerprint) -> usize {
        self.entries.get(&fingerprint).map_or(0, count_losses)
    }
}

/// Returns the order in which entries are kept and sent: by their losses, since an entry with
/// more of them protects more targets, then by time.
fn importance(entry: &PoisonEntry) -> (usize, UnixMillis) {
    let changed_at = entry.losses.last().map_or(entry.cleared_at, |loss| loss.at);
    (count_losses(entry), changed_at)
}

/// Returns the number of losses of an entry, without those that belong to one crash.
fn count_losses(entry: &PoisonEntry) -> usize {
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
