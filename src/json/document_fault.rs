//! Faults of a document, reported so that its author can fix them.

use std::fmt;

use derive_more::Error;
use serde::Serialize;

/// The minimum Jaro-Winkler similarity (0 to 1) of a suggested name. Suggestions
/// below it are more often wrong than right for short field names.
const MIN_SIMILARITY: f64 = 0.8;

/// A fault at one path of a JSON document.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
pub struct DocumentFault {
    /// The JSON path, such as `targets[3].accepts`; `.` denotes the whole document.
    pub path: String,
    /// The description of the fault.
    pub message: String,
    /// The name that was probably intended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub suggestion: Option<String>,
}

impl DocumentFault {
    /// Creates a fault without a suggestion.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
            suggestion: None,
        }
    }

    /// Adds the candidate most similar to `name` as a suggestion, if any is similar enough.
    pub fn with_suggestion<'a>(
        mut self,
        name: &str,
        candidates: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        self.suggestion = closest(name, candidates).map(String::from);
        self
    }
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(formatter, " (did you mean `{suggestion}`?)"),
            None => Ok(()),
        }
    }
}

/// Returns the candidate most similar to `name`, if any is similar enough.
fn closest<'a>(name: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, candidate)| *similarity >= MIN_SIMILARITY && *candidate != name)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}
