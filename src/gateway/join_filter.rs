//! Answers from another host: the holder of the claim, or a peer that the request was
//! forwarded to.

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

/// How many times a holder is asked before the answer counts as lost. Each further time
/// either follows a release in progress or goes to another holder.
const MAX_JOINS: usize = 4;
/// How long to wait for a release in progress; it takes one round trip, which is 2 ms
/// across zones.
const JOIN_PAUSE: Duration = Duration::from_millis(50);

/// The end of a peer's stream of replies.
enum ReplyEnd {
    /// The buffer holds the complete answer.
    Complete,
    /// The peer refused the call.
    Refused,
    /// The stream was lost.
    Lost,
}

/// Fetches the answer from the process that holds the claim.
///
/// If the holder is gone, its answer is lost, and the caller is told at once that its
/// request may have run. If the holder has no answer and a majority bars the attempt,
/// the request did not run, and the caller gets `refusal`.
pub(crate) async fn join_holder(run: &RequestRun, holder: ClaimTicket, refusal: RequestRefusal) {
    run.buffer.mark_remote();
    let mut holder = holder;
    for _ in 0..MAX_JOINS {
        let ended = call_holder(run, &holder).await;
        if matches!(ended, ReplyEnd::Complete) {
            return;
        }
        if run.buffer.has_head() {
            break;
        }
        let (id, attempt) = (run.request.id, run.request.attempt);
        match run.host.claims.bar(id, attempt).await {
            BarOutcome::Proven => return run.refuse_proven(refusal),
            BarOutcome::Held(other) if other != holder => holder = other,
            BarOutcome::Held(_) if matches!(ended, ReplyEnd::Refused) => {
                task::sleep(JOIN_PAUSE).await;
            }
            BarOutcome::Held(_) | BarOutcome::Unproven => break,
        }
    }
    fail_answer(run, ErrorKind::HolderLost);
}

async fn call_holder(run: &RequestRun, holder: &ClaimTicket) -> ReplyEnd {
    match holder.host == run.host.host {
        // This host holds the claim itself, but its answer is no longer in the cache.
        true => ReplyEnd::Lost,
        false => call_peer(run, &holder.host, join_call(run), is_valid_for_any_attempt).await,
    }
}

/// Forwards a waiting request to a peer; returns whether the buffer has its answer. If it
/// has none, the claims show whether the peer ran the request.
pub(crate) async fn forward_to_peer(run: &RequestRun, host: &HostName) -> bool {
    run.buffer.mark_remote();
    match call_peer(run, host, serve_call(run), |_| true).await {
        ReplyEnd::Complete => true,
        ReplyEnd::Lost if run.buffer.has_head() => {
            run.buffer
                .put_end(AnswerEnd::Truncated(ErrorKind::HolderLost));
            true
        }
        ReplyEnd::Refused | ReplyEnd::Lost => {
            run.buffer.mark_local();
            false
        }
    }
}

/// Calls a peer and copies its answer into the buffer if `may_pass` accepts its head.
async fn call_peer(
    run: &RequestRun,
    host: &HostName,
    call: PeerCall,
    may_pass: fn(&AnswerHead) -> bool,
) -> ReplyEnd {
    match run.host.mesh.open_call(host, call).await {
        Ok(stream) => relay_replies(run, stream, may_pass).await,
        Err(_) => ReplyEnd::Lost,
    }
}

/// Returns whether an answer is valid for every attempt of its id.
///
/// A join call names no attempt. This guards against passing a `not-run` of an earlier
/// attempt to the caller of a later one, which may still run; this host bars its own
/// attempt instead.
pub(super) fn is_valid_for_any_attempt(head: &AnswerHead) -> bool {
    let outcome = head.headers.get("request-outcome");
    outcome.is_none_or(|outcome| *outcome != RequestOutcome::NotRun.to_string())
}

async fn relay_replies(
    run: &RequestRun,
    mut stream: PeerStream,
    may_pass: fn(&AnswerHead) -> bool,
) -> ReplyEnd {
    while let Ok(Some(reply)) = stream.next().await {
        match reply {
            PeerReply::AnswerHead(head) if !may_pass(&head) => {
                return ReplyEnd::Refused;
            }
            PeerReply::AnswerHead(head) => run.buffer.put_head(head),
            PeerReply::AnswerBody(bytes) => run.buffer.put_bytes(bytes),
            PeerReply::AnswerEnd { .. } => {
                run.buffer.put_end(AnswerEnd::Complete);
                return ReplyEnd::Complete;
            }
            PeerReply::Refused { .. } => return ReplyEnd::Refused,
            _ => return ReplyEnd::Lost,
        }
    }
    ReplyEnd::Lost
}

fn fail_answer(run: &RequestRun, kind: ErrorKind) {
    run.count_error(kind);
    if run.buffer.has_head() {
        run.buffer.put_end(AnswerEnd::Truncated(kind));
    } else {
        // Removed, so that a resend asks the holder again: it may only have been paused.
        run.host.answers.remove(run.request.id, &run.buffer);
        RequestRefusal::of(kind).put_answer(&run.buffer, run.request.id, RequestOutcome::Unknown);
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
