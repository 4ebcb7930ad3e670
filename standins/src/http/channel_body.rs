//! Answer body that another task writes through a channel.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::Stream;
use futures_lite::ready;

/// Channel capacity, in chunks.
const MAX_PENDING_CHUNKS: usize = 16;

/// A body read from a channel of chunks; an error in the channel aborts the connection.
pub(crate) struct ChannelBody {
    chunks: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    chunk: Vec<u8>,
    consumed: usize,
}

impl ChannelBody {
    /// Creates the body and the sender of its chunks.
    pub(crate) fn open() -> (Sender<io::Result<Vec<u8>>>, Self) {
        let (sender, receiver) = async_channel::bounded(MAX_PENDING_CHUNKS);
        let body = Self {
            chunks: Box::pin(receiver),
            chunk: Vec::new(),
            consumed: 0,
        };
        (sender, body)
    }
}

impl AsyncBufRead for ChannelBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        while body.consumed == body.chunk.len() {
            match ready!(body.chunks.as_mut().poll_next(context)) {
                Some(chunk) => body.chunk = chunk?,
                None => return Poll::Ready(Ok(&[])),
            }
            body.consumed = 0;
        }
        Poll::Ready(Ok(&body.chunk[body.consumed..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().consumed += count;
    }
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = chunk.len().min(buffer.len());
        buffer[..count].copy_from_slice(&chunk[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
