//! One request's answer: written once by the relay, read by any number of readers.

use std::future::poll_fn;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;

use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::http::AnswerHead;

/// The maximum number of bytes held for one answer: 256 KiB, or 4,000 streamed tokens.
///
/// Without a limit, one stalled reader would fill the host's memory.
pub(crate) const MAX_HELD_BYTES: usize = 256 << 10;

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerEnd {
    /// All bytes have arrived.
    Complete,
    /// The rest will never arrive; readers must see a truncated message.
    Truncated(ErrorKind),
}

/// The next item for a reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AnswerChunk {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end.
    End(AnswerEnd),
    /// The reader is too late: the chunk has been evicted.
    Evicted,
}

/// One request's answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuffer {
    state: Mutex<BufferState>,
    readers: AtomicUsize,
}

#[derive(Debug, Default)]
struct BufferState {
    head: Option<AnswerHead>,
    chunks: Vec<Bytes>,
    evicted: usize,
    held_bytes: usize,
    end: Option<AnswerEnd>,
    /// Whether another host is to provide the answer.
    remote: bool,
    wakers: Vec<Waker>,
}

impl AnswerBuffer {
    /// Sets the head; later calls have no effect.
    pub(crate) fn put_head(&self, head: AnswerHead) {
        let mut state = self.lock();
        if state.head.is_none() {
            state.head = Some(head);
        }
        state.wake_all();
    }

    /// Appends bytes to the body.
    ///
    /// Beyond the limit the oldest chunks are evicted. A reader that has not read them
    /// gets [`AnswerChunk::Evicted`], never an answer with a gap.
    pub(crate) fn put_bytes(&self, bytes: Bytes) {
        let mut state = self.lock();
        state.held_bytes += bytes.len();
        state.chunks.push(bytes);
        while state.held_bytes > MAX_HELD_BYTES && state.chunks.len() > 1 {
            let oldest = state.chunks.remove(0);
            state.held_bytes -= oldest.len();
            state.evicted += 1;
        }
        state.wake_all();
    }

    /// Ends the answer; later calls have no effect.
    pub(crate) fn put_end(&self, end: AnswerEnd) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
        }
        state.wake_all();
    }

    /// Marks the answer as provided by another host, so that peers do not wait for it
    /// here.
    ///
    /// Two sends of one id may split the seats, and each host then takes the other one
    /// for the holder. Without the mark they would wait for each other forever.
    pub(crate) fn mark_remote(&self) {
        let mut state = self.lock();
        state.remote = true;
        state.wake_all();
    }

    /// Marks the answer as provided by this host after all, because the peer gave none.
    ///
    /// Otherwise other hosts would not wait for the answer made here, and their callers
    /// would be told `unknown` about a request that runs.
    pub(crate) fn mark_local(&self) {
        self.lock().remote = false;
    }

    /// Returns whether the head has been set.
    pub(crate) fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Returns what the caller was told about whether its request ran.
    pub(crate) fn outcome(&self) -> RequestOutcome {
        let state = self.lock();
        let reported = state
            .head
            .as_ref()
            .and_then(|head| head.headers.get("request-outcome"));
        match (state.end, reported.map(String::as_str)) {
            (Some(AnswerEnd::Complete), Some("done")) => RequestOutcome::Done,
            (Some(AnswerEnd::Complete), Some("not-run")) => RequestOutcome::NotRun,
            _ => RequestOutcome::Unknown,
        }
    }

    /// Returns the number of body bytes held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Returns the current number of readers.
    pub(crate) fn readers(&self) -> usize {
        self.readers.load(Ordering::Acquire)
    }

    /// Waits until the answer has no readers.
    pub(crate) async fn wait_no_readers(&self) {
        poll_fn(|context| {
            if self.readers() == 0 {
                return Poll::Ready(());
            }
            let mut state = self.lock();
            state.wakers.push(context.waker().clone());
            // The last reader may have left between the check and the lock.
            match self.readers() {
                0 => Poll::Ready(()),
                _ => Poll::Pending,
            }
        })
        .await;
    }

    pub(super) fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn remove_reader(&self) {
        self.readers.fetch_sub(1, Ordering::AcqRel);
        // The relay may be waiting for the last reader to leave.
        self.lock().wake_all();
    }

    /// Polls for the head; `None` if the answer ended without one.
    pub(super) fn poll_head(&self, context: &mut Context<'_>) -> Poll<Option<AnswerHead>> {
        let mut state = self.lock();
        if let Some(head) = &state.head {
            return Poll::Ready(Some(head.clone()));
        }
        if state.end.is_some() {
            return Poll::Ready(None);
        }
        state.wakers.push(context.waker().clone());
        Poll::Pending
    }

    /// Polls for the head on behalf of a peer; `None` also if another host is to
    /// provide the answer.
    pub(super) fn poll_local_head(&self, context: &mut Context<'_>) -> Poll<Option<AnswerHead>> {
        let polled = self.poll_head(context);
        match polled.is_pending() && self.lock().remote {
            true => Poll::Ready(None),
            false => polled,
        }
    }

    /// Polls for the chunk with this number, counted from the first one.
    pub(super) fn poll_chunk(&self, number: usize, context: &mut Context<'_>) -> Poll<AnswerChunk> {
        let mut state = self.lock();
        let Some(index) = number.checked_sub(state.evicted) else {
            return Poll::Ready(AnswerChunk::Evicted);
        };
        if let Some(bytes) = state.chunks.get(index) {
            return Poll::Ready(AnswerChunk::Bytes(bytes.clone()));
        }
        if let Some(end) = state.end {
            return Poll::Ready(AnswerChunk::End(end));
        }
        state.wakers.push(context.waker().clone());
        Poll::Pending
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BufferState {
    fn wake_all(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }
}
