//! Validation of names, labels, addresses and selectors, shared by all entries.

use std::net::SocketAddr;

use crate::fleet::LabelMap;
use crate::json::DocumentFault;
use crate::selector::LabelSelector;
use crate::selector::is_label_char;

/// The maximum length of a name, key or value in characters: they are sent in
/// headers, metrics and every peer's digest.
const MAX_NAME_LENGTH: usize = 128;

/// Checks that a name can be used in a selector.
pub(super) fn check_name(path: &str, name: &str, faults: &mut Vec<DocumentFault>) {
    if let Some(message) = name_error(name) {
        faults.push(DocumentFault::new(path, message));
    }
}

fn name_error(name: &str) -> Option<String> {
    if name.is_empty() {
        return Some(String::from("must not be empty"));
    }
    if name.chars().count() > MAX_NAME_LENGTH {
        return Some(format!("is longer than {MAX_NAME_LENGTH} characters"));
    }
    let invalid = name.chars().find(|character| !is_label_char(*character))?;
    Some(format!(
        "may contain letters, digits and `_ - . / :`, but not {invalid:?}"
    ))
}

/// Checks that names are unique; `path` returns the path of the entry at an index.
pub(super) fn check_unique<'a>(
    names: impl Iterator<Item = &'a str>,
    path: impl Fn(usize) -> String,
    faults: &mut Vec<DocumentFault>,
) {
    let mut indexed: Vec<(&str, usize)> = names
        .enumerate()
        .map(|(index, name)| (name, index))
        .collect();
    indexed.sort_unstable();
    for pair in indexed.windows(2) {
        let [(name, first), (next, second)] = pair else {
            continue;
        };
        if name == next && !name.is_empty() {
            let message = format!("`{name}` is already used at {}", path(*first));
            faults.push(DocumentFault::new(path(*second), message));
        }
    }
}

/// Checks labels; `reserved` are the keys that the gateway sets itself.
pub(super) fn check_labels(
    path: &str,
    labels: &LabelMap,
    reserved: &[&str],
    faults: &mut Vec<DocumentFault>,
) {
    for (key, value) in labels.iter() {
        let label_path = format!("{path}.{key}");
        if let Some(message) = name_error(key) {
            faults.push(DocumentFault::new(
                &label_path,
                format!("the key {message}"),
            ));
        }
        if let Some(message) = name_error(value) {
            faults.push(DocumentFault::new(
                &label_path,
                format!("the value {message}"),
            ));
        }
        if reserved.contains(&key.as_str()) {
            let message = format!("`{key}` is reserved: the gateway sets it; use another key");
            faults.push(DocumentFault::new(&label_path, message));
        }
    }
}

/// Checks that an address can be connected to.
pub(super) fn check_address(path: &str, address: SocketAddr, faults: &mut Vec<DocumentFault>) {
    if address.port() == 0 || address.ip().is_unspecified() {
        let message = format!("`{address}` is not an address to connect to");
        faults.push(DocumentFault::new(path, message));
    }
}

/// Parses a selector and reports a syntax error.
pub(super) fn check_selector(
    path: &str,
    text: &str,
    faults: &mut Vec<DocumentFault>,
) -> Option<LabelSelector> {
    match text.parse() {
        Ok(selector) => Some(selector),
        Err(error) => {
            faults.push(DocumentFault::new(path, format!("`{text}`: {error}")));
            None
        }
    }
}
