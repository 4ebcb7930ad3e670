//! An answer of the host's own.

use std::time::Duration;

use crate::errors::ErrorKind;
use crate::wire::WireError;

/// Why the host answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EdgeRefusal {
    /// The kind, which decides the status.
    pub(crate) kind: ErrorKind,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
}

impl EdgeRefusal {
    /// Makes a refusal that says when to come back.
    pub(crate) const fn after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the status.
    pub(crate) fn status(&self) -> u16 {
        self.kind.answer().status
    }
}

impl From<ErrorKind> for EdgeRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

impl From<WireError> for ErrorKind {
    fn from(error: WireError) -> Self {
        match error {
            WireError::Malformed | WireError::Truncated | WireError::TimedOut => {
                Self::MalformedMessage
            }
            WireError::HeadTooLarge => Self::HeadTooLarge,
            WireError::BodyTooLarge => Self::BodyTooLarge,
        }
    }
}
