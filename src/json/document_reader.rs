//! Deserialization of JSON documents with a report of all schema faults.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;
use serde_json::error::Category;

use super::DocumentFault;
use super::fault_collector::collect_faults;

/// Replaces comments with spaces, so that lines and columns are preserved.
///
/// # Errors
///
/// Returns a fault for an unterminated comment.
pub(crate) fn strip_comments(text: &str) -> Result<String, DocumentFault> {
    let mut stripped = String::with_capacity(text.len());
    StripComments::new(text.as_bytes())
        .read_to_string(&mut stripped)
        .map_err(|error| DocumentFault::new(".", format!("a comment is not closed: {error}")))?;
    Ok(stripped)
}

/// Deserializes a typed document.
///
/// # Errors
///
/// Returns either one syntax error or all schema faults (unknown and missing fields,
/// wrong types).
pub(crate) fn read_document<T: DeserializeOwned>(text: &str) -> Result<T, Vec<DocumentFault>> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    let error = match serde_path_to_error::deserialize(&mut *deserializer) {
        Ok(document) => return require_end(deserializer, document),
        Err(error) => error,
    };
    let first = DocumentFault::new(error.path().to_string(), error.inner().to_string());
    if error.inner().classify() != Category::Data {
        return Err(vec![first]);
    }
    // A syntax error further on in the text has to be fixed first.
    let value = serde_json::from_str(text)
        .map_err(|error| vec![DocumentFault::new(".", error.to_string())])?;
    let faults = collect_faults::<T>(value);
    // The untyped value drops duplicate fields, so only the first pass detects them.
    if faults.is_empty() || first.message.starts_with("duplicate field") {
        return Err([vec![first], faults].concat());
    }
    Err(faults)
}

/// Rejects text after the document, which is usually a second document.
fn require_end<'a, T>(
    deserializer: &mut serde_json::Deserializer<serde_json::de::StrRead<'a>>,
    document: T,
) -> Result<T, Vec<DocumentFault>> {
    match deserializer.end() {
        Ok(()) => Ok(document),
        Err(error) => Err(vec![DocumentFault::new(".", error.to_string())]),
    }
}
