//! Third and fourth filters: the account's rate limit, then admission to the queue.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::boot_now;
use crate::controllers::WorkSource;
use crate::controllers::WorkTicket;
use crate::errors::ErrorKind;
use crate::fleet::FleetView;
use crate::ids::TokenCount;
use crate::policy::WorkItem;

use super::ClassifiedRequest;
use super::HostState;
use super::RequestRefusal;

/// Body bytes per token, to estimate the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Number of leading body bytes that are hashed as the prefix: a system prompt of some
/// 256 tokens.
const PREFIX_BYTES: usize = 1024;
/// The time to first token that the top tier aims for, as stated for replays. No decision depends on
/// it.
const FIRST_TOKEN_GOAL: Duration = Duration::from_millis(1200);

/// Counts a request against its account's rate limit.
///
/// # Errors
///
/// `AccountLimit`, with the time after which the next request is admitted.
pub(crate) fn limit_account(
    host: &HostState,
    request: &ClassifiedRequest,
) -> Result<(), RequestRefusal> {
    // A forwarded request was counted by the peer that received it.
    if request.forwarded {
        return Ok(());
    }
    host.limiter
        .take(&request.account, boot_now())
        .map_err(|wait| RequestRefusal {
            kind: ErrorKind::AccountLimit,
            retry_after: Some(wait),
        })
}

/// Puts a request into the host's queue.
///
/// # Errors
///
/// `HostLeaving` or `NoTarget`.
pub(crate) fn enqueue_request(
    host: &HostState,
    view: &FleetView,
    request: &ClassifiedRequest,
    body: &[u8],
    source: WorkSource,
) -> Result<WorkTicket, RequestRefusal> {
    // Guards against waiting forever: a host without a seat has no share of any slot,
    // and after two roster changes no seat answers for the id any more.
    if host.drain.is_leaving() || !view.has_seat(&host.host) {
        return Err(RequestRefusal::of(ErrorKind::HostLeaving));
    }
    let class = view.class(&request.class);
    let account = view.account(&request.account);
    let allowed = match (class, account) {
        (Some(class), Some(account)) => view.allowed_targets(class, account),
        _ => Arc::default(),
    };
    if allowed.is_empty() {
        return Err(RequestRefusal::of(ErrorKind::NoTarget));
    }
    Ok(host.work.submit(source, |work| WorkItem {
        work,
        tier: request.tier,
        account: request.account.clone(),
        weight: request.weight,
        class: request.class.clone(),
        prompt_tokens: prompt_length(request, body),
        output_tokens: request.expected_output,
        prefix: prefix_hash(body),
        deadline: request.deadline,
        first_token_goal: (request.tier == 0).then(|| boot_now() + FIRST_TOKEN_GOAL),
        allowed,
    }))
}

/// Estimates the length of a prompt.
pub(super) fn prompt_length(request: &ClassifiedRequest, body: &[u8]) -> TokenCount {
    let estimate = (body.len() / BYTES_PER_TOKEN) as TokenCount;
    estimate.max(request.expected_prompt)
}

/// Hashes the beginning of a prompt; the value is the same on all hosts.
pub(super) fn prefix_hash(body: &[u8]) -> u64 {
    xxh3_64(&body[..body.len().min(PREFIX_BYTES)])
}
