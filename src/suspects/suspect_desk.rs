//! The suspects of one host, for requests that run at the same time.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::task;

use super::RequestFingerprint;
use super::SuspectEntry;
use super::SuspectLedger;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::ids::TargetName;
use crate::sorted::SortedMap;

/// How often a suspect looks whether its target runs no other suspect.
const POLL: Duration = Duration::from_millis(50);

/// The suspects of one host.
#[derive(Debug, Default)]
pub(crate) struct SuspectDesk {
    ledger: Mutex<SuspectLedger>,
    running: Mutex<SortedMap<TargetName, RequestFingerprint>>,
}

/// Keeps other suspects off a target for as long as it lives.
#[derive(Debug)]
pub(crate) struct SuspectGuard<'d> {
    desk: &'d SuspectDesk,
    target: Option<TargetName>,
}

impl SuspectDesk {
    /// Gives access to the ledger; never held over an await.
    pub(crate) fn ledger(&self) -> MutexGuard<'_, SuspectLedger> {
        lock(&self.ledger)
    }

    /// Waits until no other suspect runs on the target, or until `deadline` on
    /// the boot clock; what is not suspected goes at once.
    ///
    /// Two suspects that are lost together again could not be told apart, and
    /// the innocent one would be refused with the other.
    pub(crate) async fn enter_alone(
        &self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        deadline: Duration,
    ) -> SuspectGuard<'_> {
        if !self.ledger().is_suspect(fingerprint) {
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
    pub(crate) fn merge(&self, entries: &[SuspectEntry]) {
        let mut ledger = self.ledger();
        for entry in entries {
            ledger.merge(entry);
        }
        ledger.forget(unix_now());
    }

    /// Notes that a target ran the request to its end.
    pub(crate) fn note_success(&self, fingerprint: RequestFingerprint) {
        self.ledger().note_success(fingerprint, unix_now());
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
