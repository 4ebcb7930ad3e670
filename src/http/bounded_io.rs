//! The stream that `async-h1` parses: checked head bytes, then a bounded body.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::net::TcpStream;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Gives out bytes that were read already, then at most `left` from the socket.
///
/// The bound keeps the parser's own buffer from swallowing the next message.
#[derive(Clone, Debug)]
pub(crate) struct GuardedIo {
    ready: Vec<u8>,
    taken: usize,
    left: u64,
    stream: TcpStream,
}

impl GuardedIo {
    /// Puts `ready` in front of `left` bytes of the stream.
    pub(crate) fn new(ready: Vec<u8>, left: u64, stream: TcpStream) -> Self {
        Self {
            ready,
            taken: 0,
            left,
            stream,
        }
    }
}

impl AsyncRead for GuardedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = (self.ready.len() - self.taken).min(buffer.len());
        if count > 0 {
            let start = self.taken;
            buffer[..count].copy_from_slice(&self.ready[start..start + count]);
            self.taken += count;
            return Poll::Ready(Ok(count));
        }
        let bound = usize::try_from(self.left).map_or(buffer.len(), |left| left.min(buffer.len()));
        if bound == 0 {
            return Poll::Ready(Ok(0));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..bound]))?;
        self.left -= count as u64;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for GuardedIo {
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
