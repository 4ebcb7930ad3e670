//! Errors of calls to peers.

use derive_more::Display;
use derive_more::Error;
use h2::Reason;

use crate::ids::HostName;

/// Why a call to a peer, or a connection to it, failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No address of this host is known.
    #[display("no address of host {host} is known")]
    UnknownHost {
        /// The host that was called.
        host: HostName,
    },
    /// There is no connection to the host at the moment; nothing was sent.
    #[display("not connected")]
    NotConnected,
    /// The limit of concurrent streamed calls to this peer is reached; nothing was sent.
    #[display("too many streamed calls to this peer")]
    TooManyCalls,
    /// The peer refused the connection or could not be reached.
    #[display("unreachable: {reason}")]
    Unreachable {
        /// The error of the operating system.
        reason: String,
    },
    /// No reply arrived within the timeout; the call may have taken effect.
    #[display("no reply in time")]
    TimedOut,
    /// The connection was closed or went silent; the call may have taken effect.
    #[display("the connection was lost")]
    ConnectionLost,
    /// The peer reset the call before its reply was complete.
    #[display("the peer abandoned the call")]
    CallAbandoned,
    /// The peer ended the stream without any reply.
    #[display("the peer sent no reply")]
    NoReply,
    /// The peer has another key, or is not a peer at all.
    #[display("the peer did not prove possession of the key")]
    NotAuthentic,
    /// The peer speaks another version of the protocol.
    #[display("the peer speaks protocol version {theirs}")]
    UnknownVersion {
        /// The peer's version.
        theirs: u16,
    },
    /// The host at the address is not the one that the roster names.
    #[display("host {found} answers at this address")]
    WrongHost {
        /// The host that answered.
        found: HostName,
    },
    /// A message exceeds the size limit.
    #[display("the message exceeds the size limit")]
    MessageTooLarge,
    /// A message could not be decoded.
    #[display("the message could not be decoded")]
    MalformedMessage,
}

impl From<h2::Error> for PeerError {
    fn from(error: h2::Error) -> Self {
        if !error.is_reset() {
            return Self::ConnectionLost;
        }
        match error.reason() {
            Some(Reason::FRAME_SIZE_ERROR) => Self::MessageTooLarge,
            Some(Reason::PROTOCOL_ERROR) => Self::MalformedMessage,
            _ => Self::CallAbandoned,
        }
    }
}

impl From<std::io::Error> for PeerError {
    fn from(error: std::io::Error) -> Self {
        Self::Unreachable {
            reason: error.to_string(),
        }
    }
}

impl From<async_std::future::TimeoutError> for PeerError {
    fn from(_: async_std::future::TimeoutError) -> Self {
        Self::TimedOut
    }
}
