//! Where a response comes from: from a target, or from the peer that a request was forwarded to.

use super::target_call::CallError;
use super::target_call::TargetCall;
use crate::errors::ErrorKind;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::peers::ForwardedHead;
use crate::peers::PeerReply;
use crate::peers::PeerStream;
use crate::peers::ResponsePart;
use crate::wire::BodyFraming;
use crate::wire::MessageHeaders;
use crate::wire::ResponseMessage;

/// A response whose head was read.
pub(crate) enum ResponseSource {
    Target(TargetCall),
    Peer(PeerResponse),
}

/// The response of a peer to a forwarded request.
pub(crate) struct PeerResponse {
    stream: PeerStream,
    head: ResponseMessage,
    declared: BodyFraming,
    /// The target that responded.
    pub(crate) responder: TargetName,
    /// The version of its software.
    pub(crate) version: SoftwareVersion,
    /// Bytes that came with the head.
    received: Vec<u8>,
    is_complete: bool,
}

/// What a peer answered instead of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardError {
    /// The peer's answer to the request; a status of 503 confirms that it did not run.
    Refused {
        kind: ErrorKind,
        retry_after_ms: Option<u64>,
    },
    /// The peer, or the link to it, was lost; the request may have run.
    Lost,
}

impl PeerResponse {
    /// Reads the head of the response.
    ///
    /// # Errors
    ///
    /// The peer refused the request, or was lost.
    pub(crate) async fn read_head(mut stream: PeerStream) -> Result<Self, ForwardError> {
        match stream.next().await {
            Ok(Some(PeerReply::ResponsePart(ResponsePart {
                head: Some(head),
                body,
                ends,
            }))) => Ok(Self {
                declared: match head.is_open {
                    true => BodyFraming::UntilClose,
                    false => BodyFraming::Chunked,
                },
                responder: head.responder.clone(),
                version: head.version.clone(),
                head: message_of(head),
                received: body.to_vec(),
                is_complete: ends,
                stream,
            }),
            Ok(Some(PeerReply::Refused {
                kind,
                retry_after_ms,
            })) => Err(ForwardError::Refused {
                kind,
                retry_after_ms,
            }),
            Ok(_) | Err(_) => Err(ForwardError::Lost),
        }
    }

    pub(crate) const fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns how the target declares the end of the body.
    pub(crate) const fn declared(&self) -> BodyFraming {
        self.declared
    }

    async fn read_body(&mut self, output: &mut Vec<u8>) -> Result<bool, CallError> {
        if !self.is_complete && self.received.is_empty() {
            match self.stream.next().await {
                Ok(Some(PeerReply::ResponsePart(part))) if part.head.is_none() => {
                    self.received = part.body.to_vec();
                    self.is_complete = part.ends;
                }
                // The response is complete only if the peer confirms it.
                Ok(_) | Err(_) => return Err(CallError::ConnectionClosed),
            }
        }
        output.append(&mut self.received);
        Ok(self.is_complete)
    }
}

impl ResponseSource {
    pub(crate) const fn head(&self) -> &ResponseMessage {
        match self {
            Self::Target(call) => &call.head,
            Self::Peer(response) => &response.head,
        }
    }

    /// Returns how the target declares the end of the body.
    pub(crate) const fn declared(&self) -> BodyFraming {
        match self {
            Self::Target(call) => call.framing,
            Self::Peer(response) => response.declared,
        }
    }

    /// Returns whether the end of the response is not declared by its sender. A peer sends it
    /// only when it is certain.
    pub(crate) fn leaves_end_open(&self) -> bool {
        matches!(self, Self::Target(call) if call.framing == BodyFraming::UntilClose)
    }

    /// Returns whether the connection to the target was reset.
    pub(crate) fn was_reset(&self) -> bool {
        matches!(self, Self::Target(call) if call.was_reset())
    }

    /// Appends more of the body to `output`; returns whether the body is complete. This function
    /// is cancel safe.
    ///
    /// # Errors
    ///
    /// The body is truncated or malformed.
    pub(crate) async fn read_body(&mut self, output: &mut Vec<u8>) -> Result<bool, CallError> {
        match self {
            Self::Target(call) => call.read_body(output).await,
            Self::Peer(response) => response.read_body(output).await,
        }
    }
}

fn message_of(head: ForwardedHead) -> ResponseMessage {
    ResponseMessage {
        status: head.status,
        is_http10: false,
        headers: MessageHeaders::from_lines(head.headers),
    }
}
