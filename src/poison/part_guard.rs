//! Concurrent access to the suspect parts of one host.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::LossCount;
use super::LostRun;
use super::PartEntry;
use super::PartKey;
use super::PartTable;
use super::PromptPart;
use super::SharedParts;
use super::poison_table::turn_host;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// Time for which one host may run trials of a part; the hosts take turns.
const TRIAL_TURN: Duration = Duration::from_secs(2);
/// Time at the end of a turn in which no trial starts, so that the next host learns of its outcome.
const TURN_MARGIN: Duration = Duration::from_millis(800);
/// How long changes are kept for peers that have not received them.
const CHANGE_RETENTION: Duration = Duration::from_secs(6);

/// Suspect parts of one host.
#[derive(Debug, Default)]
pub(crate) struct PartGuard {
    table: Mutex<PartTable>,
    /// When each entry last changed on this host, on the boot clock.
    changed_at: Mutex<SortedMap<PartKey, Duration>>,
    /// When this host last ran a trial of each rejected part.
    trials: Mutex<SortedMap<PartKey, UnixMillis>>,
}

impl PartGuard {
    /// Returns the number of losses that this host has learned of.
    pub(crate) fn loss_count(&self) -> LossCount {
        lock(&self.table).loss_count()
    }

    /// Returns the part for which a request is rejected, if there is one.
    pub(crate) fn rejected_part<'p>(&self, shared: &'p SharedParts) -> Option<&'p PromptPart> {
        match shared.parts.is_empty() {
            true => None,
            false => lock(&self.table).rejected_part(shared),
        }
    }

    /// Returns whether one more loss may have a part of the request rejected.
    pub(crate) fn is_suspect(&self, shared: &SharedParts) -> bool {
        !shared.parts.is_empty() && lock(&self.table).is_suspect(shared)
    }

    /// Returns whether a rejected part of a request is due for a trial by it, and it is the turn of
    /// this host; `hosts` are all hosts that serve, with this one first.
    pub(crate) fn is_trial_due(
        &self,
        key: PartKey,
        shared: &SharedParts,
        hosts: &[HostName],
    ) -> bool {
        if !lock(&self.table).is_trial_request(key, shared) {
            return false;
        }
        let now = unix_now();
        let turn = TRIAL_TURN.as_millis() as u64;
        let is_late = now % turn + TURN_MARGIN.as_millis() as u64 > turn;
        let is_due = now >= self.trial_due_at(key);
        is_due && !is_late && turn_host(key, hosts, now, TRIAL_TURN) == hosts.first()
    }

    /// Starts a trial of a rejected part; returns whether one is due, as another request with the
    /// part may have started it.
    pub(crate) fn start_trial(&self, key: PartKey) -> bool {
        let table = lock(&self.table);
        let mut trials = lock(&self.trials);
        let last_trial = trials.get(&key).copied().unwrap_or(0);
        let now = unix_now();
        if now < table.trial_due_at(key, last_trial) {
            return false;
        }
        trials.retain(|held, _| !table.lost_targets(*held).is_empty());
        trials.insert(key, now);
        true
    }

    /// Returns when the caller of a request with a rejected part may send it again: when the part is
    /// due for a trial, and at another host's turn if it is due already.
    pub(crate) fn retry_delay(&self, key: PartKey) -> Duration {
        match self.trial_due_at(key).saturating_sub(unix_now()) {
            0 => TRIAL_TURN,
            left => Duration::from_millis(left),
        }
    }

    /// Returns the targets that were lost while they ran requests with the part.
    pub(crate) fn lost_targets(&self, key: PartKey) -> Vec<TargetName> {
        lock(&self.table).lost_targets(key)
    }

    /// Records that a target was lost while it ran a request with these parts.
    pub(crate) fn record_loss(&self, shared: &SharedParts, lost: LostRun<'_>, is_trial: bool) {
        if shared.parts.is_empty() {
            return;
        }
        lock(&self.table).record_loss(shared, lost, is_trial);
        let keys = shared.parts.iter().map(|part| part.key);
        self.mark_changed(keys.collect());
    }

    /// Records that a target completed a request with these parts, which was sent after `sent_after`
    /// losses.
    pub(crate) fn record_success(&self, shared: &SharedParts, sent_after: LossCount) {
        if shared.parts.is_empty() {
            return;
        }
        let cleared = lock(&self.table).record_success(shared, sent_after);
        self.mark_changed(cleared);
    }

    /// Merges the entries of a peer; returns whether this changed anything.
    pub(crate) fn merge(&self, entries: &[PartEntry]) -> bool {
        if entries.is_empty() {
            return false;
        }
        let mut table = lock(&self.table);
        let changed = entries.iter().filter(|entry| table.merge(entry));
        let changed: Vec<PartKey> = changed.map(|entry| entry.key).collect();
        table.evict_expired(unix_now());
        drop(table);
        let has_changed = !changed.is_empty();
        self.mark_changed(changed);
        has_changed
    }

    /// Returns the entries to send to a peer: those changed since `since`, or `all`.
    pub(crate) fn changed_entries(&self, all: bool, since: Duration) -> Vec<PartEntry> {
        if all {
            return lock(&self.table).select_entries(|_| true);
        }
        let mut changed_at = lock(&self.changed_at);
        let now = boot_now();
        changed_at.retain(|_, at| now.saturating_sub(*at) < CHANGE_RETENTION);
        let changed: Vec<PartKey> = changed_at
            .iter()
            .filter(|(_, at)| **at >= since)
            .map(|(key, _)| *key)
            .collect();
        drop(changed_at);
        match changed.is_empty() {
            true => Vec::new(),
            false => lock(&self.table).select_entries(|key| changed.binary_search(&key).is_ok()),
        }
    }

    fn trial_due_at(&self, key: PartKey) -> UnixMillis {
        let last_trial = lock(&self.trials).get(&key).copied().unwrap_or(0);
        lock(&self.table).trial_due_at(key, last_trial)
    }

    fn mark_changed(&self, keys: Vec<PartKey>) {
        let now = boot_now();
        let mut changed_at = lock(&self.changed_at);
        for key in keys {
            changed_at.insert(key, now);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
