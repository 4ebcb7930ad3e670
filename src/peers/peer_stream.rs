//! The calling end of a call.

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::client::SendRequest;
use http::Method;
use http::Request;
use http::Uri;

use super::PeerCall;
use super::PeerError;
use super::PeerReply;
use super::call_slot::CallSlot;
use super::message_codec;
use super::message_codec::FrameReader;

/// The URI of every call; short, since it is sent with each one.
const CALL_URI: &str = "http://p/";

/// The part of the response that is read next.
enum StreamPhase {
    Head(ResponseFuture),
    Body(FrameReader),
    Ended,
}

/// The stream of replies to one call. Dropping it cancels the call and resets the stream
/// at the peer.
pub struct PeerStream {
    phase: StreamPhase,
    _slot: Option<CallSlot>,
}

impl PeerStream {
    /// Sends `call` on a connection and returns the stream of replies, which holds `slot`
    /// until it is dropped.
    pub(crate) async fn open(
        sender: SendRequest<Bytes>,
        call: &PeerCall,
        slot: Option<CallSlot>,
    ) -> Result<Self, PeerError> {
        let frame = message_codec::encode_frame(call)?;
        let mut sender = sender.ready().await?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(CALL_URI);
        let (response, mut body) = sender.send_request(request, false)?;
        message_codec::send_frame(&mut body, frame, true).await?;
        Ok(Self {
            phase: StreamPhase::Head(response),
            _slot: slot,
        })
    }

    /// Returns the next reply, or `None` after the last one. This method is cancel safe:
    /// dropping the future loses no reply.
    ///
    /// # Errors
    ///
    /// The peer abandoned the call, the connection was lost, or a reply is malformed or
    /// too large. After an error the stream has ended.
    pub async fn next(&mut self) -> Result<Option<PeerReply>, PeerError> {
        let result = self.next_reply().await;
        if !matches!(result, Ok(Some(_))) {
            self.phase = StreamPhase::Ended;
        }
        result
    }

    async fn next_reply(&mut self) -> Result<Option<PeerReply>, PeerError> {
        if let StreamPhase::Head(response) = &mut self.phase {
            let body = response.await?.into_body();
            self.phase = StreamPhase::Body(FrameReader::new(body));
        }
        match &mut self.phase {
            StreamPhase::Body(reader) => reader.next().await,
            StreamPhase::Head(_) | StreamPhase::Ended => Ok(None),
        }
    }
}
