//! Checks of a document that violates the schema, so that what does not depend on the fault is
//! reported in the same run.

use serde_json::Value;

use crate::json::DocumentFault;

use super::name_checks::check_unique;

/// Lists of named entries, in the order of the document.
const NAMED_LISTS: [&str; 3] = ["targets", "classes", "accounts"];

/// Returns the entries of a document, given as JSON, whose names are used before.
pub(crate) fn duplicate_names(text: &str) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    let Ok(document) = serde_json::from_str::<Value>(text) else {
        return faults;
    };
    for list in NAMED_LISTS {
        let entries = document.get(list).and_then(Value::as_array);
        let names = entries.into_iter().flatten().map(|entry| {
            let name = entry.get("name").and_then(Value::as_str);
            name.unwrap_or_default()
        });
        check_unique(names, |index| format!("{list}[{index}].name"), &mut faults);
    }
    faults
}
