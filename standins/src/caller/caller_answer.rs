//! What a caller gets.

use std::fmt;
use std::time::Duration;

/// One answer with its framing checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers in the order in which they came.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing declares. A body that
    /// declares none is not whole.
    pub is_complete: bool,
    /// Whether the connection may be used again.
    pub keeps_alive: bool,
    /// The time from the send to the head.
    pub head_after: Duration,
    /// The times from the send to each piece of the body.
    pub pieces_after: Vec<Duration>,
}

impl CallerAnswer {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns `Request-Outcome`, or nothing at all.
    pub fn outcome(&self) -> &str {
        self.header("Request-Outcome").unwrap_or_default()
    }

    /// Returns when the caller may come back.
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

/// Why there is no answer at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerError {
    /// The host refused the connection.
    Refused,
    /// The connection ended before the head of an answer had come.
    Cut,
    /// The head of the answer is not well-formed.
    Malformed,
    /// No whole answer came in the client's time.
    TimedOut,
}

impl fmt::Display for CallerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Refused => "the connection was refused",
            Self::Cut => "the connection ended before an answer",
            Self::Malformed => "the answer is not well-formed",
            Self::TimedOut => "no answer in time",
        })
    }
}

impl std::error::Error for CallerError {}
