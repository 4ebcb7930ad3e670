//! Concurrent access to the suspect requests of one host.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::task;

use super::CauseKey;
use super::HistoryGap;
use super::LossHistory;
use super::LossScope;
use super::LostRun;
use super::PoisonEntry;
use super::PoisonTable;
use super::RequestFingerprint;
use super::TRIAL_TURN;
use super::trial_host;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::ids::UnixMillis;
use crate::sorted::SortedMap;

/// Interval at which a suspect checks whether its target is free of other suspects.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of completed requests that are remembered while losses may be unknown.
const MAX_COMPLETED: usize = 4096;

/// How long changes are kept for peers that have not received them.
const CHANGE_RETENTION: Duration = Duration::from_secs(6);

/// Suspect requests of one host.
#[derive(Debug)]
pub(crate) struct PoisonGuard {
    table: Mutex<PoisonTable>,
    /// How long losses that are not in the table may count.
    pub(crate) gap: HistoryGap,
    /// Requests that targets have completed while losses may have been unknown, sorted.
    completed: Mutex<Vec<RequestFingerprint>>,
    /// When each entry last changed on this host, on the boot clock.
    changed_at: Mutex<SortedMap<RequestFingerprint, Duration>>,
    /// The suspect that runs on each target.
    running: Mutex<SortedMap<TargetName, RequestFingerprint>>,
    /// Targets that closed the connection of each request and may have crashed.
    checked: Mutex<SortedMap<RequestFingerprint, Vec<TargetName>>>,
    /// Connections that this host lost recently.
    lost: Mutex<LossHistory>,
    /// When this host last ran a trial of each rejected request.
    trials: Mutex<SortedMap<RequestFingerprint, UnixMillis>>,
}

/// Exclusive access of one suspect to a target; released on drop.
#[derive(Debug)]
pub(crate) struct SuspectGuard<'g> {
    guard: &'g PoisonGuard,
    target: Option<TargetName>,
}

impl PoisonGuard {
    /// Creates the guard of a host that knows no suspects yet.
    pub(crate) fn new(gap: HistoryGap) -> Self {
        Self {
            table: Mutex::default(),
            gap,
            completed: Mutex::default(),
            changed_at: Mutex::default(),
            running: Mutex::default(),
            checked: Mutex::default(),
            lost: Mutex::default(),
            trials: Mutex::default(),
        }
    }

    /// Locks the table. The lock must not be held across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.table)
    }

    /// Waits until no other suspect runs on the target, or until `deadline` on the boot clock.
    /// A request that is not suspect proceeds at once.
    ///
    /// If two suspects ran on a target that crashed again, they could not be distinguished,
    /// and the harmless one would be rejected with the other.
    pub(crate) async fn acquire_exclusive(
        &self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        deadline: Duration,
    ) -> SuspectGuard<'_> {
        // Another run of the request may clear it meanwhile.
        while self.table().is_suspect(fingerprint) && boot_now() < deadline {
            if self.try_acquire(fingerprint, target) {
                return self.suspect_guard(Some(target.clone()));
            }
            task::sleep(POLL_INTERVAL).await;
        }
        self.suspect_guard(None)
    }

    /// Merges the entries of a peer.
    pub(crate) fn merge(&self, entries: &[PoisonEntry]) {
        if entries.is_empty() {
            return;
        }
        let mut table = self.table();
        for entry in entries {
            if table.merge(entry) {
                self.mark_changed(entry.fingerprint);
            }
        }
        table.evict_expired(unix_now());
    }

    /// Records that a target was lost while it ran the request.
    pub(crate) fn record_loss(&self, fingerprint: RequestFingerprint, lost: LostRun<'_>) {
        self.table().record_loss(fingerprint, lost);
        self.mark_changed(fingerprint);
    }

    /// Records that a target closed the connection of a request at `lost_at` on the boot clock, and
    /// that this host checks whether it crashed.
    pub(crate) fn begin_check(
        &self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        causes: Vec<CauseKey>,
        lost_at: Duration,
    ) {
        lock(&self.lost).record(target, causes, lost_at);
        let mut checked = lock(&self.checked);
        let targets = checked.get_or_insert_with(fingerprint, Vec::new);
        targets.push(target.clone());
        targets.sort();
    }

    /// Records that a check has ended.
    pub(crate) fn end_check(&self, fingerprint: RequestFingerprint, target: &TargetName) {
        let mut checked = lock(&self.checked);
        let Some(targets) = checked.get_mut(&fingerprint) else {
            return;
        };
        if let Ok(index) = targets.binary_search(target) {
            targets.remove(index);
        }
        if targets.is_empty() {
            checked.remove(&fingerprint);
        }
    }

    /// Records whether a target that closed a connection accepted another one at `now`.
    pub(crate) fn record_probe(&self, target: &TargetName, is_alive: bool, now: Duration) {
        lock(&self.lost).record_probe(target, is_alive, now);
    }

    /// Returns what else this host lost in the moment in which the request lost the target.
    pub(crate) fn loss_scope(
        &self,
        target: &TargetName,
        causes: &[CauseKey],
        lost_at: Duration,
    ) -> LossScope {
        lock(&self.lost).scope(target, causes, lost_at)
    }

    /// Returns the number of targets for which it is not known yet whether the request crashed them.
    pub(crate) fn checked_targets(&self, fingerprint: RequestFingerprint) -> usize {
        let checked = lock(&self.checked);
        let targets = checked.get(&fingerprint);
        targets.map_or(0, |targets| targets.chunk_by(TargetName::eq).count())
    }

    /// Returns whether the request is rejected. One that is due for a trial is not, if it is the
    /// turn of this host; `hosts` returns all hosts that serve, with this one first.
    pub(crate) fn is_rejected(
        &self,
        fingerprint: RequestFingerprint,
        hosts: impl FnOnce() -> Vec<HostName>,
    ) -> bool {
        let table = self.table();
        if !table.is_refused(fingerprint) {
            return false;
        }
        let now = unix_now();
        let due_at = table.trial_due_at(fingerprint, self.last_trial(fingerprint));
        if due_at.is_none_or(|due_at| now < due_at) {
            return true;
        }
        drop(table);
        let hosts = hosts();
        trial_host(fingerprint, &hosts, now) != hosts.first()
    }

    /// Starts a trial of a rejected request; returns whether one is due, as another request with
    /// the fingerprint may have started it.
    pub(crate) fn start_trial(&self, fingerprint: RequestFingerprint) -> bool {
        let table = self.table();
        let now = unix_now();
        let due_at = table.trial_due_at(fingerprint, self.last_trial(fingerprint));
        if due_at.is_none_or(|due_at| now < due_at) {
            return false;
        }
        let mut trials = lock(&self.trials);
        trials.retain(|held, _| table.is_refused(*held));
        trials.insert(fingerprint, now);
        true
    }

    /// Returns when the caller of a rejected request may send it again: when it is due for a trial,
    /// and at another host's turn if it is due already.
    pub(crate) fn retry_delay(&self, fingerprint: RequestFingerprint) -> Duration {
        let last_trial = self.last_trial(fingerprint);
        let due_at = self.table().trial_due_at(fingerprint, last_trial);
        let left = due_at.map_or(0, |due_at| due_at.saturating_sub(unix_now()));
        match left {
            0 => TRIAL_TURN,
            left => Duration::from_millis(left),
        }
    }

    fn last_trial(&self, fingerprint: RequestFingerprint) -> UnixMillis {
        let trials = lock(&self.trials);
        trials.get(&fingerprint).copied().unwrap_or(0)
    }

    /// Returns whether the request is rejected, trials aside: after two losses, or after one if others
    /// may be unknown.
    pub(crate) fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        let is_refused = self.table().is_refused(fingerprint);
        is_refused || !self.gap.is_closed(boot_now()) && self.may_have_more_losses(fingerprint)
    }

    /// Returns whether a request is suspect and may have had losses that this host doesn't know.
    pub(crate) fn may_have_more_losses(&self, fingerprint: RequestFingerprint) -> bool {
        let has_completed = lock(&self.completed).binary_search(&fingerprint).is_ok();
        !has_completed && self.table().is_suspect(fingerprint)
    }

    /// Records that a target completed the request.
    pub(crate) fn record_success(&self, fingerprint: RequestFingerprint) {
        self.record_completed(fingerprint);
        let was_known = self.table().record_success(fingerprint, unix_now());
        if was_known {
            self.mark_changed(fingerprint);
        }
    }

    /// Returns the entries to send to a peer: those changed since `since`, or `all`.
    pub(crate) fn changed_entries(&self, all: bool, since: Duration) -> Vec<PoisonEntry> {
        let table = self.table();
        if all {
            return table.entries();
        }
        let mut changed_at = lock(&self.changed_at);
        let now = boot_now();
        changed_at.retain(|_, at| now.saturating_sub(*at) < CHANGE_RETENTION);
        if !changed_at.values().any(|at| *at >= since) {
            return Vec::new();
        }
        table.select_entries(|fingerprint| {
            let at = changed_at.get(&fingerprint);
            at.is_some_and(|at| *at >= since)
        })
    }

    /// Remembers that a request doesn't crash each target that runs it, while losses may
    /// be unknown.
    pub(crate) fn record_completed(&self, fingerprint: RequestFingerprint) {
        if self.gap.is_closed(boot_now()) {
            return;
        }
        let mut completed = lock(&self.completed);
        if let Err(index) = completed.binary_search(&fingerprint) {
            if completed.len() < MAX_COMPLETED {
                completed.insert(index, fingerprint);
            } else {
                // The most frequent ones are soon back.
                *completed = vec![fingerprint];
            }
        }
    }

    fn mark_changed(&self, fingerprint: RequestFingerprint) {
        lock(&self.changed_at).insert(fingerprint, boot_now());
    }

    fn try_acquire(&self, fingerprint: RequestFingerprint, target: &TargetName) -> bool {
        let mut running = lock(&self.running);
        if running.contains_key(target) {
            return false;
        }
        running.insert(target.clone(), fingerprint);
        true
    }

    fn suspect_guard(&self, target: Option<TargetName>) -> SuspectGuard<'_> {
        SuspectGuard {
            guard: self,
            target,
        }
    }
}

impl SuspectGuard<'_> {
    /// Returns whether no other suspect of this host runs on the target meanwhile.
    pub(crate) const fn is_exclusive(&self) -> bool {
        self.target.is_some()
    }
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        if let Some(target) = &self.target {
            lock(&self.guard.running).remove(target);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
