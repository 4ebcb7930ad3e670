//! Last filters: the dispatch, and the answer on its way to the slot.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;

use crate::answers::AnswerEnd;
use crate::claim::HeldClaim;
use crate::claim::UnsentStage;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::controllers::WorkTicket;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::fleet::TargetKind;
use crate::http::AnswerHead;
use crate::http::ExchangeError;
use crate::http::RequestHead;
use crate::http::TargetAnswer;
use crate::http::TargetConnection;
use crate::ids::TargetName;
use crate::ids::TokenCount;
use crate::logs::StateChange;
use crate::metrics::PrefillWaste;
use crate::policy::WorkOutcome;

use super::RequestRefusal;
use super::RequestRun;
use super::admit_filter::prompt_length;
use super::stream_relay::StreamRelay;

/// How long sending a request may take.
const SEND_LIMIT: Duration = Duration::from_secs(10);
/// How far past its deadline an answer is still awaited: it is late, but the
/// target may be about to give it, and `unknown` would help the caller less.
const LATE_LIMIT: Duration = Duration::from_secs(2);
/// The largest answer that is collected before it is passed on.
const MAX_WHOLE_BYTES: usize = 4 << 20;
/// How long a run goes on that nobody reads: time for the caller to send again.
const UNREAD_LIMIT: Duration = Duration::from_secs(5);
/// Fields of a request that are for this system and not for targets.
const OWN_FIELDS: &[&str] = &["authorization", "request-class", "request-deadline-ms"];
/// What a leaving target says beside its refusal.
const TARGET_STATE: &str = "target-state";
const STREAM_TYPE: &str = "text/event-stream";

/// Dispatches the request and relays its answer into the slot.
///
/// The claim is spent before the first byte goes out, so from here on the
/// request is never sent to another target.
pub(crate) async fn relay_answer(
    run: &RequestRun,
    ticket: WorkTicket,
    connection: TargetConnection,
    claim: HeldClaim<UnsentStage>,
    target: TargetName,
) {
    let _sent = claim.dispatch();
    ticket.started();
    run.meter.dispatched(prefill_tokens(run, &target));
    let head = target_head(run);
    let relayed = match connection.send(&head, run.body.to_vec(), SEND_LIMIT).await {
        Ok(exchange) => match exchange.read_answer(answer_limit(run)).await {
            Ok(answer) => relay_checked(run, &ticket, answer, &target).await,
            Err(error) => recover_answer(run, &ticket, error, &target).await,
        },
        Err(error) => Err(kind_of(error)),
    };
    match relayed {
        Ok(()) => {
            let mut ledger = run.host.suspects.table();
            ledger.record_success(run.fingerprint, unix_now());
            drop(ledger);
            ticket.end(WorkOutcome::Finished);
        }
        Err(kind) => {
            if kind == ErrorKind::TargetLost {
                note_loss(run, &target);
                // Guards against a resend that is faster than the next exchange:
                // a third host would run it and lose a third target.
                run.host.digests.broadcast_now().await;
            }
            count_waste(run, &target, kind);
            fail_slot(run, kind);
            ticket.end(WorkOutcome::Failed);
        }
    }
}

/// Returns how many prompt tokens the target processes: services have no prompts.
fn prefill_tokens(run: &RequestRun, target: &TargetName) -> TokenCount {
    let view = run.host.view();
    let kind = view.and_then(|view| view.target(target).map(|target| target.target.kind));
    match kind {
        Some(TargetKind::Engine) => prompt_length(&run.request, &run.body),
        Some(TargetKind::Service) | None => 0,
    }
}

/// Counts the prompt processing that came to nothing.
fn count_waste(run: &RequestRun, target: &TargetName, kind: ErrorKind) {
    let cause = match kind {
        ErrorKind::HolderLost => PrefillWaste::CallerLeft,
        _ => PrefillWaste::TargetLost,
    };
    let tokens = prefill_tokens(run, target);
    run.host.metrics.count_wasted_prefill(cause, tokens);
}

/// Notes that the request ran on a target that was lost, and says so once it
/// is refused for that.
fn note_loss(run: &RequestRun, target: &TargetName) {
    let mut ledger = run.host.suspects.table();
    let before = ledger.is_refused(run.fingerprint);
    ledger.record_loss(run.fingerprint, target, unix_now());
    if !before && ledger.is_refused(run.fingerprint) {
        run.host.log.write(&StateChange::CrashingRequest {
            fingerprint: format!("{:016x}", run.fingerprint),
            targets: ledger.lost_targets(run.fingerprint),
        });
    }
}

/// Puts the failure where the caller sees it: as an answer while no head went
/// out, as a cut message afterwards.
fn fail_slot(run: &RequestRun, kind: ErrorKind) {
    run.count_error(kind);
    if run.slot.has_head() {
        run.slot.put_end(AnswerEnd::Truncated(kind));
    } else {
        RequestRefusal::of(kind).put_answer(&run.slot, run.request.id, RequestOutcome::Unknown);
    }
}

async fn relay_checked(
    run: &RequestRun,
    ticket: &WorkTicket,
    answer: TargetAnswer,
    target: &TargetName,
) -> Result<(), ErrorKind> {
    check_answer(run, &answer.head, target)?;
    match is_stream(&answer.head) {
        true => {
            let mut relay = StreamRelay::open(run, ticket, target);
            relay.pass_on(answer).await
        }
        false => relay_whole(run, answer).await,
    }
}

/// An answer that never began may still be had from the engine: it keeps the
/// stream of a request that it runs. This asks; it never sends the request.
async fn recover_answer(
    run: &RequestRun,
    ticket: &WorkTicket,
    error: ExchangeError,
    target: &TargetName,
) -> Result<(), ErrorKind> {
    if error == ExchangeError::Broken {
        return Err(ErrorKind::TargetFault);
    }
    let mut relay = StreamRelay::open(run, ticket, target);
    match relay.resume().await {
        Ok(answer) => {
            check_answer(run, &answer.head, target)?;
            relay.pass_on(answer).await
        }
        Err(_) => Err(kind_of(error)),
    }
}

/// Checks that the answer is this request's own.
///
/// A target that mixes up its connections would otherwise hand one caller
/// another's answer.
pub(super) fn check_answer(
    run: &RequestRun,
    head: &AnswerHead,
    target: &TargetName,
) -> Result<(), ErrorKind> {
    let id = run.request.id.to_string();
    if head
        .headers
        .get("request-id")
        .is_some_and(|echo| *echo != id)
    {
        return Err(ErrorKind::TargetFault);
    }
    if head.headers.contains_key(TARGET_STATE) {
        run.host.targets.mark_leaving(target);
        return Err(ErrorKind::TargetLeaving);
    }
    Ok(())
}

/// Collects a whole answer before any of it goes out, so that one that is cut
/// becomes an honest `unknown` and not a short message.
async fn relay_whole(run: &RequestRun, mut answer: TargetAnswer) -> Result<(), ErrorKind> {
    let mut body = Vec::new();
    let limit = answer_limit(run);
    while let Some(piece) = answer.next_piece(limit).await.map_err(kind_of)? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_WHOLE_BYTES {
            return Err(ErrorKind::TargetFault);
        }
    }
    let mut head = answer.head;
    head.length = Some(body.len() as u64);
    run.slot.put_head(done_head(run, head));
    run.slot.put_bytes(Bytes::from(body));
    run.slot.put_end(AnswerEnd::Complete);
    Ok(())
}

/// Marks a target's answer as the request's own.
pub(super) fn done_head(run: &RequestRun, mut head: AnswerHead) -> AnswerHead {
    let id = run.request.id.to_string();
    head.headers.insert("request-id".to_string(), id);
    head.headers.insert(
        "request-outcome".to_string(),
        RequestOutcome::Done.to_string(),
    );
    head
}

/// Waits until nobody has read the answer for a while.
pub(super) async fn wait_abandoned(run: &RequestRun) {
    loop {
        run.slot.wait_no_readers().await;
        async_std::task::sleep(UNREAD_LIMIT).await;
        if run.slot.readers() == 0 {
            return;
        }
    }
}

/// Runs a relay to its end, or until nobody reads and the work may be cancelled.
///
/// `None` says that it was cancelled. A non-idempotent call is never cancelled:
/// whether it ran would then be unknown for no gain.
pub(super) async fn unless_abandoned<T>(
    run: &RequestRun,
    work: impl Future<Output = T>,
) -> Option<T> {
    if !run.request.idempotent {
        return Some(work.await);
    }
    let abandoned = async {
        wait_abandoned(run).await;
        None
    };
    or(async { Some(work.await) }, abandoned).await
}

/// How long the target may stay silent before the head of its answer.
fn answer_limit(run: &RequestRun) -> Duration {
    let left = run.request.deadline.saturating_sub(boot_now());
    left + LATE_LIMIT
}

fn is_stream(head: &AnswerHead) -> bool {
    let content_type = head.headers.get("content-type");
    content_type.is_some_and(|value| value.starts_with(STREAM_TYPE))
}

fn target_head(run: &RequestRun) -> RequestHead {
    let mut head = run.request.head.clone();
    head.headers
        .retain(|name, _| OWN_FIELDS.binary_search(&name.as_str()).is_err());
    let id = run.request.id.to_string();
    let attempt = run.request.attempt.to_string();
    head.headers.insert("request-id".to_string(), id);
    head.headers.insert("request-attempt".to_string(), attempt);
    head
}

pub(super) fn kind_of(error: ExchangeError) -> ErrorKind {
    match error {
        ExchangeError::Broken => ErrorKind::TargetFault,
        ExchangeError::Silent => ErrorKind::TargetSilent,
        ExchangeError::Unreachable | ExchangeError::Cut => ErrorKind::TargetLost,
    }
}
