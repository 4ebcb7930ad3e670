//! Syntax errors of selectors.

use derive_more::Display;
use derive_more::Error;

/// A syntax error in a selector.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("at character {position}: {message}")]
pub struct SelectorError {
    /// The position in the text in characters, starting at 1.
    pub position: usize,
    /// The expected and the found text.
    pub message: String,
}
