//! Charges requests to the quotas of their accounts.

use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::route_filter::RoutedRequest;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::policy::retry_advice;
use crate::quota::PriorityClass;
use crate::quota::QuotaDecision;
use crate::quota::QuotaRequest;

/// Charges a request to its account's quota.
///
/// # Errors
///
/// The refusal and the cost of the request.
pub(crate) fn consume_quota(
    state: &EdgeState,
    routed: &RoutedRequest,
) -> Result<(), (EdgeRefusal, f64)> {
    let Some(account) = &routed.account else {
        return Ok(());
    };
    let cost = match (account.counts_tokens, routed.usage) {
        (true, Some(usage)) => usage.prompt.saturating_add(usage.output),
        (true, None) => account.plain_tokens,
        (false, _) => 1,
    };
    let cost = cost as f64;
    let request = QuotaRequest {
        priority_class: PriorityClass {
            tier: routed.priority.route,
            metered: account.counts_tokens && routed.usage.is_some(),
        },
        cost,
    };
    let verdict = state
        .quota_limiter()
        .try_consume(account, request, boot_now(), rand::random());
    match verdict {
        QuotaDecision::Admitted => Ok(()),
        QuotaDecision::Rejected { retry_after } => {
            let wait = retry_advice(retry_after, rand::random());
            Err((EdgeRefusal::after(ErrorKind::AccountLimit, wait), cost))
        }
    }
}
