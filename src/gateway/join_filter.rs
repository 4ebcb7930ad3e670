//! Answers that another host gives: the holder of a claim, or a peer that took over.

use std::time::Duration;

use async_std::task;

use crate::answers::AnswerEnd;
use crate::claim::ClaimTicket;
use crate::clock::boot_now;
use crate::controllers::BarOutcome;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::http::AnswerHead;
use crate::http::RequestHead;
use crate::ids::HostName;
use crate::peers::PeerCall;
use crate::peers::PeerReply;
use crate::peers::PeerStream;

use super::RequestRefusal;
use super::RequestRun;

/// How often holders are asked before the answer counts as lost. Each time but the
/// first follows a release that is under way, or leads to another holder.
const MAX_JOINS: usize = 4;
/// How long a release that is under way gets; it takes one round trip, two
/// milliseconds across zones.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// How a peer's stream of replies ended.
enum PumpEnd {
    /// The slot holds the whole answer.
    Whole,
    /// The peer refused the call.
    Refused,
    /// The stream was lost.
    Lost,
}

/// Fetches the answer from the process that holds the claim.
///
/// A holder that is gone took its answer along: the caller learns at once that
/// its request may have run. Where the holder has nothing and a majority bars the
/// attempt, nothing ran, and `refusal` says so.
pub(crate) async fn join_holder(run: &RequestRun, holder: ClaimTicket, refusal: RequestRefusal) {
    run.slot.mark_remote();
    let mut holder = holder;
    for _ in 0..MAX_JOINS {
        let ended = call_holder(run, &holder).await;
        if matches!(ended, PumpEnd::Whole) {
            return;
        }
        if run.slot.has_head() {
            break;
        }
        let (id, attempt) = (run.request.id, run.request.attempt);
        match run.host.claims.bar(id, attempt).await {
            BarOutcome::Proven => return run.refuse_proven(refusal),
            BarOutcome::Held(other) if other != holder => holder = other,
            BarOutcome::Held(_) if matches!(ended, PumpEnd::Refused) => {
                task::sleep(JOIN_PAUSE).await;
            }
            BarOutcome::Held(_) | BarOutcome::Unproven => break,
        }
    }
    fail(run, ErrorKind::HolderLost);
}

async fn call_holder(run: &RequestRun, holder: &ClaimTicket) -> PumpEnd {
    match holder.host == run.host.host {
        // This process's own claim without an answer in the book: it was let go.
        true => PumpEnd::Lost,
        false => call_peer(run, &holder.host, join_call(run), is_of_any_attempt).await,
    }
}

/// Lets a peer serve a request that waits here; returns whether the slot has its
/// answer. Where it has none the claims tell whether the peer took the request.
pub(crate) async fn hand_over(run: &RequestRun, host: &HostName) -> bool {
    run.slot.mark_remote();
    match call_peer(run, host, serve_call(run), |_| true).await {
        PumpEnd::Whole => true,
        PumpEnd::Lost if run.slot.has_head() => {
            run.slot
                .put_end(AnswerEnd::Truncated(ErrorKind::HolderLost));
            true
        }
        PumpEnd::Refused | PumpEnd::Lost => {
            run.slot.mark_local();
            false
        }
    }
}

/// Calls a peer and passes its answer on if `may_pass` takes its head.
async fn call_peer(
    run: &RequestRun,
    host: &HostName,
    call: PeerCall,
    may_pass: fn(&AnswerHead) -> bool,
) -> PumpEnd {
    match run.host.mesh.open_call(host, call).await {
        Ok(stream) => pump(run, stream, may_pass).await,
        Err(_) => PumpEnd::Lost,
    }
}

/// Tells whether an answer holds for each attempt of its id.
///
/// A join names no attempt. Guards against a `not-run` of an earlier attempt that is
/// told to the caller of a later one, which may still run: this host bars its own.
pub(super) fn is_of_any_attempt(head: &AnswerHead) -> bool {
    let outcome = head.headers.get("request-outcome");
    outcome.is_none_or(|outcome| *outcome != RequestOutcome::NotRun.to_string())
}

async fn pump(
    run: &RequestRun,
    mut stream: PeerStream,
    may_pass: fn(&AnswerHead) -> bool,
) -> PumpEnd {
    while let Ok(Some(reply)) = stream.next().await {
        match reply {
            PeerReply::AnswerHead(head) if !may_pass(&head) => {
                return PumpEnd::Refused;
            }
            PeerReply::AnswerHead(head) => run.slot.put_head(head),
            PeerReply::AnswerBody(bytes) => run.slot.put_bytes(bytes),
            PeerReply::AnswerEnd { .. } => {
                run.slot.put_end(AnswerEnd::Complete);
                return PumpEnd::Whole;
            }
            PeerReply::Refused { .. } => return PumpEnd::Refused,
            _ => return PumpEnd::Lost,
        }
    }
    PumpEnd::Lost
}

fn fail(run: &RequestRun, kind: ErrorKind) {
    run.count_error(kind);
    if run.slot.has_head() {
        run.slot.put_end(AnswerEnd::Truncated(kind));
    } else {
        // A resend asks again: the holder may only have been paused.
        run.host.answers.forget(run.request.id, &run.slot);
        RequestRefusal::of(kind).put_answer(&run.slot, run.request.id, RequestOutcome::Unknown);
    }
}

fn join_call(run: &RequestRun) -> PeerCall {
    PeerCall::Join {
        request: run.request.id,
        account: run.request.account.clone(),
    }
}

fn serve_call(run: &RequestRun) -> PeerCall {
    let left = run.request.deadline.saturating_sub(boot_now());
    let mut head: RequestHead = run.request.head.clone();
    let fields = [
        ("request-id", run.request.id.to_string()),
        ("request-attempt", run.request.attempt.to_string()),
        ("request-deadline-ms", left.as_millis().max(1).to_string()),
    ];
    for (name, value) in fields {
        head.headers.insert(name.to_string(), value);
    }
    PeerCall::Serve {
        head,
        body: run.body.clone(),
    }
}
