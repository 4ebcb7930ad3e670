//! Reads an answer from its beginning.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;

use super::AnswerBuffer;
use super::AnswerChunk;
use super::AnswerEnd;
use crate::http::AnswerHead;

/// A reader of one answer.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    buffer: Arc<AnswerBuffer>,
    next: usize,
    current: Bytes,
    consumed: usize,
}

impl AnswerReader {
    /// Creates a reader at the beginning of the answer.
    pub(crate) fn open(buffer: Arc<AnswerBuffer>) -> Self {
        buffer.add_reader();
        Self {
            buffer,
            next: 0,
            current: Bytes::new(),
            consumed: 0,
        }
    }

    /// Waits for the head; `None` if the answer ended without one.
    pub(crate) async fn head(&self) -> Option<AnswerHead> {
        poll_fn(|context| self.buffer.poll_head(context)).await
    }

    /// Waits for the head on behalf of a peer; `None` if the answer ended without one,
    /// or if another host is to provide it.
    pub(crate) async fn local_head(&self) -> Option<AnswerHead> {
        poll_fn(|context| self.buffer.poll_local_head(context)).await
    }

    /// Waits for the next chunk of the body.
    pub(crate) async fn next_chunk(&mut self) -> AnswerChunk {
        let chunk = poll_fn(|context| self.buffer.poll_chunk(self.next, context)).await;
        if matches!(chunk, AnswerChunk::Bytes(_)) {
            self.next += 1;
        }
        chunk
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.buffer.remove_reader();
    }
}

impl AsyncBufRead for AnswerReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.consumed == reader.current.len() {
            match ready!(reader.buffer.poll_chunk(reader.next, context)) {
                AnswerChunk::Bytes(bytes) => {
                    reader.next += 1;
                    reader.current = bytes;
                    reader.consumed = 0;
                }
                AnswerChunk::End(AnswerEnd::Complete) => return Poll::Ready(Ok(&[])),
                // An error closes the connection without the last chunk, so that the
                // caller sees a truncated answer.
                AnswerChunk::End(AnswerEnd::Truncated(kind)) => {
                    return Poll::Ready(Err(io::Error::other(kind)));
                }
                AnswerChunk::Evicted => {
                    return Poll::Ready(Err(io::Error::other("the reader was too slow")));
                }
            }
        }
        Poll::Ready(Ok(&reader.current[reader.consumed..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().consumed += count;
    }
}

impl AsyncRead for AnswerReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
