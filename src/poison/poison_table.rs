//! Which requests crash the targets that run them.
//!
//! Load it answers: one request that takes down each target that runs it, sent
//! again by its caller. Without it the caller empties the fleet, one target a
//! resend, and everything that ran beside it is lost as well.

use super::PoisonEntry;
use super::RequestFingerprint;
use super::TargetLoss;
use crate::ids::TargetName;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// How many losses make a request refused. One may be a chance: a target that
/// fails takes down all that runs there. The second is the last that the users
/// accept.
const MAX_LOSSES: usize = 2;
/// How long losses are remembered, in milliseconds: long enough for the people
/// behind the caller to look, short enough that a mended engine serves again.
const MEMORY_MS: u64 = 600_000;
/// Losses of one target within this time are one loss, in milliseconds: several
/// copies of the request may have run there on behalf of several hosts.
const SAME_LOSS_MS: u64 = 2_000;
/// How many suspects are remembered at most; a digest carries them all.
const MAX_SUSPECTS: usize = 64;

/// Which requests crash the targets that run them.
///
/// Only what ran on a target as it was lost is suspected, and whoever runs to
/// its end anywhere is cleared on every host.
#[derive(Debug, Default)]
pub struct PoisonTable {
    entries: SortedMap<RequestFingerprint, PoisonEntry>,
}

impl PoisonTable {
    /// Notes that a target was lost while it ran the request.
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

    /// Notes that a target ran the request to its end; returns whether that was news of
    /// a suspect.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint, now: UnixMillis) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        entry.cleared = entry.cleared.max(now);
        entry.losses.clear();
        true
    }

    /// Takes in what a peer knows; returns whether that was news.
    pub fn merge(&mut self, entry: &PoisonEntry) -> bool {
        self.entries
            .get_or_insert_with(entry.fingerprint, || PoisonEntry::new(entry.fingerprint))
            .merge(entry)
    }

    /// Returns what peers should know.
    pub fn entries(&self) -> Vec<PoisonEntry> {
        self.entries.values().cloned().collect()
    }

    /// Tells whether a target was lost to the request, so that it must run apart
    /// from other suspects: a second loss then tells which of them it was.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.losses(fingerprint) > 0
    }

    /// Tells whether the request is refused.
    pub fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        self.losses(fingerprint) >= MAX_LOSSES
    }

    /// Returns the targets that were lost to a request.
    pub fn lost_targets(&self, fingerprint: RequestFingerprint) -> Vec<TargetName> {
        self.entries
            .get(&fingerprint)
            .map_or_else(Vec::new, |entry| {
                let targets = entry.losses.iter().map(|loss| loss.target.clone());
                targets.collect()
            })
    }

    /// Lets go of what is too old, and of the oldest above the bound.
    pub fn evict_expired(&mut self, now: UnixMillis) {
        let oldest = now.saturating_sub(MEMORY_MS);
        self.entries.retain(|_, entry| {
            entry.losses.retain(|loss| loss.at >= oldest);
            !entry.losses.is_empty() || entry.cleared >= oldest
        });
        while self.entries.len() > MAX_SUSPECTS {
            let Some(stale) = self.stalest() else {
                return;
            };
            self.entries.remove(&stale);
        }
    }

    fn stalest(&self) -> Option<RequestFingerprint> {
        self.entries
            .iter()
            .min_by_key(|(_, entry)| entry.losses.last().map_or(entry.cleared, |loss| loss.at))
            .map(|(fingerprint, _)| *fingerprint)
    }

    fn losses(&self, fingerprint: RequestFingerprint) -> usize {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return 0;
        };
        let marks = &entry.losses;
        let repeats = |index: usize| {
            let mark = &marks[index];
            marks[..index]
                .iter()
                .any(|earlier| earlier.target == mark.target && mark.at - earlier.at < SAME_LOSS_MS)
        };
        (0..marks.len()).filter(|index| !repeats(*index)).count()
    }
}
