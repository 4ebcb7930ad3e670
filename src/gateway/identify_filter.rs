//! First filter: the client account that sent the request.

use crate::errors::ErrorKind;
use crate::fleet::CompiledAccount;
use crate::fleet::FleetView;
use crate::http::RequestHead;

const BEARER_SCHEME: &str = "Bearer ";

/// Returns the account of a request by its bearer token; runs before the body is read.
///
/// # Errors
///
/// `UnknownAccount`.
pub(crate) fn identify_account<'v>(
    view: &'v FleetView,
    head: &RequestHead,
) -> Result<&'v CompiledAccount, ErrorKind> {
    let credentials = head
        .header("authorization")
        .ok_or(ErrorKind::UnknownAccount)?;
    let token = credentials
        .strip_prefix(BEARER_SCHEME)
        .ok_or(ErrorKind::UnknownAccount)?;
    view.account_by_token(token.trim())
        .ok_or(ErrorKind::UnknownAccount)
}
