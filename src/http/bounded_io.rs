//! The stream given to `async-h1`: bytes that were already read, then a bounded
//! number of bytes from the socket.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Yields bytes that were already read, then at most `remaining` bytes of the socket.
///
/// Without the bound, the parser's internal buffer could consume part of the next message.
#[derive(Clone, Debug)]
pub(crate) struct BoundedIo {
    buffered: Vec<u8>,
    consumed: usize,
    remaining: u64,
    stream: TcpStream,
}

impl BoundedIo {
    /// Creates a reader of `buffered` followed by `remaining` bytes of the stream.
    pub(crate) fn new(buffered: Vec<u8>, remaining: u64, stream: TcpStream) -> Self {
        Self {
            buffered,
            consumed: 0,
            remaining,
            stream,
        }
    }
}

impl AsyncRead for BoundedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = (self.buffered.len() - self.consumed).min(buffer.len());
        if count > 0 {
            let start = self.consumed;
            buffer[..count].copy_from_slice(&self.buffered[start..start + count]);
            self.consumed += count;
            return Poll::Ready(Ok(count));
        }
        let max_count = usize::try_from(self.remaining)
            .map_or(buffer.len(), |remaining| remaining.min(buffer.len()));
        if max_count == 0 {
            return Poll::Ready(Ok(0));
        }
        let count =
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..max_count]))?;
        self.remaining -= count as u64;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for BoundedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
