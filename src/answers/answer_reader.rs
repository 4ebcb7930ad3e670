//! Reads one answer from its beginning.

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

/// One reader of an answer.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    slot: Arc<AnswerBuffer>,
    next: usize,
    current: Bytes,
    consumed: usize,
}

impl AnswerReader {
    /// Opens a reader at the answer's beginning.
    pub(crate) fn open(slot: Arc<AnswerBuffer>) -> Self {
        slot.enter_reader();
        Self {
            slot,
            next: 0,
            current: Bytes::new(),
            consumed: 0,
        }
    }

    /// Waits for the head; `None` when the answer ended without one.
    pub(crate) async fn head(&self) -> Option<AnswerHead> {
        poll_fn(|context| self.slot.poll_head(context)).await
    }

    /// Waits for the head on behalf of a peer; `None` when the answer ended without
    /// one, or is to come from another host.
    pub(crate) async fn local_head(&self) -> Option<AnswerHead> {
        poll_fn(|context| self.slot.poll_local_head(context)).await
    }

    /// Waits for the next piece of the body.
    pub(crate) async fn next_chunk(&mut self) -> AnswerChunk {
        let piece = poll_fn(|context| self.slot.poll_chunk(self.next, context)).await;
        if matches!(piece, AnswerChunk::Bytes(_)) {
            self.next += 1;
        }
        piece
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.slot.leave_reader();
    }
}

impl AsyncBufRead for AnswerReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.consumed == reader.current.len() {
            match ready!(reader.slot.poll_chunk(reader.next, context)) {
                AnswerChunk::Bytes(bytes) => {
                    reader.next += 1;
                    reader.current = bytes;
                    reader.consumed = 0;
                }
                AnswerChunk::End(AnswerEnd::Complete) => return Poll::Ready(Ok(&[])),
                // An error ends the connection without the last chunk, so the
                // caller sees that the answer is not whole.
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
