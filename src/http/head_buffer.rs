//! Reads the head of a message, up to its empty line and a maximum size.

use async_std::net::TcpStream;

use crate::errors::ErrorKind;
use crate::wire::ReadPacing;
use crate::wire::read_chunk;

/// Maximum size of a head, in bytes. `async-h1` refuses 8 KiB and more.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes read from a connection and not yet consumed by a message.
#[derive(Debug, Default)]
pub(crate) struct HeadBuffer {
    bytes: Vec<u8>,
    pacing: ReadPacing,
}

impl HeadBuffer {
    /// Returns whether no byte of a next message is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads until the buffer holds a complete head and returns its length; `None`
    /// when the connection was closed before the first byte.
    ///
    /// # Errors
    ///
    /// `HeadTooLarge` above [`MAX_HEAD_BYTES`], `MalformedMessage` when the connection
    /// was closed inside the head.
    pub(crate) async fn fill_head(
        &mut self,
        stream: &mut TcpStream,
    ) -> Result<Option<usize>, ErrorKind> {
        let mut searched = 0;
        loop {
            if let Some(length) = self.head_length(searched) {
                return Ok(Some(length));
            }
            // Without this check, a head that never ends would exhaust memory.
            if self.bytes.len() > MAX_HEAD_BYTES {
                return Err(ErrorKind::HeadTooLarge);
            }
            searched = self.bytes.len().saturating_sub(HEAD_END.len());
            if !self.read_more(stream).await? {
                return match self.bytes.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::MalformedMessage),
                };
            }
        }
    }

    /// Removes and returns the head and up to `body_bytes` bytes after it.
    pub(crate) fn take_message(&mut self, head_bytes: usize, body_bytes: u64) -> Vec<u8> {
        let body_bytes = usize::try_from(body_bytes).unwrap_or(usize::MAX);
        let end = head_bytes.saturating_add(body_bytes).min(self.bytes.len());
        self.bytes.drain(..end).collect()
    }

    /// Returns the head, given the length that `fill_head` returned.
    pub(crate) fn head(&self, head_bytes: usize) -> &[u8] {
        &self.bytes[..head_bytes]
    }

    fn head_length(&self, searched: usize) -> Option<usize> {
        let found = self.bytes[searched..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)?;
        let length = searched + found + HEAD_END.len();
        (length <= MAX_HEAD_BYTES).then_some(length)
    }

    async fn read_more(&mut self, stream: &mut TcpStream) -> Result<bool, ErrorKind> {
        self.pacing.pace().await;
        let read = read_chunk(stream, |chunk| self.bytes.extend_from_slice(chunk)).await;
        let count = read.map_err(|_| ErrorKind::MalformedMessage)?;
        Ok(count > 0)
    }
}
