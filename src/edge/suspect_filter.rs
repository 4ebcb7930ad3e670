//! Rejects requests that crash the targets that run them, and lets suspects run apart.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

use super::crash_check::CrashCheck;
use super::crash_check::LostRequest;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::request_execution::RequestExecution;
use super::route_filter::RoutedRequest;
use super::send_outcome::LossCause;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::dispatch::PlacedTarget;
use crate::dispatch::SlotGuard;
use crate::errors::ErrorKind;
use crate::ids::HostName;
use crate::ids::UnixMillis;
use crate::logs::DecisionLine;
use crate::poison::RequestFingerprint;
use crate::poison::SuspectGuard;

/// How long a suspect waits for another one at its target. A run that clears a request takes
/// less in most cases.
const EXCLUSIVE_WAIT: Duration = Duration::from_millis(300);

/// Delay after which a request may be sent again whose part is no longer rejected.
const CLEARED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time that a retry waits for the outcome of a crash check.
const CHECK_WAIT: Duration = Duration::from_millis(150);
/// Maximum time that a request waits for crash checks that may have it rejected, and interval at
/// which it looks at them. A check takes longer only if no target is reached.
const MAX_CHECK_WAIT: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl EdgeState {
    /// Returns whether a request is rejected because it crashes targets: after two crashes, or after
    /// one if this host may not know of others.
    pub(crate) fn is_refused(&self, fingerprint: RequestFingerprint) -> bool {
        let is_refused = self.poison.is_refused(fingerprint);
        is_refused || !self.is_informed() && self.poison.may_have_more_losses(fingerprint)
    }

    /// Returns whether crash checks that have not ended decide whether a request is rejected.
    pub(crate) fn is_undecided(&self, fingerprint: RequestFingerprint) -> bool {
        let checked = self.poison.checked_targets(fingerprint);
        if checked == 0 || self.is_refused(fingerprint) {
            return false;
        }
        !self.is_informed() || self.poison.table().is_refused_after(fingerprint, checked)
    }

    /// Returns why a request is rejected as one that crashes targets, by itself or by a part of its
    /// prompt; `None` if it is not.
    pub(crate) fn suspicion(&self, routed: &RoutedRequest) -> Option<ErrorKind> {
        if self.is_refused(routed.fingerprint) {
            return Some(ErrorKind::SuspectRequest);
        }
        let part = self.parts.rejected_part(&routed.shared_parts);
        part.map(|_| ErrorKind::SuspectPrompt)
    }

    /// Like [`EdgeState::suspicion`], but `None` for a request that is due for a trial, if it is the
    /// turn of this host.
    pub(crate) fn rejects_suspect(&self, routed: &RoutedRequest) -> Option<ErrorKind> {
        if self.rejects_fingerprint(routed.fingerprint) {
            return Some(ErrorKind::SuspectRequest);
        }
        let part = self.parts.rejected_part(&routed.shared_parts)?;
        let is_due = !self.is_leaving()
            && self.is_informed()
            && self
                .parts
                .is_trial_due(part.key, &routed.shared_parts, &self.serving_hosts());
        (!is_due).then_some(ErrorKind::SuspectPrompt)
    }

    fn rejects_fingerprint(&self, fingerprint: RequestFingerprint) -> bool {
        match self.is_leaving() || !self.is_informed() {
            true => self.is_refused(fingerprint),
            false => self
                .poison
                .is_rejected(fingerprint, || self.serving_hosts()),
        }
    }

    /// Returns all hosts that serve, with this one first.
    fn serving_hosts(&self) -> Vec<HostName> {
        let mut hosts = vec![self.startup.host.clone()];
        hosts.extend(self.members().live_names(boot_now()));
        hosts
    }

    /// Returns the refusal of a request that crashes targets.
    pub(crate) fn refusal_of_suspect(
        &self,
        kind: ErrorKind,
        routed: &RoutedRequest,
    ) -> EdgeRefusal {
        match kind {
            ErrorKind::SuspectPrompt => self.part_refusal(routed),
            _ => self.suspect_refusal(routed.fingerprint),
        }
    }

    /// Returns the refusal of a request that crashes targets by itself.
    pub(crate) fn suspect_refusal(&self, fingerprint: RequestFingerprint) -> EdgeRefusal {
        let delay = self.poison.retry_delay(fingerprint);
        EdgeRefusal::after(ErrorKind::SuspectRequest, delay)
    }

    /// Returns the refusal of a request with a part that crashes targets, and logs the part.
    pub(crate) fn part_refusal(&self, routed: &RoutedRequest) -> EdgeRefusal {
        let Some(part) = self.parts.rejected_part(&routed.shared_parts) else {
            // It was cleared meanwhile.
            return EdgeRefusal::after(ErrorKind::SuspectPrompt, CLEARED_RETRY_DELAY);
        };
        self.log.write(&DecisionLine::PartRejected {
            request: routed.id.clone(),
            part: part.id.clone(),
            pool: routed.pool.clone(),
            account: routed.account.as_ref().map(|account| account.name.clone()),
            targets: self.parts.lost_targets(part.key),
        });
        EdgeRefusal::after(ErrorKind::SuspectPrompt, self.parts.retry_delay(part.key))
    }
}

impl<'a> RequestExecution<'a> {
    /// Looks for a crash of the target. A crash may come at any point of a response: an engine
    /// sends the head before it starts to run the request.
    ///
    /// Where the outcome decides whether the request or a part of its prompt is rejected, this waits
    /// for it: the request may be retried, or its caller may send it again.
    pub(super) async fn look_for_crash(&self, target: PlacedTarget, sent_at: UnixMillis) {
        let routed = self.routed;
        let state = Arc::clone(self.state);
        let lost = LostRequest {
            pool: routed.pool.clone(),
            target,
            fingerprint: routed.fingerprint,
            shared_parts: routed.shared_parts.clone(),
            is_part_trial: self.is_part_trial,
            request: routed.id.clone(),
            sent_at,
            lost_at: unix_now(),
        };
        let check = task::spawn(CrashCheck::begin(state, lost).run());
        if self.state.is_undecided(routed.fingerprint) {
            self.wait_for_checks().await;
        } else if self.state.parts.is_suspect(&routed.shared_parts) {
            timeout(CHECK_WAIT, check).await.ok();
        }
    }

    /// Waits for the crash checks that decide whether the request is rejected; returns whether they
    /// have ended.
    pub(super) async fn wait_for_checks(&self) -> bool {
        let deadline = (boot_now() + MAX_CHECK_WAIT).min(self.routed.deadline);
        while self.is_undecided() {
            if boot_now() >= deadline {
                return false;
            }
            task::sleep(CHECK_INTERVAL).await;
        }
        true
    }

    /// Returns whether crash checks that have not ended decide whether the request is rejected.
    pub(super) fn is_undecided(&self) -> bool {
        self.state.is_undecided(self.routed.fingerprint)
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

    /// Returns why the request may not be sent: it is rejected as one that crashes targets, by itself
    /// or by a part of its prompt. A trial may be sent; that of a request must not run beside other
    /// suspects.
    pub(super) fn rejection(
        &mut self,
        exclusive: &SuspectGuard<'_>,
        slot: &SlotGuard,
    ) -> Option<ErrorKind> {
        let fingerprint = self.routed.fingerprint;
        let (state, routed) = (self.state, self.routed);
        if self.is_refused() {
            let is_trial = exclusive.is_exclusive()
                && !state.rejects_fingerprint(fingerprint)
                && state.poison.start_trial(fingerprint);
            if !is_trial {
                return Some(ErrorKind::SuspectRequest);
            }
            self.report_trial(slot, None);
        }
        if let Some(part) = state.parts.rejected_part(&routed.shared_parts) {
            let is_trial =
                state.rejects_suspect(routed).is_none() && state.parts.start_trial(part.key);
            if !is_trial {
                return Some(ErrorKind::SuspectPrompt);
            }
            self.is_part_trial = true;
            self.report_trial(slot, Some(part.id.clone()));
        }
        None
    }

    fn report_trial(&self, slot: &SlotGuard, part: Option<String>) {
        self.state.log.write(&DecisionLine::TrialStarted {
            request: self.routed.id.clone(),
            target: slot.target().name.clone(),
            fingerprint: format!("{:016x}", self.routed.fingerprint),
            part,
        });
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
