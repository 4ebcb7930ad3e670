//! The head of an answer, as filters build it and hosts send it to their peers.

use serde::Deserialize;
use serde::Serialize;

use super::HeaderMap;

/// An answer's status and header fields.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderMap,
    /// The length of the body in bytes; `None` for a streamed body.
    pub length: Option<u64>,
}
