//! Responses that the host generates itself.

use std::time::Duration;

use crate::errors::ErrorKind;
use crate::wire::WireError;

/// Why the host answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EdgeRefusal {
    /// The error, which determines the status.
    pub(crate) kind: ErrorKind,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

impl EdgeRefusal {
    /// Creates a refusal with a retry delay.
    pub(crate) const fn after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a refusal that many callers may get at once: each is told a delay in the second half
    /// of `longest`.
    pub(crate) fn spread(kind: ErrorKind, longest: Duration) -> Self {
        Self::after(kind, longest.mul_f64(rand::random_range(0.5..1.0)))
    }

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
