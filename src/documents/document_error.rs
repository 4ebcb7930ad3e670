//! Why the platform gave no usable answer.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Why a read of the platform failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DocumentError {
    /// No connection, or it ended early.
    #[display("unreachable: {reason}")]
    Unreachable {
        /// What the system said.
        reason: String,
    },
    /// No whole answer came in time.
    #[display("no answer in time")]
    TimedOut,
    /// The platform is over its limit or down.
    #[display("refused with status {status}")]
    Refused {
        /// The HTTP status: 429 or 5xx.
        status: u16,
        /// How long the platform asks to wait.
        retry_after: Option<Duration>,
    },
    /// The platform has no document of this scope.
    #[display("the platform has no such document")]
    UnknownScope,
    /// The body is shorter or longer than declared, or not framed at all.
    #[display("the body does not match its declared length")]
    WrongLength,
    /// The body is larger than the platform's values may be.
    #[display("the body is larger than the bound")]
    BodyTooLarge,
    /// The answer breaks HTTP or the platform's format.
    #[display("malformed answer: {reason}")]
    Malformed {
        /// What is wrong with it.
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
