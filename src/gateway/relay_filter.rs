//! Last filters: dispatches the request and relays the answer into the buffer.

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
use crate::poison::LostRun;
use crate::policy::WorkOutcome;

use super::RequestRefusal;
use super::RequestRun;
use super::admit_filter::prompt_length;
use super::stream_relay::StreamRelay;

/// Timeout for sending a request.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an answer and its end are awaited after the deadline. A late answer is more useful to
/// the caller than `unknown`.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(2);
/// Maximum size of an answer that is buffered before it is passed on.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Size up to which an answer does not count towards the host's memory for answers, so that large
/// ones don't take the place of small ones.
const FREE_BYTES: usize = 64 << 10;
/// How long a run continues without a reader, so that the caller can resend.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Request headers for the gateway that aren't sent to targets.
const GATEWAY_HEADERS: &[&str] = &["authorization", "request-class", "request-deadline-ms"];
/// The header by which a leaving target marks its refusal.
const TARGET_STATE_HEADER: &str = "target-state";
const STREAM_TYPE: &str = "text/event-stream";

/// Dispatches the request and relays its answer into the buffer.
///
/// The claim is consumed before the first byte is sent, so the request is never sent to
/// another target after this point.
pub(crate) async fn relay_answer(
    run: &RequestRun,
    ticket: WorkTicket,
    connection: TargetConnection,
    claim: HeldClaim<UnsentStage>,
    target: TargetName,
) {
    let _sent = claim.dispatch();
    ticket.started();
    let sent_at = unix_now();
    run.meter.record_dispatch(prefill_tokens(run, &target));
    let head = target_head(run);
    let relayed = match connection.send(&head, run.body.clone(), SEND_TIMEOUT).await {
        Ok(exchange) => match exchange.read_answer(answer_timeout(run)).await {
            Ok(answer) => relay_checked(run, &ticket, answer, &target).await,
            Err(error) => recover_answer(run, &ticket, error, &target).await,
        },
        Err(error) => Err(kind_of(error)),
    };
    match relayed {
        Ok(()) => {
            let suspects = &run.host.suspects;
            suspects.record_completed(run.fingerprint);
            suspects.table().record_success(run.fingerprint, unix_now());
            ticket.end(WorkOutcome::Finished);
        }
        Err(kind) => {
            if kind == ErrorKind::TargetLost {
                let lost = LostRun {
                    target: &target,
                    sent_at,
                    lost_at: unix_now(),
                };
                record_loss(run, lost);
                // Guards against a resend that is faster than the next digest exchange:
                // a third host would run the request and lose a third target to it.
                run.host.digests.broadcast_now().await;
            }
            count_waste(run, &target, kind);
            fail_answer(run, kind);
            ticket.end(WorkOutcome::Failed);
        }
    }
}

/// Returns how many prompt tokens the target processes; 0 for a service, which has no
/// prompts.
fn prefill_tokens(run: &RequestRun, target: &TargetName) -> TokenCount {
    let view = run.host.view();
    let kind = view.and_then(|view| view.target(target).map(|target| target.target.kind));
    match kind {
        Some(TargetKind::Engine) => prompt_length(&run.request, &run.body),
        Some(TargetKind::Service) | None => 0,
    }
}

/// Counts the wasted prompt processing.
fn count_waste(run: &RequestRun, target: &TargetName, kind: ErrorKind) {
    let cause = match kind {
        ErrorKind::HolderLost => PrefillWaste::CallerLeft,
        _ => PrefillWaste::TargetLost,
    };
    let tokens = prefill_tokens(run, target);
    run.host.metrics.count_wasted_prefill(cause, tokens);
}

/// Records that the request ran on a target that was lost, and logs it when the request
/// starts being refused for that.
fn record_loss(run: &RequestRun, lost: LostRun<'_>) {
    let suspects = &run.host.suspects;
    let before = suspects.is_refused(run.fingerprint);
    suspects.table().record_loss(run.fingerprint, lost);
    if !before && suspects.is_refused(run.fingerprint) {
        run.host.log.write(&StateChange::CrashingRequest {
            fingerprint: format!("{:016x}", run.fingerprint),
            targets: suspects.table().lost_targets(run.fingerprint),
        });
    }
}

/// Reports the failure to the caller: as an error answer if no head was sent yet, by
/// aborting the message otherwise.
fn fail_answer(run: &RequestRun, kind: ErrorKind) {
    run.count_error(kind);
    if run.buffer.has_head() {
        run.buffer.put_end(AnswerEnd::Truncated(kind));
    } else {
        RequestRefusal::of(kind).put_answer(&run.buffer, run.request.id, RequestOutcome::Unknown);
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
            relay.relay_stream(answer).await
        }
        false => relay_buffered(run, answer).await,
    }
}

/// Tries to fetch an answer whose head did not arrive. An engine keeps the stream of a
/// request that it runs; this asks for that stream and never sends the request again.
async fn recover_answer(
    run: &RequestRun,
    ticket: &WorkTicket,
    error: ExchangeError,
    target: &TargetName,
) -> Result<(), ErrorKind> {
    if error == ExchangeError::Malformed {
        return Err(ErrorKind::TargetFault);
    }
    if answer_timeout(run).is_zero() {
        return Err(kind_of(error));
    }
    let mut relay = StreamRelay::open(run, ticket, target);
    match relay.resume().await {
        Ok(answer) => {
            check_answer(run, &answer.head, target)?;
            relay.relay_stream(answer).await
        }
        Err(_) => Err(kind_of(error)),
    }
}

/// Checks that the answer belongs to this request.
///
/// Otherwise a target that mixes up its connections could deliver one caller's answer to
/// another.
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
    if head.headers.contains_key(TARGET_STATE_HEADER) {
        run.host.targets.mark_leaving(target);
        return Err(ErrorKind::TargetLeaving);
    }
    Ok(())
}

/// Buffers the complete answer before any of it is sent, so that a truncated one becomes
/// `unknown` and not a truncated message.
async fn relay_buffered(run: &RequestRun, mut answer: TargetAnswer) -> Result<(), ErrorKind> {
    let mut body = Vec::new();
    let mut permit = run.host.memory.empty_permit();
    while let Some(chunk) = answer
        .next_chunk(answer_timeout(run))
        .await
        .map_err(kind_of)?
    {
        body.extend_from_slice(&chunk);
        let counted = body.capacity().saturating_sub(FREE_BYTES);
        if body.len() > MAX_BUFFERED_BYTES || !permit.resize(counted) {
            return Err(ErrorKind::TargetFault);
        }
    }
    let mut head = answer.head;
    head.length = Some(body.len() as u64);
    run.buffer.put_head(done_head(run, head));
    run.buffer.put_bytes(Bytes::from(body));
    run.buffer.put_end(AnswerEnd::Complete);
    Ok(())
}

/// Adds the request id and the outcome `done` to the head of a target's answer.
pub(super) fn done_head(run: &RequestRun, mut head: AnswerHead) -> AnswerHead {
    let id = run.request.id.to_string();
    head.headers.insert("request-id".to_string(), id);
    head.headers.insert(
        "request-outcome".to_string(),
        RequestOutcome::Done.to_string(),
    );
    head
}

/// Waits until the answer has had no reader for [`UNREAD_TIMEOUT`].
pub(super) async fn wait_abandoned(run: &RequestRun) {
    loop {
        run.buffer.wait_no_readers().await;
        async_std::task::sleep(UNREAD_TIMEOUT).await;
        if run.buffer.readers() == 0 {
            return;
        }
    }
}

/// Runs a relay to completion, or cancels it when the answer has no reader any more.
///
/// Returns `None` if it was cancelled. A non-idempotent call is never cancelled, since its
/// outcome would then be unknown without need.
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

/// Returns how much longer the rest of the answer is awaited.
pub(super) fn answer_timeout(run: &RequestRun) -> Duration {
    (run.request.deadline + LATE_ANSWER_WAIT).saturating_sub(boot_now())
}

fn is_stream(head: &AnswerHead) -> bool {
    let content_type = head.headers.get("content-type");
    content_type.is_some_and(|value| value.starts_with(STREAM_TYPE))
}

fn target_head(run: &RequestRun) -> RequestHead {
    let mut head = run.request.head.clone();
    head.headers
        .retain(|name, _| GATEWAY_HEADERS.binary_search(&name.as_str()).is_err());
    let id = run.request.id.to_string();
    let attempt = run.request.attempt.to_string();
    head.headers.insert("request-id".to_string(), id);
    head.headers.insert("request-attempt".to_string(), attempt);
    head
}

pub(super) fn kind_of(error: ExchangeError) -> ErrorKind {
    match error {
        ExchangeError::Malformed => ErrorKind::TargetFault,
        ExchangeError::TimedOut => ErrorKind::TargetSilent,
        ExchangeError::Unreachable | ExchangeError::Truncated => ErrorKind::TargetLost,
    }
}
