//! Parsing of fleet documents.

use crate::json::DocumentFault;
use crate::json::read_document;

use super::FleetDocument;

/// Parses a fleet document from JSON. The content is validated by
/// [`FleetView::compile`](super::FleetView::compile).
///
/// # Errors
///
/// Returns every schema fault, each with its JSON path and a suggestion for a
/// misspelt name. A syntax error is returned alone.
pub fn parse_document(text: &str) -> Result<FleetDocument, Vec<DocumentFault>> {
    read_document(text)
}
