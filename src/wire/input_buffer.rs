//! A buffer for the bytes read from a connection.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::task::ready;

use async_std::net::TcpStream;
use futures_lite::AsyncRead;

use super::ReadPacing;

/// Size of one read from a socket, in bytes: holds about a hundred events of a stream,
/// or a complete prompt of the usual size.
const READ_BYTES: usize = 8 << 10;
/// Memory that an empty buffer keeps, in bytes.
const KEPT_BYTES: usize = 1 << 10;

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
        read_chunk(stream, |chunk| self.append(chunk)).await
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

    /// Releases the memory of earlier messages once the buffer is empty.
    pub(crate) fn shrink(&mut self) {
        if self.is_empty() && self.bytes.capacity() > KEPT_BYTES {
            self.bytes = Vec::new();
            self.start = 0;
        }
    }
}

/// Reads once from a connection, and returns the number of bytes.
///
/// # Errors
///
/// The error of the read.
pub(crate) async fn read_chunk(
    stream: &TcpStream,
    mut append: impl FnMut(&[u8]),
) -> io::Result<usize> {
    let mut reader = stream;
    // The chunk lives in one poll only: as part of the future, it would take its size for each
    // connection that waits.
    poll_fn(|context| {
        let mut chunk = [0; READ_BYTES];
        let count = ready!(Pin::new(&mut reader).poll_read(context, &mut chunk))?;
        append(&chunk[..count]);
        Poll::Ready(Ok(count))
    })
    .await
}
