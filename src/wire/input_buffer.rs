//! Bytes that were read from a connection and that no message has taken yet.

use std::io;

use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;

/// How much is read from a socket at once, in bytes: some hundred events of a
/// stream, and a whole prompt of the usual size.
const READ_BYTES: usize = 8 << 10;

/// Bytes that were read from a connection and that no message has taken yet.
#[derive(Debug, Default)]
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl InputBuffer {
    /// Returns what is there.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Returns how many bytes are there.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Tells whether nothing is there.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the first `count` bytes; a message has taken them.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
        }
    }

    /// Reads what is there or comes next; 0 at the connection's end. A dropped
    /// future loses nothing.
    ///
    /// # Errors
    ///
    /// The connection was reset or failed.
    pub(crate) async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let mut piece = [0; READ_BYTES];
        let mut reader = stream;
        let count = reader.read(&mut piece).await?;
        self.take_in(&piece[..count]);
        Ok(count)
    }

    /// Puts bytes behind those that are there.
    pub(crate) fn take_in(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Lets the memory of a large message go.
    pub(crate) fn shrink(&mut self) {
        if self.is_empty() && self.bytes.capacity() > READ_BYTES {
            self.bytes = Vec::new();
            self.start = 0;
        }
    }
}
