//! Detection of requests that crash the targets that run them.
//!
//! It protects against a request that crashes every target that runs it and that its caller
//! sends again. Without it, each resend would crash another target until none is left, and all
//! requests that ran on the same targets would be lost as well.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::PoisonEntry;
use super::RequestFingerprint;
use super::TargetLoss;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// Number of losses after which a request is rejected. A single loss may be a coincidence,
/// since a failing target loses all requests that run there. Two losses are the most that users
/// accept.
const MAX_LOSSES: usize = 2;
/// How long losses are remembered. It is long enough for the caller's operators to react, and short
/// enough that a fixed engine gets the request again.
pub(crate) const LOSS_RETENTION: Duration = Duration::from_secs(600);
/// Losses of one target within this time count as one, in milliseconds. Several copies of the
/// request may have run there for different hosts.
const SAME_LOSS_MS: u64 = 2_000;
/// Time from the last loss of a rejected request to its trial, in milliseconds: where other
/// suspects with as many losses ran on the same targets, any of them may be the cause; otherwise
/// the losses may still be coincidences.
const SHARED_TRIAL_DELAY_MS: u64 = 5_000;
const TRIAL_DELAY_MS: u64 = 60_000;
/// Factor by which each further loss delays the next trial, so that a request that does crash
/// targets has few trials before its losses are forgotten.
const TRIAL_DELAY_FACTOR: u64 = 10;
/// Time for which one host may run trials of a request. Each host gets its turn, because the caller
/// may not reach the others.
pub(super) const TRIAL_TURN: Duration = Duration::from_secs(5);
/// Maximum number of suspects. Each crash makes suspects of all requests that ran on the target,
/// a dozen or more; the losses of a request must outlast the crashes between two of its runs.
const MAX_SUSPECTS: usize = 4096;
/// Maximum number of suspects in a message.
const MAX_SENT: usize = 64;

/// A run of a request at a target that was lost meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct LostRun<'t> {
    /// The target.
    pub target: &'t TargetName,
    /// When the request was sent.
    pub sent_at: UnixMillis,
    /// When its connection was lost. The check whether the target crashed takes longer.
    pub lost_at: UnixMillis,
}

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
    ///
    /// If the target is known to have been lost meanwhile, this is the same loss: a paused host, or
    /// one that waits for reports of its peers, notices it later than others.
    pub fn record_loss(&mut self, fingerprint: RequestFingerprint, lost: LostRun<'_>) {
        let losses = self.entries.values().flat_map(|entry| &entry.losses);
        let known = losses.filter(|loss| loss.target == *lost.target);
        let run = lost.sent_at..=lost.lost_at;
        let known = known.map(|loss| loss.at).filter(|at| run.contains(at));
        let at = known.max().unwrap_or(lost.lost_at);
        let mut loss = PoisonEntry::new(fingerprint);
        loss.losses.push(TargetLoss {
            at,
            target: lost.target.clone(),
        });
        self.merge(&loss);
        self.evict_expired(lost.lost_at);
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

    /// Returns whether the request is rejected once `more` targets were lost while they ran it.
    pub fn is_refused_after(&self, fingerprint: RequestFingerprint, more: usize) -> bool {
        self.count_losses(fingerprint) + more >= MAX_LOSSES
    }

    /// Returns when a rejected request may run once more, if its last trial on this host was at
    /// `last_trial`; `None` if it is not rejected.
    ///
    /// Without a trial, a harmless request that ran beside crashes is rejected until its losses
    /// are forgotten, since no run can clear it.
    pub fn trial_due_at(
        &self,
        fingerprint: RequestFingerprint,
        last_trial: UnixMillis,
    ) -> Option<UnixMillis> {
        let entry = self.entries.get(&fingerprint)?;
        let further = count_losses(entry).checked_sub(MAX_LOSSES)?;
        let is_shared = entry.losses.iter().all(|loss| self.is_shared(entry, loss));
        let delay = match is_shared {
            true => SHARED_TRIAL_DELAY_MS,
            false => TRIAL_DELAY_MS,
        };
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let delay = delay.saturating_mul(TRIAL_DELAY_FACTOR.saturating_pow(further));
        let last_loss = entry.losses.last().map_or(0, |loss| loss.at);
        Some(last_loss.max(last_trial).saturating_add(delay))
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
        let cutoff = now.saturating_sub(LOSS_RETENTION.as_millis() as u64);
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

    /// Returns whether a target was lost while it also ran another suspect with as many losses.
    fn is_shared(&self, entry: &PoisonEntry, loss: &TargetLoss) -> bool {
        let is_same = |other: &TargetLoss| {
            other.target == loss.target && other.at.abs_diff(loss.at) < SAME_LOSS_MS
        };
        let mut others = self.entries.values();
        others.any(|other| {
            other.fingerprint != entry.fingerprint
                && other.losses.iter().any(is_same)
                && count_losses(other) >= count_losses(entry)
        })
    }

    fn count_losses(&self, fingerprint: RequestFingerprint) -> usize {
        self.entries.get(&fingerprint).map_or(0, count_losses)
    }
}

/// Returns the host that runs a trial of the request now, out of `hosts`; `None` if there are none.
pub fn trial_host(
    fingerprint: RequestFingerprint,
    hosts: &[HostName],
    now: UnixMillis,
) -> Option<&HostName> {
    turn_host(fingerprint, hosts, now, TRIAL_TURN)
}

/// Returns the host whose turn of `length` it is for `key`, out of `hosts`.
pub(super) fn turn_host(
    key: u64,
    hosts: &[HostName],
    now: UnixMillis,
    length: Duration,
) -> Option<&HostName> {
    let turn = now / length.as_millis() as u64;
    let rank = |host: &&HostName| {
        let mut hasher = Xxh3::new();
        hasher.update(&key.to_le_bytes());
        hasher.update(&turn.to_le_bytes());
        hasher.update(host.as_bytes());
        hasher.digest()
    };
    hosts.iter().max_by_key(rank)
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
