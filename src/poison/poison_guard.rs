//! The suspects of one host, for requests that run at the same time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::task;

use super::PoisonEntry;
use super::PoisonTable;
use super::RequestFingerprint;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// How often a suspect looks whether its target runs no other suspect.
const POLL: Duration = Duration::from_millis(50);

/// How long changes are remembered for peers that were not sent them.
const CHANGE_MEMORY: Duration = Duration::from_secs(6);

/// The suspects of one host.
#[derive(Debug, Default)]
pub(crate) struct PoisonGuard {
    table: Mutex<PoisonTable>,
    /// When an entry last changed here, on the boot clock.
    changed: Mutex<SortedMap<RequestFingerprint, Duration>>,
    running: Mutex<SortedMap<TargetName, RequestFingerprint>>,
}

/// Keeps other suspects off a target for as long as it lives.
#[derive(Debug)]
pub(crate) struct SuspectGuard<'d> {
    desk: &'d PoisonGuard,
    target: Option<TargetName>,
}

impl PoisonGuard {
    /// Gives access to the table; never held over an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.table)
    }

    /// Waits until no other suspect runs on the target, or until `deadline` on
    /// the boot clock; what is not suspected goes at once.
    ///
    /// Two suspects that are lost together again could not be told apart, and
    /// the innocent one would be refused with the other.
    pub(crate) async fn acquire_exclusive(
        &self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        deadline: Duration,
    ) -> SuspectGuard<'_> {
        if !self.table().is_suspect(fingerprint) {
            return self.guard(None);
        }
        while boot_now() < deadline {
            if self.try_enter(fingerprint, target) {
                return self.guard(Some(target.clone()));
            }
            task::sleep(POLL).await;
        }
        self.guard(None)
    }

    /// Takes in what a peer knows.
    pub(crate) fn merge(&self, entries: &[PoisonEntry]) {
        if entries.is_empty() {
            return;
        }
        let mut table = self.table();
        for entry in entries {
            if table.merge(entry) {
                self.note_change(entry.fingerprint);
            }
        }
        table.evict_expired(unix_now());
    }

    /// Notes that a target was lost while it ran the request.
    pub(crate) fn record_loss(&self, fingerprint: RequestFingerprint, target: &TargetName) {
        self.table().record_loss(fingerprint, target, unix_now());
        self.note_change(fingerprint);
    }

    /// Notes that a target ran the request to its end.
    pub(crate) fn record_success(&self, fingerprint: RequestFingerprint) {
        let was_known = self.table().record_success(fingerprint, unix_now());
        if was_known {
            self.note_change(fingerprint);
        }
    }

    /// Returns what to send a peer: what changed since then, or `all`.
    pub(crate) fn changed_entries(&self, all: bool, since: Duration) -> Vec<PoisonEntry> {
        let table = self.table();
        if all {
            return table.entries();
        }
        let mut changed = lock(&self.changed);
        let now = boot_now();
        changed.retain(|_, at| now.saturating_sub(*at) < CHANGE_MEMORY);
        if !changed.values().any(|at| *at >= since) {
            return Vec::new();
        }
        let mut entries = table.entries();
        entries.retain(|entry| {
            let at = changed.get(&entry.fingerprint);
            at.is_some_and(|at| *at >= since)
        });
        entries
    }

    fn note_change(&self, fingerprint: RequestFingerprint) {
        lock(&self.changed).insert(fingerprint, boot_now());
    }

    fn try_enter(&self, fingerprint: RequestFingerprint, target: &TargetName) -> bool {
        let mut running = lock(&self.running);
        if running.contains_key(target) {
            return false;
        }
        running.insert(target.clone(), fingerprint);
        true
    }

    fn guard(&self, target: Option<TargetName>) -> SuspectGuard<'_> {
        SuspectGuard { desk: self, target }
    }
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        if let Some(target) = &self.target {
            lock(&self.desk.running).remove(target);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
