//! Second filter: the request's class, id, attempt, deadline and length.

use std::time::Duration;

use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::errors::ErrorKind;
use crate::fleet::CompiledAccount;
use crate::fleet::CompiledClass;
use crate::fleet::FleetLimits;
use crate::fleet::FleetView;
use crate::http::RequestHead;
use crate::ids::AccountName;
use crate::ids::AttemptNumber;
use crate::ids::ClassName;
use crate::ids::RequestId;
use crate::ids::TierRank;
use crate::ids::TokenCount;

/// The longest deadline that a caller may request: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// A request with everything known from its head, before the body is read.
#[derive(Clone, Debug)]
pub(crate) struct ClassifiedRequest {
    /// The head as received.
    pub(crate) head: RequestHead,
    /// The account that sent the request.
    pub(crate) account: AccountName,
    /// The account's weight.
    pub(crate) weight: u32,
    /// The request's class.
    pub(crate) class: ClassName,
    /// The class's tier.
    pub(crate) tier: TierRank,
    /// Whether the call may safely run more than once.
    pub(crate) idempotent: bool,
    /// The request id.
    pub(crate) id: RequestId,
    /// The attempt number.
    pub(crate) attempt: AttemptNumber,
    /// When the complete answer is due, on the boot clock.
    pub(crate) deadline: Duration,
    /// The class's expected prompt length.
    pub(crate) expected_prompt: TokenCount,
    /// The expected length of the answer.
    pub(crate) expected_output: TokenCount,
    /// Maximum size of the body, in bytes.
    pub(crate) max_body_bytes: u64,
    /// Whether a peer forwarded the request.
    pub(crate) forwarded: bool,
}

/// Classifies a request by its head.
///
/// # Errors
///
/// `UnknownClass`, `BadRequestId`, `RequestIdOutOfWindow` or `BadRequestHeader`.
pub(crate) fn classify_request(
    view: &FleetView,
    account: &CompiledAccount,
    head: RequestHead,
) -> Result<ClassifiedRequest, ErrorKind> {
    let class = view
        .class_for_request(&head.method, &head.path, head.header("request-class"))
        .ok_or(ErrorKind::UnknownClass)?;
    let rule = &class.rule;
    let id = read_id(&head, class, &view.document().limits)?;
    let attempt = read_number(&head, "request-attempt", 1, u64::from(u32::MAX))?.unwrap_or(1);
    let deadline_ms = read_number(&head, "request-deadline-ms", 1, MAX_DEADLINE_MS)?;
    let output = read_number(&head, "expected-tokens", 0, u64::from(u32::MAX))?;
    let deadline = Duration::from_millis(deadline_ms.unwrap_or(rule.deadline_ms));
    Ok(ClassifiedRequest {
        account: account.account.name.clone(),
        weight: account.account.weight,
        class: rule.name.clone(),
        tier: rule.tier,
        idempotent: rule.idempotent,
        id,
        attempt: attempt as AttemptNumber,
        deadline: boot_now() + deadline,
        expected_prompt: rule.expected_prompt_tokens,
        expected_output: output.map_or(rule.expected_output_tokens, |count| count as TokenCount),
        max_body_bytes: rule.max_body_bytes,
        forwarded: false,
        head,
    })
}

/// Reads the request id, or generates one if the class is idempotent.
///
/// Every host refuses an id from outside the window: seats forget older ids, so an old
/// one could be granted a second time.
fn read_id(
    head: &RequestHead,
    class: &CompiledClass,
    limits: &FleetLimits,
) -> Result<RequestId, ErrorKind> {
    let now = unix_now();
    let Some(text) = head.header("request-id") else {
        return match class.rule.idempotent {
            true => Ok(RequestId::generate(now)),
            false => Err(ErrorKind::BadRequestId),
        };
    };
    let id: RequestId = text.parse().map_err(|_| ErrorKind::BadRequestId)?;
    let oldest = now.saturating_sub(limits.claim_window_ms);
    let newest = now.saturating_add(limits.clock_skew_ms);
    match (oldest..=newest).contains(&id.time()) {
        true => Ok(id),
        false => Err(ErrorKind::RequestIdOutOfWindow),
    }
}

fn read_number(
    head: &RequestHead,
    name: &str,
    min: u64,
    max: u64,
) -> Result<Option<u64>, ErrorKind> {
    let Some(text) = head.header(name) else {
        return Ok(None);
    };
    let number: u64 = text.parse().map_err(|_| ErrorKind::BadRequestHeader)?;
    match (min..=max).contains(&number) {
        true => Ok(Some(number)),
        false => Err(ErrorKind::BadRequestHeader),
    }
}
