//! Parsing of settings files.

use std::fs;
use std::path::Path;

use crate::json::DocumentFault;
use crate::json::read_document;
use crate::json::strip_comments;

use super::HostSettings;
use super::settings_checks::check_settings;

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns every fault; an unreadable file is one fault at `.`.
pub fn read_settings(path: &Path) -> Result<HostSettings, Vec<DocumentFault>> {
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("can't read {}: {error}", path.display());
        vec![DocumentFault::new(".", message)]
    })?;
    parse_settings(&text)
}

/// Parses and validates the text of a settings file, which may contain comments.
///
/// # Errors
///
/// Returns every schema fault or, if there is none, every semantic fault.
pub fn parse_settings(text: &str) -> Result<HostSettings, Vec<DocumentFault>> {
    let stripped = strip_comments(text).map_err(|fault| vec![fault])?;
    let settings: HostSettings = read_document(&stripped)?;
    let faults = check_settings(&settings);
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}
