//! The filter chain: limit, admit, claim and place, dispatch, relay.

use std::sync::Arc;
use std::time::Duration;

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
use crate::limits::BytePermit;
use crate::poison::RequestFingerprint;
use crate::policy::WorkOutcome;
use crate::recorder::RecordedRequest;

use super::ClassifiedRequest;
use super::HostState;
use super::RequestRefusal;
use super::admit_filter::enqueue_request;
use super::admit_filter::limit_account;
use super::admit_filter::prefix_hash;
use super::admit_filter::prompt_length;
use super::claim_filter::ClaimedPlace;
use super::claim_filter::claim_place;
use super::join_filter::hand_over;
use super::join_filter::join_holder;
use super::relay_filter::relay_answer;
use super::request_meter::RequestMeter;

/// How many targets are tried under one claim. Each try that finds nobody there
/// costs the caller time; a fleet that lost more than two in a row is better
/// asked again later.
const MAX_PLACES: usize = 3;

/// When to come back with a request that crashes targets: as long as it is
/// remembered for that.
const CRASH_RETRY: Duration = Duration::from_secs(600);

/// How a request's way through the chain ended.
pub(crate) enum ChainEnd {
    /// The slot holds the answer.
    Answered,
    /// The request is refused; whether it ran is still to be shown.
    Refused(RequestRefusal),
    /// The request is refused while a claim is held that was never dispatched.
    RefusedHolding(RequestRefusal, HeldClaim<UnsentStage>),
    /// Nobody waits for the answer any more, and nothing was dispatched.
    Abandoned(Option<HeldClaim<UnsentStage>>),
}

/// One request on its way through the chain.
pub(crate) struct RequestRun {
    /// What the filters share.
    pub(crate) host: Arc<HostState>,
    /// Measures the request.
    pub(crate) meter: RequestMeter,
    /// What is known of the request.
    pub(crate) request: ClassifiedRequest,
    /// Stands for the account, class and body.
    pub(crate) fingerprint: RequestFingerprint,
    /// The request's body.
    pub(crate) body: Bytes,
    /// What the body takes of the host's budget.
    pub(crate) _permit: BytePermit,
    /// Where the answer goes.
    pub(crate) slot: Arc<AnswerBuffer>,
}

impl RequestRun {
    /// Takes the request through the chain until its slot has an answer.
    pub(crate) async fn run(self) {
        let _running = self.host.drain.enter();
        match self.run_filters().await {
            ChainEnd::Answered => (),
            ChainEnd::Refused(refusal) => self.settle(refusal).await,
            ChainEnd::RefusedHolding(refusal, claim) => self.settle_holding(refusal, claim).await,
            ChainEnd::Abandoned(claim) => self.abandon(claim).await,
        }
        let outcome = self.slot.outcome();
        self.meter.ended(outcome);
        self.record();
        let answers = &self.host.answers;
        match outcome {
            // The next attempt must find no answer of this one, whoever gave it.
            RequestOutcome::NotRun => answers.forget(self.request.id, &self.slot),
            RequestOutcome::Done | RequestOutcome::Unknown => {
                answers.finish(self.request.id, &self.slot, boot_now());
            }
        }
    }

    /// Records the request where a trace is wanted; one that a peer handed over
    /// was recorded there.
    fn record(&self) {
        let (Some(recorder), Some(view)) = (&self.host.recorder, self.host.view()) else {
            return;
        };
        if self.request.handed_over {
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

    async fn run_filters(&self) -> ChainEnd {
        if let Err(refusal) = limit_account(&self.host, &self.request) {
            return ChainEnd::Refused(refusal);
        }
        if self.host.suspects.table().is_refused(self.fingerprint) {
            return ChainEnd::Refused(RequestRefusal {
                kind: ErrorKind::CrashesTargets,
                retry_after: Some(CRASH_RETRY),
            });
        }
        let source = match self.request.handed_over {
            true => WorkSource::Peer,
            false => WorkSource::Caller,
        };
        match self.enqueue(source) {
            Ok(ticket) => self.run_admitted(ticket).await,
            Err(refusal) => ChainEnd::Refused(refusal),
        }
    }

    async fn run_admitted(&self, mut ticket: WorkTicket) -> ChainEnd {
        let mut held = None;
        for _ in 0..MAX_PLACES {
            let place = or(async { Some(ticket.placement().await) }, async {
                self.slot.wait_no_readers().await;
                None
            });
            let target = match place.await {
                None => return ChainEnd::Abandoned(held),
                Some(WorkPlacement::Peer(host)) => {
                    if held.is_none() && self.run_peer(&host).await {
                        return ChainEnd::Answered;
                    }
                    // Guards against a refusal where a peer that had room has
                    // died since: the work waits here and is handed on no more.
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
            self.meter.placed();
            let _alone = self
                .host
                .suspects
                .acquire_exclusive(self.fingerprint, &target, self.request.deadline)
                .await;
            match claim_place(self, &target, held).await {
                ClaimedPlace::Ready(connection, claim) => {
                    relay_answer(self, ticket, connection, claim, target).await;
                    return ChainEnd::Answered;
                }
                ClaimedPlace::NoConnection(claim) => {
                    held = Some(claim);
                    ticket.not_sent();
                }
                ClaimedPlace::NoClaim(verdict) => {
                    ticket.end(WorkOutcome::Cancelled);
                    return self.run_unclaimed(verdict).await;
                }
            }
        }
        refuse(ErrorKind::TargetUnreachable.into(), held)
    }

    /// Lets a peer serve the request; returns whether the slot has its answer.
    async fn run_peer(&self, host: &HostName) -> bool {
        !self.request.handed_over && hand_over(self, host).await
    }

    fn enqueue(&self, source: WorkSource) -> Result<WorkTicket, RequestRefusal> {
        let Some(view) = self.host.view() else {
            return Err(ErrorKind::NotReady.into());
        };
        enqueue_request(&self.host, &view, &self.request, &self.body, source)
    }

    async fn run_unclaimed(&self, verdict: ClaimOutcome) -> ChainEnd {
        match verdict {
            ClaimOutcome::Held(holder) => {
                join_holder(self, holder, ErrorKind::AttemptBarred.into()).await;
            }
            ClaimOutcome::Barred => self.refuse_proven(ErrorKind::AttemptBarred.into()),
            ClaimOutcome::OutOfWindow => {
                self.refuse_unknown(ErrorKind::RequestIdOutOfWindow.into());
            }
            ClaimOutcome::NoMajority => self.refuse_unknown(ErrorKind::NoMajority.into()),
            // A granted claim is a ready place or one without a connection.
            ClaimOutcome::Granted(claim) => {
                return ChainEnd::RefusedHolding(ErrorKind::Internal.into(), claim);
            }
        }
        ChainEnd::Answered
    }

    /// Answers a refusal with `not-run` where a majority bars the attempt.
    ///
    /// Without the bar a resend that still travels could run after the caller
    /// was told that its request did not.
    async fn settle(&self, refusal: RequestRefusal) {
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

    async fn settle_holding(&self, refusal: RequestRefusal, claim: HeldClaim<UnsentStage>) {
        match self.host.claims.release(claim).await {
            BarOutcome::Proven => self.refuse_proven(refusal),
            BarOutcome::Held(holder) => join_holder(self, holder, refusal).await,
            BarOutcome::Unproven => self.refuse_unknown(refusal),
        }
    }

    /// Nobody reads: there is nothing to tell, only a claim to give back.
    async fn abandon(&self, claim: Option<HeldClaim<UnsentStage>>) {
        self.host.answers.forget(self.request.id, &self.slot);
        self.slot
            .put_end(AnswerEnd::Truncated(ErrorKind::HolderLost));
        if let Some(claim) = claim {
            self.host.claims.release(claim).await;
        }
    }

    /// Refuses with `not-run`; a majority has barred the attempt.
    pub(super) fn refuse_proven(&self, refusal: RequestRefusal) {
        self.count_error(refusal.kind);
        self.host.answers.forget(self.request.id, &self.slot);
        refusal.put_answer(&self.slot, self.request.id, RequestOutcome::NotRun);
    }

    /// Counts an error by its kind and the request's tier.
    pub(crate) fn count_error(&self, kind: ErrorKind) {
        self.host.metrics.count_error(kind, Some(self.request.tier));
    }

    fn refuse_unknown(&self, refusal: RequestRefusal) {
        self.count_error(refusal.kind);
        self.host.answers.forget(self.request.id, &self.slot);
        refusal.put_answer(&self.slot, self.request.id, RequestOutcome::Unknown);
    }
}

fn refuse(refusal: RequestRefusal, held: Option<HeldClaim<UnsentStage>>) -> ChainEnd {
    match held {
        Some(claim) => ChainEnd::RefusedHolding(refusal, claim),
        None => ChainEnd::Refused(refusal),
    }
}
