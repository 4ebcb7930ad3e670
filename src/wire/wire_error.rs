//! Errors of reading HTTP messages.

use derive_more::Display;
use derive_more::Error;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum WireError {
    /// The message violates HTTP/1.1, or its framing is ambiguous.
    #[display("malformed message")]
    Malformed,
    /// The head exceeds its maximum size or number of header lines.
    #[display("head too large")]
    HeadTooLarge,
    /// The body exceeds its maximum size.
    #[display("body too large")]
    BodyTooLarge,
    /// The connection was closed before the end of the message.
    #[display("truncated message")]
    Truncated,
    /// No byte arrived within the time limit.
    #[display("timed out")]
    TimedOut,
}
