//! Errors of platform reads.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// The reason that a read from the platform failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// The connection failed or was closed early.
    #[display("unreachable: {reason}")]
    Unreachable {
        /// The message of the I/O error.
        reason: String,
    },
    /// No complete answer arrived before the timeout.
    #[display("no answer in time")]
    TimedOut,
    /// The platform is rate-limiting or unavailable.
    #[display("refused with status {status}")]
    Refused {
        /// The HTTP status: 429 or 5xx.
        status: u16,
        /// The delay before the next attempt that the platform asks for.
        retry_after: Option<Duration>,
    },
    /// The platform has no document for this scope.
    #[display("the platform has no such document")]
    UnknownScope,
    /// The body is shorter or longer than declared, or its length is not declared at all.
    #[display("the body does not match its declared length")]
    LengthMismatch,
    /// The body exceeds the maximum size of a value on the platform.
    #[display("the body is larger than the limit")]
    BodyTooLarge,
    /// The answer violates HTTP or the platform's format.
    #[display("malformed answer: {reason}")]
    Malformed {
        /// The violation.
        reason: String,
    },
}

impl From<std::io::Error> for DocumentError {
    fn from(error: std::io::Error) -> Self {
        Self::Unreachable {
            reason: error.to_string(),
        }
    }
}
