//! Validation of the client accounts.

use crate::fleet::ClientAccount;
use crate::fleet::FleetDocument;
use crate::fleet::reserved_labels::RESERVED_REQUEST_KEYS;
use crate::json::DocumentFault;

use super::name_checks::check_labels;
use super::name_checks::check_name;
use super::name_checks::check_unique;

/// The number of hexadecimal digits of a SHA-256.
const HASH_HEX_DIGITS: usize = 64;

/// The SHA-256 of the empty string. An account with this hash would be open to any
/// caller that presents an empty token.
const EMPTY_TOKEN_HASH: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Checks every account.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    for (index, account) in document.accounts.iter().enumerate() {
        check_account(&format!("accounts[{index}]"), account, faults);
    }
    let names = document
        .accounts
        .iter()
        .map(|account| account.name.as_str());
    check_unique(names, |index| format!("accounts[{index}].name"), faults);
    let hashes: Vec<String> = document
        .accounts
        .iter()
        .map(|account| account.token_sha256.to_ascii_lowercase())
        .collect();
    check_unique(
        hashes.iter().map(String::as_str),
        |index| format!("accounts[{index}].token_sha256"),
        faults,
    );
}

fn check_account(path: &str, account: &ClientAccount, faults: &mut Vec<DocumentFault>) {
    check_name(&format!("{path}.name"), &account.name, faults);
    check_labels(
        &format!("{path}.labels"),
        &account.labels,
        RESERVED_REQUEST_KEYS,
        faults,
    );
    if let Some(message) = hash_error(&account.token_sha256) {
        faults.push(DocumentFault::new(format!("{path}.token_sha256"), message));
    }
    if account.weight == 0 {
        faults.push(DocumentFault::new(
            format!("{path}.weight"),
            "must be 1 or more: the account would never be served",
        ));
    }
    if account.requests_per_second == Some(0) {
        faults.push(DocumentFault::new(
            format!("{path}.requests_per_second"),
            "must be 1 or more; leave it out for no limit",
        ));
    }
    check_burst(path, account, faults);
}

fn check_burst(path: &str, account: &ClientAccount, faults: &mut Vec<DocumentFault>) {
    let message = match (account.burst, account.requests_per_second) {
        (Some(0), _) => "must be 1 or more",
        (Some(_), None) => "needs `requests_per_second`: without a rate nothing limits the burst",
        _ => return,
    };
    faults.push(DocumentFault::new(format!("{path}.burst"), message));
}

fn hash_error(hash: &str) -> Option<&'static str> {
    let is_hash = hash.len() == HASH_HEX_DIGITS
        && hash.chars().all(|character| character.is_ascii_hexdigit());
    if !is_hash {
        return Some("must be the 64 hexadecimal digits of the token's SHA-256");
    }
    if hash.eq_ignore_ascii_case(EMPTY_TOKEN_HASH) {
        return Some("is the SHA-256 of an empty token");
    }
    None
}
