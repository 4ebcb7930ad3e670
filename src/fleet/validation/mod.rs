//! Validation of fleet documents: reports every fault and every warning.

mod account_checks;
mod class_checks;
mod document_checks;
mod name_checks;
mod reach_warnings;
mod roster_checks;
mod target_checks;
mod untyped_checks;
mod version_comparison;

use crate::json::DocumentFault;

use super::FleetDocument;

pub(crate) use untyped_checks::duplicate_names;
pub(crate) use version_comparison::DocumentChange;
pub(crate) use version_comparison::compare_documents;

/// Returns the faults for which the document is rejected.
pub(super) fn validate_document(document: &FleetDocument) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    document_checks::check(document, &mut faults);
    roster_checks::check(document, &mut faults);
    target_checks::check(document, &mut faults);
    class_checks::check(document, &mut faults);
    account_checks::check(document, &mut faults);
    faults
}

/// Returns the probable mistakes in a valid document.
pub(super) fn document_warnings(document: &FleetDocument) -> Vec<DocumentFault> {
    reach_warnings::warnings(document)
}
