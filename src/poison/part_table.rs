//! Detection of parts of prompts that crash the targets that run them.
//!
//! Requests that share nothing but such a part have different fingerprints. All parts of a request
//! that ran at a target when it was lost are suspects; most are sound, and some are part of nearly
//! each request. They are told apart by order in time and by comparison: a request that was sent
//! after a loss was known and has completed clears its parts, and a crash that a blamed part explains
//! does not count against the others.

use std::cmp::Reverse;

use super::LostRun;
use super::PartEntry;
use super::PartKey;
use super::PartLoss;
use super::PromptPart;
use super::SharedParts;
use super::part_entry::count_successive;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// Number of successive losses after which a part is rejected. Two may be one request that crashes
/// its targets and was retried.
const MAX_LOSSES: usize = 3;
/// How long losses are remembered, in milliseconds, and how long cleared ones are, so that peers
/// learn that they are.
const RETENTION_MS: u64 = 600_000;
const CLEARED_RETENTION_MS: u64 = 30_000;
/// Time from the last loss, or trial, of a rejected part to its next trial, in milliseconds. The
/// first one comes soon: where many targets crash for another reason, a part that most requests
/// share may be rejected.
const FIRST_TRIAL_DELAY_MS: u64 = 2_000;
const SECOND_TRIAL_DELAY_MS: u64 = 60_000;
/// Maximum number of suspect parts, and of those in a message.
const MAX_SUSPECTS: usize = 4096;
const MAX_SENT: usize = 64;

/// Number of losses that a host has learned of; grows with each.
pub type LossCount = u64;

/// A suspect part, with the count at which this host learned of each of its losses.
#[derive(Debug)]
struct SuspectPart {
    entry: PartEntry,
    learned: Vec<(PartLoss, LossCount)>,
}

/// Parts suspected of crashing targets.
#[derive(Debug, Default)]
pub struct PartTable {
    suspects: SortedMap<PartKey, SuspectPart>,
    learned: LossCount,
    /// Parts with as many successive losses as are tolerated; computed on demand.
    blamed: Option<Vec<PartKey>>,
}

impl PartTable {
    /// Returns the number of losses that this host has learned of. A request that is sent now is
    /// sent after all of them.
    pub const fn loss_count(&self) -> LossCount {
        self.learned
    }

    /// Records that a target was lost while it ran a request with these parts; `is_trial` is whether
    /// the request was sent as a trial.
    pub fn record_loss(&mut self, shared: &SharedParts, lost: LostRun<'_>, is_trial: bool) {
        let loss = PartLoss {
            sent_at: lost.sent_at,
            at: lost.lost_at.max(lost.sent_at),
            target: lost.target.clone(),
            accounts: vec![shared.account],
            is_trial,
            is_cleared: false,
        };
        for part in &shared.parts {
            self.merge_loss(part.key, &loss);
        }
        self.evict_expired(lost.lost_at);
    }

    /// Records that a target completed a request with these parts, which was sent when this host had
    /// learned of `sent_after` losses; returns the parts that this clears.
    pub fn record_success(&mut self, shared: &SharedParts, sent_after: LossCount) -> Vec<PartKey> {
        let mut changed = Vec::new();
        for part in &shared.parts {
            let Some(suspect) = self.suspects.get_mut(&part.key) else {
                continue;
            };
            if suspect.clear(sent_after) {
                changed.push(part.key);
                self.blamed = None;
            }
        }
        changed
    }

    /// Merges the entry of a peer; returns whether this changed anything.
    pub fn merge(&mut self, entry: &PartEntry) -> bool {
        let changes = entry.losses.iter();
        let changes = changes.filter(|loss| self.merge_loss(entry.key, loss));
        changes.count() > 0
    }

    /// Returns the part for which a request is rejected, if there is one.
    pub fn rejected_part<'p>(&mut self, shared: &'p SharedParts) -> Option<&'p PromptPart> {
        let mut parts = shared.parts.iter();
        parts.find(|part| self.count_unexplained(part.key, shared) >= MAX_LOSSES)
    }

    /// Returns whether one more loss may have a part of the request rejected.
    pub fn is_suspect(&mut self, shared: &SharedParts) -> bool {
        let mut parts = shared.parts.iter();
        parts.any(|part| self.count_unexplained(part.key, shared) + 1 >= MAX_LOSSES)
    }

    /// Returns whether a request tells whether a rejected part is sound: no other part of it is
    /// blamed.
    pub fn is_trial_request(&mut self, key: PartKey, shared: &SharedParts) -> bool {
        let blamed = self.blamed();
        let mut others = shared.parts.iter().filter(|part| part.key != key);
        others.all(|part| blamed.binary_search(&part.key).is_err())
    }

    /// Returns when a request with a rejected part may run once more, if this host's last trial of
    /// the part was at `last_trial`.
    pub fn trial_due_at(&self, key: PartKey, last_trial: UnixMillis) -> UnixMillis {
        let losses = self.open_losses(key);
        let trials = losses.iter().filter(|loss| loss.is_trial).count();
        let delay = match trials {
            0 => FIRST_TRIAL_DELAY_MS,
            1 => SECOND_TRIAL_DELAY_MS,
            _ => RETENTION_MS,
        };
        let last_loss = losses.last().map_or(0, |loss| loss.at);
        last_loss.max(last_trial).saturating_add(delay)
    }

    /// Returns the targets that were lost while they ran requests with the part.
    pub fn lost_targets(&self, key: PartKey) -> Vec<String> {
        let losses = self.open_losses(key).into_iter();
        let mut targets: Vec<String> = losses.map(|loss| loss.target.clone()).collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns the most important entries that are `wanted`, for a peer: those with most losses,
    /// cleared ones included.
    pub fn select_entries(&self, wanted: impl Fn(PartKey) -> bool) -> Vec<PartEntry> {
        let entries = self.suspects.values().map(|suspect| &suspect.entry);
        let mut entries: Vec<&PartEntry> = entries.filter(|entry| wanted(entry.key)).collect();
        entries.sort_by_cached_key(|entry| Reverse(importance(entry)));
        entries.truncate(MAX_SENT);
        entries.into_iter().cloned().collect()
    }

    /// Removes entries past the retention period, and the least important ones above the maximum
    /// number.
    pub fn evict_expired(&mut self, now: UnixMillis) {
        self.suspects.retain(|_, suspect| {
            let losses = &mut suspect.entry.losses;
            losses.retain(|loss| {
                let retention = match loss.is_cleared {
                    true => CLEARED_RETENTION_MS,
                    false => RETENTION_MS,
                };
                loss.at >= now.saturating_sub(retention)
            });
            suspect.forget_removed();
            !suspect.entry.losses.is_empty()
        });
        if self.suspects.len() > MAX_SUSPECTS {
            let rank = |key: &PartKey, held: &SuspectPart| (importance(&held.entry), *key);
            let suspects = self.suspects.iter();
            let mut ranks: Vec<_> = suspects.map(|(key, held)| rank(key, held)).collect();
            ranks.sort_unstable();
            let least = ranks[ranks.len() - MAX_SUSPECTS];
            self.suspects.retain(|key, held| rank(key, held) >= least);
        }
        self.blamed = None;
    }

    fn merge_loss(&mut self, key: PartKey, loss: &PartLoss) -> bool {
        let next = self.learned + 1;
        let suspect = self.suspects.get_or_insert_with(key, || SuspectPart {
            entry: PartEntry::new(key),
            learned: Vec::new(),
        });
        let changed = suspect.merge_loss(loss, next);
        if changed {
            self.learned = next;
            self.blamed = None;
        }
        changed
    }

    fn open_losses(&self, key: PartKey) -> Vec<&PartLoss> {
        let suspect = self.suspects.get(&key);
        suspect.map_or_else(Vec::new, |suspect| suspect.entry.open_losses())
    }

    /// Counts the successive losses of a part that no blamed part explains which the request does not
    /// have. Of two parts, the one that ran in all crashes of the other, and in more, is not explained
    /// by it.
    fn count_unexplained(&mut self, key: PartKey, shared: &SharedParts) -> usize {
        let Some(suspect) = self.suspects.get(&key) else {
            return 0;
        };
        let count = count_successive(suspect.entry.losses_against(shared.account));
        if count + 1 < MAX_LOSSES {
            return count;
        }
        let mut blamed = self.blamed();
        blamed.retain(|other| !shared.contains(*other));
        let Some(suspect) = self.suspects.get(&key) else {
            return 0;
        };
        let open = suspect.entry.open_losses();
        let others = blamed.iter().filter_map(|other| self.suspects.get(other));
        let others = others.map(|other| other.entry.open_losses());
        let explaining: Vec<&PartLoss> = others
            .filter(|other| open.len() <= other.len() || !is_covered(other, &open))
            .flatten()
            .collect();
        let losses = suspect.entry.losses_against(shared.account).into_iter();
        count_successive(losses.filter(|loss| !is_covered(&[*loss], &explaining)))
    }

    /// Returns the parts with as many successive losses as are tolerated, sorted.
    fn blamed(&mut self) -> Vec<PartKey> {
        let suspects = &self.suspects;
        let blamed = self.blamed.get_or_insert_with(|| {
            let is_blamed = |suspect: &&SuspectPart| {
                count_successive(suspect.entry.open_losses()) >= MAX_LOSSES
            };
            let blamed = suspects.values().filter(is_blamed);
            blamed.map(|suspect| suspect.entry.key).collect()
        });
        blamed.clone()
    }
}

impl SuspectPart {
    /// Merges a loss that this host learns of as number `number`; returns whether this changed
    /// anything.
    fn merge_loss(&mut self, loss: &PartLoss, number: LossCount) -> bool {
        if !self.entry.merge_loss(loss) {
            return false;
        }
        let mut learned = self.learned.iter();
        let is_known = learned.any(|(held, _)| held.is_same_crash(loss));
        if !is_known {
            self.learned.push((loss.clone(), number));
        }
        self.forget_removed();
        true
    }

    /// Clears the losses that this host learned of up to `sent_after`; returns whether there were
    /// any.
    fn clear(&mut self, sent_after: LossCount) -> bool {
        let known = self.learned.iter().filter(|(_, at)| *at <= sent_after);
        let known: Vec<&PartLoss> = known.map(|(loss, _)| loss).collect();
        let mut changed = false;
        for loss in &mut self.entry.losses {
            if !loss.is_cleared && known.iter().any(|held| held.is_same_crash(loss)) {
                loss.is_cleared = true;
                changed = true;
            }
        }
        changed
    }

    fn forget_removed(&mut self) {
        let losses = &self.entry.losses;
        self.learned
            .retain(|(held, _)| losses.iter().any(|loss| loss.is_same_crash(held)));
    }
}

/// Returns whether each crash of `losses` is one of `others` too.
fn is_covered(losses: &[&PartLoss], others: &[&PartLoss]) -> bool {
    let is_among = |loss: &&PartLoss| others.iter().any(|other| other.is_same_crash(loss));
    losses.iter().all(is_among)
}

/// Returns the order in which entries are kept and sent.
fn importance(entry: &PartEntry) -> (usize, UnixMillis) {
    let last_at = entry.losses.last().map_or(0, |loss| loss.at);
    (entry.losses.len(), last_at)
}
