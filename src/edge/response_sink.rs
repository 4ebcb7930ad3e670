//! Where the response to a request goes: to its caller, or to the peer that forwarded it.

use std::io;

use bytes::Bytes;
use futures_lite::future::poll_once;

use super::caller_connection::CallerConnection;
use super::response_relay::BufferedResponse;
use super::response_writer::ResponseFraming;
use super::response_writer::forwarded_head;
use super::response_writer::stream_framing;
use super::response_writer::write_bytes;
use super::response_writer::write_chunk;
use super::response_writer::write_end;
use crate::dispatch::PlacedTarget;
use crate::ids::SoftwareVersion;
use crate::ids::TargetName;
use crate::peers::ForwardedHead;
use crate::peers::PeerReply;
use crate::peers::ReplySender;
use crate::peers::ResponsePart;
use crate::wire::BodyFraming;
use crate::wire::ResponseMessage;

/// Size of the parts in which a body is sent to a peer, in bytes. Smaller ones let the events of
/// other streams pass in between.
const PART_BYTES: usize = 64 << 10;

/// Head of a streamed response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamHead<'h> {
    pub(crate) message: &'h ResponseMessage,
    /// How the target declares the end.
    pub(crate) declared: BodyFraming,
    /// Whether the request was HTTP/1.0.
    pub(crate) is_http10: bool,
}

/// Where the response to a request goes.
pub(crate) enum ResponseSink<'c> {
    /// To the caller.
    Caller {
        connection: &'c mut CallerConnection,
        /// Framing of the stream that was started.
        framing: Option<ResponseFraming>,
    },
    /// To the peer that forwarded the request.
    Peer {
        /// Absent after the end of the response.
        replies: Option<ReplySender>,
        /// The target that responds.
        responder: TargetName,
        /// The version of its software.
        version: SoftwareVersion,
    },
}

impl<'c> ResponseSink<'c> {
    /// Creates a sink for the caller on `connection`.
    pub(crate) const fn for_caller(connection: &'c mut CallerConnection) -> Self {
        Self::Caller {
            connection,
            framing: None,
        }
    }

    /// Creates a sink for the peer that gets `replies`.
    pub(crate) const fn for_peer(replies: ReplySender) -> Self {
        Self::Peer {
            replies: Some(replies),
            responder: String::new(),
            version: String::new(),
        }
    }

    /// Sets the target that responds from now on.
    pub(crate) fn set_responder(&mut self, target: &PlacedTarget) {
        if let Self::Peer {
            responder, version, ..
        } = self
        {
            responder.clone_from(&target.name);
            version.clone_from(&target.software_version);
        }
    }

    /// Waits until the receiver of the response is gone; never returns otherwise.
    pub(crate) async fn disconnected(&mut self) {
        match self {
            Self::Caller { connection, .. } => connection.disconnected().await,
            Self::Peer { replies, .. } => match replies {
                Some(replies) => replies.closed().await,
                None => std::future::pending().await,
            },
        }
    }

    /// Returns whether the receiver is gone by now. A host that was not scheduled for a while
    /// reads requests whose callers have given up.
    pub(crate) async fn has_disconnected(&mut self) -> bool {
        poll_once(self.disconnected()).await.is_some()
    }

    /// Writes events of a stream, behind its head where that was not written, and the end of the
    /// response if the events `end` it.
    ///
    /// # Errors
    ///
    /// The receiver is gone.
    pub(crate) async fn write_events(
        &mut self,
        head: Option<StreamHead<'_>>,
        events: &[u8],
        ends: bool,
    ) -> io::Result<()> {
        match self {
            Self::Caller {
                connection,
                framing,
            } => {
                let mut output = Vec::with_capacity(events.len() + 512);
                if let Some(head) = head {
                    let chosen = stream_framing(head.is_http10, head.declared);
                    if chosen == ResponseFraming::UntilClose {
                        connection.end_by_close();
                    }
                    output = forwarded_head(head.message, chosen, !connection.reusable);
                    *framing = Some(chosen);
                }
                let framing = framing.unwrap_or(ResponseFraming::UntilClose);
                write_chunk(framing, events, &mut output);
                if ends {
                    write_end(framing, &mut output);
                }
                write_bytes(&connection.stream, &output).await
            }
            Self::Peer {
                replies,
                responder,
                version,
            } => {
                let head =
                    head.map(|head| wire_head(head.message, head.declared, responder, version));
                send_parts(replies, head, events, ends).await
            }
        }
    }

    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// The receiver is gone.
    pub(crate) async fn write_response(&mut self, response: &BufferedResponse) -> io::Result<()> {
        match self {
            Self::Caller { connection, .. } => {
                let framing = match response.declared {
                    BodyFraming::UntilClose => ResponseFraming::UntilClose,
                    BodyFraming::Length(_) | BodyFraming::Chunked => {
                        ResponseFraming::Length(response.body.len())
                    }
                };
                if framing == ResponseFraming::UntilClose {
                    connection.end_by_close();
                }
                let mut output = forwarded_head(&response.head, framing, !connection.reusable);
                output.extend_from_slice(&response.body);
                write_bytes(&connection.stream, &output).await
            }
            Self::Peer {
                replies,
                responder,
                version,
            } => {
                let head = wire_head(&response.head, response.declared, responder, version);
                send_parts(replies, Some(head), &response.body, true).await
            }
        }
    }

    /// Returns the sender of replies to a peer, if the response has not ended.
    pub(crate) fn into_replies(self) -> Option<ReplySender> {
        match self {
            Self::Caller { .. } => None,
            Self::Peer { replies, .. } => replies,
        }
    }
}

fn wire_head(
    message: &ResponseMessage,
    declared: BodyFraming,
    responder: &TargetName,
    version: &SoftwareVersion,
) -> ForwardedHead {
    ForwardedHead {
        status: message.status,
        headers: message.headers.lines().to_vec(),
        is_open: declared == BodyFraming::UntilClose,
        responder: responder.clone(),
        version: version.clone(),
    }
}

/// Sends a part of a response, in messages of bounded size; waits while the peer's caller reads
/// too slowly.
async fn send_parts(
    replies: &mut Option<ReplySender>,
    mut head: Option<ForwardedHead>,
    body: &[u8],
    ends: bool,
) -> io::Result<()> {
    let mut chunks = body.chunks(PART_BYTES).peekable();
    loop {
        let chunk = chunks.next().unwrap_or_default();
        let is_last = chunks.peek().is_none();
        let part = PeerReply::ResponsePart(ResponsePart {
            head: head.take(),
            body: Bytes::copy_from_slice(chunk),
            ends: ends && is_last,
        });
        let sent = match (ends && is_last, replies.as_mut()) {
            (true, Some(_)) => match replies.take() {
                Some(replies) => replies.finish(part).await,
                None => return Err(io::ErrorKind::BrokenPipe.into()),
            },
            (false, Some(replies)) => replies.send(part).await,
            (_, None) => return Err(io::ErrorKind::BrokenPipe.into()),
        };
        sent.map_err(io::Error::other)?;
        if is_last {
            return Ok(());
        }
    }
}
