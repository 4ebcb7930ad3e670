//! The answering end of a call.

use std::future::poll_fn;

use bytes::Bytes;
use h2::Reason;
use h2::SendStream;
use h2::server::SendResponse;
use http::Response;

use super::PeerError;
use super::PeerReply;
use super::message_codec;

/// Sends the replies of one call.
///
/// If it is dropped before [`ReplySender::finish`] or [`ReplySender::end`], it resets the
/// stream: the calling host gets [`PeerError::CallAbandoned`], never a truncated stream
/// that looks complete.
pub struct ReplySender {
    respond: SendResponse<Bytes>,
    body: Option<SendStream<Bytes>>,
    finished: bool,
}

impl ReplySender {
    /// Creates a sender that answers through `respond`.
    pub(crate) const fn new(respond: SendResponse<Bytes>) -> Self {
        Self {
            respond,
            body: None,
            finished: false,
        }
    }

    /// Sends one reply; more may follow. Waits while the flow-control window is full.
    ///
    /// # Errors
    ///
    /// The calling host cancelled the call, the connection was lost, or the reply is too
    /// large.
    pub async fn send(&mut self, reply: PeerReply) -> Result<(), PeerError> {
        self.send_reply(&reply, false).await
    }

    /// Sends the last reply and ends the call.
    ///
    /// # Errors
    ///
    /// Those of [`ReplySender::send`].
    pub async fn finish(mut self, reply: PeerReply) -> Result<(), PeerError> {
        self.send_reply(&reply, true).await?;
        self.finished = true;
        Ok(())
    }

    /// Ends the call after the replies sent so far.
    ///
    /// # Errors
    ///
    /// The calling host cancelled the call, or the connection was lost.
    pub fn end(mut self) -> Result<(), PeerError> {
        self.open_body()?.send_data(Bytes::new(), true)?;
        self.finished = true;
        Ok(())
    }

    /// Waits until the calling host cancels the call or the connection is lost.
    pub async fn closed(&mut self) {
        let respond = &mut self.respond;
        match &mut self.body {
            Some(body) => poll_fn(|context| body.poll_reset(context).map(drop)).await,
            None => poll_fn(|context| respond.poll_reset(context).map(drop)).await,
        }
    }

    async fn send_reply(&mut self, reply: &PeerReply, last: bool) -> Result<(), PeerError> {
        let frame = message_codec::encode_frame(reply)?;
        message_codec::send_frame(self.open_body()?, frame, last).await
    }

    /// Returns the body's stream; sends the response head first if it was not sent yet.
    fn open_body(&mut self) -> Result<&mut SendStream<Bytes>, PeerError> {
        if self.body.is_none() {
            let body = self.respond.send_response(Response::new(()), false)?;
            self.body = Some(body);
        }
        self.body.as_mut().ok_or(PeerError::CallAbandoned)
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        match &mut self.body {
            Some(body) => body.send_reset(Reason::CANCEL),
            None => self.respond.send_reset(Reason::CANCEL),
        }
    }
}
