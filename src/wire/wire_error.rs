//! What can be wrong with a message.

use derive_more::Display;
use derive_more::Error;

/// What can be wrong with a message.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum WireError {
    /// The message breaks HTTP/1.1, or its framing can be read in two ways.
    #[display("malformed message")]
    Malformed,
    /// The head is larger than the bound.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than the bound.
    #[display("body too large")]
    BodyTooLarge,
    /// The connection ended before the message did.
    #[display("cut")]
    Truncated,
    /// No byte came in the time given.
    #[display("no byte in time")]
    TimedOut,
}
