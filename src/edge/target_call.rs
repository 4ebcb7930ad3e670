//! One request and its response on a connection to a target.

use std::future::pending;

use futures_lite::AsyncWriteExt;
use futures_lite::future::or;

use derive_more::Display;
use derive_more::Error;

use super::connection_pool::TargetConnection;
use crate::wire::BodyDecoder;
use crate::wire::BodyFraming;
use crate::wire::ResponseMessage;
use crate::wire::WireError;
use crate::wire::can_reuse_connection;
use crate::wire::was_reset;

/// Maximum number of bytes before the head of a response: interim responses, and responses to
/// other requests. It is the maximum size of one response.
const MAX_SKIPPED_BYTES: usize = 16 << 20;

/// Errors that may occur after a request was sent.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum CallError {
    /// The connection was closed or failed before the response was complete.
    #[display("connection closed before the response was complete")]
    ConnectionClosed,
    /// The response is malformed or belongs to another request.
    #[display("invalid response")]
    InvalidResponse,
    /// The host's memory for responses is used up.
    #[display("no memory for the response")]
    NoMemory,
}

/// Identifies the request and its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallIdentity<'a> {
    /// Name of the header that contains the request's id.
    pub(crate) header: &'a str,
    pub(crate) request: &'a str,
    pub(crate) method: &'a str,
}

/// A response whose head was read.
#[derive(Debug)]
pub(crate) struct TargetCall {
    connection: TargetConnection,
    pub(crate) head: ResponseMessage,
    /// How the target declares the end of the body.
    pub(crate) framing: BodyFraming,
    decoder: BodyDecoder,
    /// Whether the connection may be reused after the response is complete.
    keep_alive: bool,
    /// Whether the connection failed while the request was written. The end of what was received is
    /// not the end of the response then.
    has_failed: bool,
}

impl TargetCall {
    /// Sends a request, with the part of its body that is not in `request`, and reads the head of
    /// the response.
    ///
    /// The response may arrive before the request is completely written, for example when
    /// a target refuses a long upload. The connection is not reused in that case, because
    /// the target would read the next request as the rest of this one.
    ///
    /// # Errors
    ///
    /// In every case the target may have run the request.
    pub(crate) async fn send(
        mut connection: TargetConnection,
        request: &[u8],
        body: &[u8],
        identity: CallIdentity<'_>,
    ) -> Result<Self, CallError> {
        let mut written = None;
        let mut stream = connection.stream.clone();
        let write = async {
            // The target may have answered before a write failed.
            let result = match stream.write_all(request).await {
                Ok(()) => stream.write_all(body).await,
                Err(error) => Err(error),
            };
            written = Some(result.is_ok());
            pending().await
        };
        let head = or(write, read_matching_head(&mut connection, identity)).await?;
        let framing = BodyFraming::for_response(&head.headers, head.status, identity.method)
            .map_err(|_| CallError::InvalidResponse)?;
        let keep_alive = written == Some(true) && can_reuse_connection(&head, framing);
        Ok(Self {
            connection,
            decoder: BodyDecoder::new(framing),
            keep_alive,
            has_failed: written == Some(false),
            framing,
            head,
        })
    }

    /// Appends more of the body to `output`; returns whether the body is complete. This
    /// function is cancel safe.
    ///
    /// # Errors
    ///
    /// The body is truncated or malformed.
    pub(crate) async fn read_body(&mut self, output: &mut Vec<u8>) -> Result<bool, CallError> {
        self.decode(output)?;
        if self.decoder.is_complete() {
            return Ok(true);
        }
        if !output.is_empty() {
            return Ok(false);
        }
        match self
            .connection
            .input
            .fill_fairly(&self.connection.stream)
            .await
        {
            Ok(0) if self.was_reset() => return Err(CallError::ConnectionClosed),
            Ok(0) => {
                let ended = self.decoder.finish_at_eof();
                ended.map_err(|_| CallError::ConnectionClosed)?;
            }
            Ok(_) => self.decode(output)?,
            Err(_) => return Err(CallError::ConnectionClosed),
        }
        Ok(self.decoder.is_complete())
    }

    /// Returns whether the connection was reset, before or after the end of the response.
    pub(crate) fn was_reset(&self) -> bool {
        self.has_failed || was_reset(&self.connection.stream)
    }

    /// Returns the connection and the head if the connection may be reused.
    pub(crate) fn into_reusable(self) -> Option<(TargetConnection, ResponseMessage)> {
        let is_reusable = self.keep_alive && self.decoder.is_complete();
        is_reusable.then_some((self.connection, self.head))
    }

    fn decode(&mut self, output: &mut Vec<u8>) -> Result<(), CallError> {
        let decoded = self.decoder.decode(&mut self.connection.input, output);
        decoded.map_err(|_| CallError::InvalidResponse)
    }
}

/// Reads response heads until the one that belongs to this request.
///
/// A target may send a response twice, or so late that it arrives in place of the next
/// one; its request id tells. Such a response is read and discarded. A response without
/// an id on a reused connection may belong to the previous request, so it is rejected.
async fn read_matching_head(
    connection: &mut TargetConnection,
    identity: CallIdentity<'_>,
) -> Result<ResponseMessage, CallError> {
    let mut left = MAX_SKIPPED_BYTES;
    loop {
        let head = read_head(connection, &mut left).await?;
        match head.headers.text(identity.header) {
            Some(id) if id == identity.request => return Ok(head),
            None if !connection.reused => return Ok(head),
            None => return Err(CallError::InvalidResponse),
            Some(_) => skip_body(connection, &head, identity.method, &mut left).await?,
        }
    }
}

async fn read_head(
    connection: &mut TargetConnection,
    left: &mut usize,
) -> Result<ResponseMessage, CallError> {
    loop {
        match ResponseMessage::take(&mut connection.input) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(_) => return Err(CallError::InvalidResponse),
        }
        fill_within(connection, left).await?;
    }
}

/// Reads once, unless the bytes that are `left` have been read.
async fn fill_within(connection: &mut TargetConnection, left: &mut usize) -> Result<(), CallError> {
    match connection.input.fill_fairly(&connection.stream).await {
        Ok(count) if count > 0 => {
            let rest = left.checked_sub(count);
            *left = rest.ok_or(CallError::InvalidResponse)?;
            Ok(())
        }
        Ok(_) | Err(_) => Err(CallError::ConnectionClosed),
    }
}

async fn skip_body(
    connection: &mut TargetConnection,
    head: &ResponseMessage,
    method: &str,
    left: &mut usize,
) -> Result<(), CallError> {
    let framing = BodyFraming::for_response(&head.headers, head.status, method)
        .map_err(|_| CallError::InvalidResponse)?;
    let mut decoder = BodyDecoder::new(framing);
    let mut discarded = Vec::new();
    loop {
        decoder
            .decode(&mut connection.input, &mut discarded)
            .map_err(|_: WireError| CallError::InvalidResponse)?;
        discarded.clear();
        if decoder.is_complete() {
            return Ok(());
        }
        // A response without a length ends with the connection.
        fill_within(connection, left).await?;
    }
}
