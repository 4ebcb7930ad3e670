//! The filter chain: limit, admit, claim and connect, dispatch, relay.

use std::sync::Arc;

use bytes::Bytes;
use futures_lite::future::or;

use crate::answers::AnswerBuffer;
use crate::answers::AnswerEnd;
use crate::claim::HeldClaim;
use crate::claim::UnsentStage;
use crate::clock::boot_now;
use crate::controllers::BarOutcome;
use crate::controllers::ClaimOutcome;
use crate::controllers::WorkPlacement;
use crate::controllers::WorkSource;
use crate::controllers::WorkTicket;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::limits::BytePermit;
use crate::logs::StateChange;
use crate::poison::RequestFingerprint;
use crate::poison::SuspectGuard;
use crate::policy::WorkOutcome;
use crate::recorder::RecordedRequest;

use super::ClassifiedRequest;
use super::HostState;
use super::RequestRefusal;
use super::admit_filter::enqueue_request;
use super::admit_filter::limit_account;
use super::admit_filter::prefix_hash;
use super::admit_filter::prompt_length;
use super::claim_filter::ClaimResult;
use super::claim_filter::claim_and_connect;
use super::join_filter::forward_to_peer;
use super::join_filter::join_holder;
use super::relay_filter::relay_answer;
use super::request_meter::RequestMeter;

/// How many targets are tried under one claim. Each unreachable target costs the caller
/// time; if more than two in a row are unreachable, it is better to retry later.
const MAX_TARGETS_TRIED: usize = 3;

/// The result of running the filter chain.
pub(crate) enum ChainResult {
    /// The buffer holds the answer.
    Answered,
    /// The request is refused; whether it ran is not determined yet.
    Refused(RequestRefusal),
    /// The request is refused while holding a claim that was never dispatched.
    RefusedHolding(RequestRefusal, HeldClaim<UnsentStage>),
    /// No caller waits for the answer any more, and nothing was dispatched.
    Abandoned(Option<HeldClaim<UnsentStage>>),
}

/// One request running through the filter chain.
pub(crate) struct RequestRun {
    /// State shared by the filters.
    pub(crate) host: Arc<HostState>,
    /// Measures the request.
    pub(crate) meter: RequestMeter,
    /// The classified request.
    pub(crate) request: ClassifiedRequest,
    /// The fingerprint of the account, class and body.
    pub(crate) fingerprint: RequestFingerprint,
    /// The request's body.
    pub(crate) body: Bytes,
    /// The body's permit from the host's memory budget.
    pub(crate) _permit: BytePermit,
    /// Receives the answer.
    pub(crate) buffer: Arc<AnswerBuffer>,
}

impl RequestRun {
    /// Runs the request through the chain until its buffer has an answer.
    pub(crate) async fn run(self) {
        let _running = self.host.drain.track_request();
        match self.run_filters().await {
            ChainResult::Answered => (),
            ChainResult::Refused(refusal) => self.bar_and_refuse(refusal).await,
            ChainResult::RefusedHolding(refusal, claim) => {
                self.release_and_refuse(refusal, claim).await
            }
            ChainResult::Abandoned(claim) => self.abandon(claim).await,
        }
        let outcome = self.buffer.outcome();
        self.meter.record_end(outcome);
        self.record();
        let answers = &self.host.answers;
        match outcome {
            // The next attempt must not find the answer of this one, whichever host gave it.
            RequestOutcome::NotRun => answers.remove(self.request.id, &self.buffer),
            RequestOutcome::Done | RequestOutcome::Unknown => {
                answers.finish(self.request.id, &self.buffer, boot_now());
            }
        }
    }

    /// Records the request if a trace is configured; a forwarded request is recorded by
    /// the peer that received it.
    fn record(&self) {
        let (Some(recorder), Some(view)) = (&self.host.recorder, self.host.view()) else {
            return;
        };
        if self.request.forwarded {
            return;
        }
        recorder.record(
            &view,
            &RecordedRequest {
                request: &self.request,
                arrived: self.meter.arrived(),
                prompt_tokens: prompt_length(&self.request, &self.body),
                output_tokens: self.meter.tokens(),
                prefix: prefix_hash(&self.body),
            },
        );
    }

    async fn run_filters(&self) -> ChainResult {
        if let Err(refusal) = limit_account(&self.host, &self.request) {
            return ChainResult::Refused(refusal);
        }
        if self.host.rejects_suspect(self.fingerprint) {
            return ChainResult::Refused(self.crash_refusal());
        }
        let source = match self.request.forwarded {
            true => WorkSource::Peer,
            false => WorkSource::Caller,
        };
        match self.enqueue(source) {
            Ok(ticket) => self.run_admitted(ticket).await,
            Err(refusal) => ChainResult::Refused(refusal),
        }
    }

    async fn run_admitted(&self, mut ticket: WorkTicket) -> ChainResult {
        let mut held = None;
        for _ in 0..MAX_TARGETS_TRIED {
            let placement = or(async { Some(ticket.placement().await) }, async {
                self.buffer.wait_no_readers().await;
                None
            });
            let target = match placement.await {
                None => return ChainResult::Abandoned(held),
                Some(WorkPlacement::Peer(host)) => {
                    if held.is_none() && self.run_peer(&host).await {
                        return ChainResult::Answered;
                    }
                    // Guards against a refusal when the peer with a free slot has died
                    // since: the request waits here and is not forwarded again.
                    ticket = match self.enqueue(WorkSource::Peer) {
                        Ok(ticket) => ticket,
                        Err(refusal) => return refuse(refusal, held),
                    };
                    continue;
                }
                Some(WorkPlacement::Refused { kind, retry_after }) => {
                    let refusal = RequestRefusal {
                        kind,
                        retry_after: Some(retry_after),
                    };
                    return refuse(refusal, held);
                }
                Some(WorkPlacement::Target(target)) => target,
            };
            self.meter.record_placement();
            let exclusive = self
                .host
                .suspects
                .acquire_exclusive(self.fingerprint, &target, self.request.deadline)
                .await;
            if !self.may_run(&exclusive, &target) {
                ticket.end(WorkOutcome::Cancelled);
                return refuse(self.crash_refusal(), held);
            }
            match claim_and_connect(self, &target, held).await {
                ClaimResult::Ready(connection, claim) => {
                    relay_answer(self, ticket, connection, claim, target).await;
                    return ChainResult::Answered;
                }
                ClaimResult::NoConnection(claim) => {
                    held = Some(claim);
                    ticket.not_sent();
                }
                ClaimResult::NoClaim(outcome) => {
                    ticket.end(WorkOutcome::Cancelled);
                    return self.run_unclaimed(outcome).await;
                }
            }
        }
        refuse(ErrorKind::TargetUnreachable.into(), held)
    }

    fn crash_refusal(&self) -> RequestRefusal {
        RequestRefusal {
            kind: ErrorKind::CrashesTargets,
            retry_after: Some(self.host.suspects.retry_delay(self.fingerprint)),
        }
    }

    /// Returns whether the request may be sent: it is not refused as one that crashes targets, or
    /// this is its trial, which must not run beside other suspects. Targets may have been lost
    /// while it waited.
    fn may_run(&self, exclusive: &SuspectGuard<'_>, target: &TargetName) -> bool {
        let suspects = &self.host.suspects;
        if !suspects.is_refused(self.fingerprint) {
            return true;
        }
        let is_trial = exclusive.is_exclusive()
            && !self.host.rejects_suspect(self.fingerprint)
            && suspects.start_trial(self.fingerprint);
        if is_trial {
            self.host.log.write(&StateChange::TrialStarted {
                target: target.clone(),
                fingerprint: format!("{:016x}", self.fingerprint),
            });
        }
        is_trial
    }

    /// Forwards the request to a peer; returns whether the buffer has its answer.
    async fn run_peer(&self, host: &HostName) -> bool {
        !self.request.forwarded && forward_to_peer(self, host).await
    }

    fn enqueue(&self, source: WorkSource) -> Result<WorkTicket, RequestRefusal> {
        let Some(view) = self.host.view() else {
            return Err(ErrorKind::NotReady.into());
        };
        enqueue_request(&self.host, &view, &self.request, &self.body, source)
    }

    async fn run_unclaimed(&self, outcome: ClaimOutcome) -> ChainResult {
        match outcome {
            ClaimOutcome::Held(holder) => {
                join_holder(self, holder, ErrorKind::AttemptBarred.into()).await;
            }
            ClaimOutcome::Barred => self.refuse_proven(ErrorKind::AttemptBarred.into()),
            ClaimOutcome::OutOfWindow => {
                self.refuse_unknown(ErrorKind::RequestIdOutOfWindow.into());
            }
            ClaimOutcome::NoMajority => self.refuse_unknown(ErrorKind::NoMajority.into()),
            // Not reached: a granted claim is either ready or without a connection.
            ClaimOutcome::Granted(claim) => {
                return ChainResult::RefusedHolding(ErrorKind::Internal.into(), claim);
            }
        }
        ChainResult::Answered
    }

    /// Answers a refusal, with `not-run` if a majority bars the attempt.
    ///
    /// Without the bar, a resend that is still in transit could run after the caller was
    /// told that its request did not.
    async fn bar_and_refuse(&self, refusal: RequestRefusal) {
        if refusal.kind.answer().outcome != RequestOutcome::NotRun {
            return self.refuse_unknown(refusal);
        }
        let (id, attempt) = (self.request.id, self.request.attempt);
        match self.host.claims.bar(id, attempt).await {
            BarOutcome::Proven => self.refuse_proven(refusal),
            BarOutcome::Held(holder) => join_holder(self, holder, refusal).await,
            BarOutcome::Unproven => self.refuse_unknown(refusal),
        }
    }

    /// Answers a refusal after releasing the claim; see [`RequestRun::bar_and_refuse`].
    async fn release_and_refuse(&self, refusal: RequestRefusal, claim: HeldClaim<UnsentStage>) {
        match self.host.claims.release(claim).await {
            BarOutcome::Proven => self.refuse_proven(refusal),
            BarOutcome::Held(holder) => join_holder(self, holder, refusal).await,
            BarOutcome::Unproven => self.refuse_unknown(refusal),
        }
    }

    /// Releases the claim of a request without readers; no answer is needed.
    async fn abandon(&self, claim: Option<HeldClaim<UnsentStage>>) {
        self.host.answers.remove(self.request.id, &self.buffer);
        self.buffer
            .put_end(AnswerEnd::Truncated(ErrorKind::HolderLost));
        if let Some(claim) = claim {
            self.host.claims.release(claim).await;
        }
    }

    /// Refuses with `not-run`, after a majority has barred the attempt.
    pub(super) fn refuse_proven(&self, refusal: RequestRefusal) {
        self.count_error(refusal.kind);
        self.host.answers.remove(self.request.id, &self.buffer);
        refusal.put_answer(&self.buffer, self.request.id, RequestOutcome::NotRun);
    }

    /// Counts an error by its kind and the request's tier.
    pub(crate) fn count_error(&self, kind: ErrorKind) {
        self.host.metrics.count_error(kind, Some(self.request.tier));
    }

    fn refuse_unknown(&self, refusal: RequestRefusal) {
        self.count_error(refusal.kind);
        self.host.answers.remove(self.request.id, &self.buffer);
        refusal.put_answer(&self.buffer, self.request.id, RequestOutcome::Unknown);
    }
}

fn refuse(refusal: RequestRefusal, held: Option<HeldClaim<UnsentStage>>) -> ChainResult {
    match held {
        Some(claim) => ChainResult::RefusedHolding(refusal, claim),
        None => ChainResult::Refused(refusal),
    }
}
