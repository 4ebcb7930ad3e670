//! Messages as length-prefixed bincode frames within an h2 stream.

use std::future::poll_fn;

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PeerError;

/// Maximum size of a message in either direction. A document or a body of 1 MiB fits
/// with its head, and a faulty peer can't make a host buffer more than this per call.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Size of the length prefix of each message, a big-endian `u32`.
const PREFIX_BYTES: usize = 4;

/// The codec of messages; its limit also applies to lengths inside a message.
const MESSAGE_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Encodes a message with its length prefix.
pub(crate) fn encode_frame<T: Serialize>(message: &T) -> Result<Bytes, PeerError> {
    let mut writer = BytesMut::with_capacity(64).writer();
    writer.get_mut().put_u32(0);
    bincode::serde::encode_into_std_write(message, &mut writer, MESSAGE_CODEC)
        .map_err(|_| PeerError::MalformedMessage)?;
    let mut frame = writer.into_inner();
    let length = frame.len() - PREFIX_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(PeerError::MessageTooLarge);
    }
    frame[..PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame.freeze())
}

/// Decodes a message that takes up all of `bytes`.
fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    let (message, length) = bincode::serde::decode_from_slice(bytes, MESSAGE_CODEC)
        .map_err(|_| PeerError::MalformedMessage)?;
    if length != bytes.len() {
        return Err(PeerError::MalformedMessage);
    }
    Ok(message)
}

/// Sends `frame` as the flow-control window allows.
///
/// Dropping the future before it completes can leave a partial frame behind, so the
/// stream must be dropped with it; h2 resets the stream when its last handle is dropped.
pub(crate) async fn send_frame(
    stream: &mut SendStream<Bytes>,
    mut frame: Bytes,
    last: bool,
) -> Result<(), PeerError> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let granted = poll_fn(|context| stream.poll_capacity(context))
            .await
            .ok_or(PeerError::CallAbandoned)??;
        let chunk = frame.split_to(granted.min(frame.len()));
        let ends = last && frame.is_empty();
        stream.send_data(chunk, ends)?;
    }
    Ok(())
}

/// Reads messages from an h2 stream.
pub(crate) struct FrameReader {
    body: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Reads messages from `body`.
    pub(crate) fn new(body: RecvStream) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next message, or `None` at the clean end of the stream. This method
    /// is cancel safe: dropping the future loses no data.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return decode_message(&frame).map(Some);
            }
            let Some(chunk) = self.body.data().await else {
                return self.end();
            };
            let chunk = chunk?;
            self.body.flow_control().release_capacity(chunk.len())?;
            self.buffer.extend_from_slice(&chunk);
        }
    }

    /// Removes the first complete frame from the buffer.
    fn take_frame(&mut self) -> Result<Option<Bytes>, PeerError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(PeerError::MessageTooLarge);
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }

    /// Returns `None` for a clean end of the stream, an error for a truncated frame.
    fn end<T>(&self) -> Result<Option<T>, PeerError> {
        if self.buffer.is_empty() {
            Ok(None)
        } else {
            Err(PeerError::MalformedMessage)
        }
    }
}
