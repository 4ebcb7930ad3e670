//! Counts a request against its account's allowance.

use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use super::route_filter::RoutedRequest;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::spending::SpendVerdict;

/// Counts a request against its account's allowance.
///
/// # Errors
///
/// The refusal and what the request would have counted.
pub(crate) fn spend_allowance(
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
    let verdict = state.allowances().spend(account, cost, boot_now());
    match verdict {
        SpendVerdict::Within => Ok(()),
        SpendVerdict::Beyond(wait) => {
            Err((EdgeRefusal::after(ErrorKind::AccountLimit, wait), cost))
        }
    }
}
