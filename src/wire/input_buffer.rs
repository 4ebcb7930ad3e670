//! A buffer for the bytes read from a connection.

use std::io;

use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;

use super::ReadPacing;

/// Size of one read from a socket, in bytes: holds about a hundred events of a stream,
/// or a complete prompt of the usual size.
const READ_BYTES: usize = 8 << 10;

/// Bytes that were read from a connection and not yet consumed by a message.
#[derive(Debug, Default)]
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    start: usize,
    pacing: ReadPacing,
}

impl InputBuffer {
    /// Returns the buffered bytes.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Returns whether the buffer is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the first `count` bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
        }
    }

    /// Reads once from the connection into the buffer and returns the number of bytes;
    /// 0 at the end of the connection.
    ///
    /// Cancellation-safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// The error of the read, such as a connection reset.
    pub(crate) async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        let mut reader = stream;
        let count = reader.read(&mut chunk).await?;
        self.append(&chunk[..count]);
        Ok(count)
    }

    /// Reads like [`InputBuffer::fill`], and now and then yields before that.
    ///
    /// # Errors
    ///
    /// Those of [`InputBuffer::fill`].
    pub(crate) async fn fill_fairly(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.pacing.pace().await;
        self.fill(stream).await
    }

    /// Appends bytes to the buffer.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Releases the memory of a large message once the buffer is empty.
    pub(crate) fn shrink(&mut self) {
        if self.is_empty() && self.bytes.capacity() > READ_BYTES {
            self.bytes = Vec::new();
            self.start = 0;
        }
    }
}
