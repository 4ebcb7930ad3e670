//! Validation of the document's version and limits.

use crate::fleet::FleetDocument;
use crate::json::DocumentFault;

/// Checks the version and the limits.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    check_version(document, faults);
    check_limits(document, faults);
}

fn check_version(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    if document.version == 0 {
        faults.push(DocumentFault::new("version", "must be 1 or more"));
    }
    let is_based_on_later = document
        .edited_from
        .is_some_and(|edited_from| edited_from >= document.version);
    if is_based_on_later {
        faults.push(DocumentFault::new(
            "edited_from",
            "must be below `version`, since versions only increase",
        ));
    }
}

fn check_limits(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    let limits = &document.limits;
    if limits.claim_window_ms == 0 {
        faults.push(DocumentFault::new(
            "limits.claim_window_ms",
            "must be 1 or more: seats would not retain any request id",
        ));
    }
    if limits.clock_skew_ms >= limits.claim_window_ms {
        faults.push(DocumentFault::new(
            "limits.clock_skew_ms",
            "must be below `claim_window_ms`: every request id would be outside the window",
        ));
    }
    if limits.max_waiting == 0 {
        faults.push(DocumentFault::new(
            "limits.max_waiting",
            "must be 1 or more: no request could wait for a slot",
        ));
    }
}
