//! Rejects requests that crash the targets that run them, and lets suspects run apart.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

use super::crash_check::LostRequest;
use super::crash_check::check_crash;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::request_execution::RequestExecution;
use super::send_outcome::LossCause;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::dispatch::PlacedTarget;
use crate::dispatch::SlotGuard;
use crate::errors::ErrorKind;
use crate::ids::UnixMillis;
use crate::logs::DecisionLine;
use crate::poison::RequestFingerprint;
use crate::poison::SuspectGuard;

/// How long a suspect waits for another one at its target. A run that clears a request takes
/// less in most cases.
const EXCLUSIVE_WAIT: Duration = Duration::from_millis(300);

/// Maximum time that a retry waits for the outcome of a crash check.
const CHECK_WAIT: Duration = Duration::from_millis(150);

impl EdgeState {
    /// Returns whether a request is rejected because it crashes targets: after two crashes, or one if
    /// this host does not know yet what its peers reject.
    pub(crate) fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        let table = self.poison.table();
        table.is_refused(fingerprint) || !self.is_informed() && table.is_suspect(fingerprint)
    }

    /// Like [`EdgeState::is_refused`], but false for a request that is due for a trial, if it is the
    /// turn of this host.
    pub(crate) fn rejects_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let hosts = || {
            let mut hosts = vec![self.settings.load().host.clone()];
            hosts.extend(self.members().live_names(boot_now()));
            hosts
        };
        match self.is_leaving() || !self.is_informed() {
            true => self.is_refused(fingerprint),
            false => self.poison.is_rejected(fingerprint, hosts),
        }
    }

    /// Returns the refusal of a request that crashes targets.
    pub(crate) fn suspect_refusal(&self, fingerprint: RequestFingerprint) -> EdgeRefusal {
        let delay = self.poison.retry_delay(fingerprint);
        EdgeRefusal::after(ErrorKind::SuspectRequest, delay)
    }
}

impl<'a> RequestExecution<'a> {
    /// Looks for a crash of the target. A crash may come at any point of a response: an engine
    /// sends the head before it starts to run the request.
    ///
    /// A host that does not know what its peers reject waits for the outcome, which decides
    /// whether the request may be retried.
    pub(super) async fn look_for_crash(&self, target: PlacedTarget, sent_at: UnixMillis) {
        let routed = self.routed;
        let state = Arc::clone(self.state);
        let lost = LostRequest {
            pool: routed.pool.clone(),
            target,
            fingerprint: routed.fingerprint,
            shared_parts: routed.shared_parts.clone(),
            request: routed.id.clone(),
            sent_at,
            lost_at: unix_now(),
        };
        let check = task::spawn(check_crash(state, lost));
        if !self.state.is_informed() {
            timeout(CHECK_WAIT, check).await.ok();
        }
    }

    /// Waits until no other suspect of this host runs at the target of a suspect, for a while: of
    /// two suspects at a target that crashes, either may be the cause.
    pub(super) async fn acquire_exclusive(&self, slot: &SlotGuard) -> SuspectGuard<'a> {
        let target = &slot.target().name;
        let deadline = boot_now() + EXCLUSIVE_WAIT;
        let guard = &self.state.poison;
        guard
            .acquire_exclusive(self.routed.fingerprint, target, deadline)
            .await
    }

    /// Returns whether the request may be sent: it is not rejected as one that crashes targets, or
    /// this is its trial, which must not run beside other suspects.
    pub(super) fn may_run(&self, exclusive: &SuspectGuard<'_>, slot: &SlotGuard) -> bool {
        let fingerprint = self.routed.fingerprint;
        if !self.is_refused() {
            return true;
        }
        let is_trial = exclusive.is_exclusive()
            && !self.state.rejects_suspect(fingerprint)
            && self.state.poison.start_trial(fingerprint);
        if is_trial {
            self.state.log.write(&DecisionLine::TrialStarted {
                request: self.routed.id.clone(),
                target: slot.target().name.clone(),
                fingerprint: format!("{fingerprint:016x}"),
            });
        }
        is_trial
    }

    /// Returns whether the request is rejected because it crashes targets.
    pub(super) fn is_refused(&self) -> bool {
        self.state.is_refused(self.routed.fingerprint)
    }

    /// Returns whether a retry may crash another target: the request has crashed one before,
    /// and the outcome of the check of this one is not known yet.
    pub(super) fn may_crash_more(&self, cause: LossCause) -> bool {
        let table = self.state.poison.table();
        cause.may_be_crash() && table.is_suspect(self.routed.fingerprint)
    }
}
