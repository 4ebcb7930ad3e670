//! Validation of settings.

use std::net::SocketAddr;

use crate::json::DocumentFault;

use super::HostSettings;

/// The key in the default settings, which is public.
const DEFAULT_PEER_KEY: &str = "change-me";

/// Least memory of a host, in MiB: with less, a quarter of it has no room for a large body.
const MIN_MEMORY_MB: usize = 32;

/// Returns the faults for which the settings are rejected.
pub(super) fn check_settings(settings: &HostSettings) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    check_texts(settings, &mut faults);
    check_platform(settings, &mut faults);
    check_listen_addresses(settings, &mut faults);
    if settings.memory_mb < MIN_MEMORY_MB {
        let message = format!("must be at least {MIN_MEMORY_MB}");
        faults.push(DocumentFault::new("memory_mb", message));
    }
    faults
}

/// Returns the probable mistakes in valid settings.
pub fn settings_warnings(settings: &HostSettings) -> Vec<DocumentFault> {
    let mut warnings = Vec::new();
    if settings.peer_key == DEFAULT_PEER_KEY {
        let message = "is the default, which is public";
        warnings.push(DocumentFault::new("peer_key", message));
    }
    warnings
}

fn check_texts(settings: &HostSettings, faults: &mut Vec<DocumentFault>) {
    let texts = [
        ("host", Some(&settings.host)),
        ("availability_zone", Some(&settings.availability_zone)),
        ("scope", Some(&settings.scope)),
        ("peer_key", Some(&settings.peer_key)),
        ("trace_file", settings.trace_file.as_ref()),
    ];
    for (path, text) in texts {
        if text.is_some_and(|text| text.trim().is_empty()) {
            faults.push(DocumentFault::new(path, "must not be empty"));
        }
    }
    if settings.scope.contains(['/', '?', '#', ' ']) {
        let message = "must be a single path segment without `/`, `?`, `#` or spaces";
        faults.push(DocumentFault::new("scope", message));
    }
}

fn check_platform(settings: &HostSettings, faults: &mut Vec<DocumentFault>) {
    if settings.platform_addresses.is_empty() {
        let message = "must not be empty: the host could not read the fleet document";
        faults.push(DocumentFault::new("platform_addresses", message));
    }
    let remote = [
        ("platform_addresses", &settings.platform_addresses),
        ("peer_addresses", &settings.peer_addresses),
    ];
    for (list, addresses) in remote {
        for (index, address) in addresses.iter().enumerate() {
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("`{address}` is not an address to connect to");
                faults.push(DocumentFault::new(format!("{list}[{index}]"), message));
            }
        }
    }
}

/// Checks that the listening addresses differ: of two listeners on one address the
/// second would fail to bind, or operators' pages would be exposed to callers.
fn check_listen_addresses(settings: &HostSettings, faults: &mut Vec<DocumentFault>) {
    let listen = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("operator_address", settings.operator_address),
    ];
    for (index, (path, address)) in listen.iter().enumerate() {
        for (earlier_path, earlier) in &listen[..index] {
            if overlap(*earlier, *address) {
                let message = format!("`{address}` overlaps `{earlier_path}` ({earlier})");
                faults.push(DocumentFault::new(*path, message));
            }
        }
    }
}

/// Returns whether two listening addresses overlap. Port 0 requests any free port, so
/// it never overlaps.
fn overlap(left: SocketAddr, right: SocketAddr) -> bool {
    let is_same_ip =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && is_same_ip
}
