//! Answers as a client receives them.

use std::fmt;
use std::time::Duration;

/// An answer whose framing has been checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers in the order received.
    pub headers: Vec<(String, String)>,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the body reached the end that its framing declares. A body without declared
    /// framing is never complete.
    pub is_complete: bool,
    /// Whether the connection can carry another request.
    pub reusable: bool,
    /// The time from sending the request to receiving the head.
    pub head_time: Duration,
    /// The times from sending the request to receiving each chunk of the body.
    pub chunk_times: Vec<Duration>,
}

impl CallerAnswer {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the `Request-Outcome` header, or an empty string.
    pub fn outcome(&self) -> &str {
        self.header("Request-Outcome").unwrap_or_default()
    }

    /// Returns the delay after which the request may be sent again, in milliseconds where the
    /// answer gives them and in seconds otherwise.
    pub fn retry_after(&self) -> Option<Duration> {
        let millis = self
            .header("Retry-After-Ms")
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        let seconds = || {
            let text = self.header("Retry-After")?;
            text.parse().ok().map(Duration::from_secs)
        };
        millis.or_else(seconds)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerError {
    /// The host refused the connection.
    Refused,
    /// The connection closed before the head of an answer was received.
    Closed,
    /// The head or framing of the answer is malformed.
    Malformed,
    /// No complete answer arrived within the client's timeout.
    TimedOut,
}

impl fmt::Display for CallerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Refused => "connection refused",
            Self::Closed => "connection closed before an answer",
            Self::Malformed => "malformed answer",
            Self::TimedOut => "timed out waiting for a complete answer",
        })
    }
}

impl std::error::Error for CallerError {}
