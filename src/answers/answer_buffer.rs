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

/// The most bytes of one answer that are held, 256 KiB: 4,000 streamed tokens.
///
/// Without a bound one reader that stands still would fill the host's memory.
pub(crate) const MAX_HELD_BYTES: usize = 256 << 10;

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerEnd {
    /// Every byte is there.
    Complete,
    /// The rest will never come; readers must see a cut message.
    Truncated(ErrorKind),
}

/// The next thing a reader gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AnswerChunk {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end.
    End(AnswerEnd),
    /// The reader came too late: the first bytes are held no more.
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
    pieces: Vec<Bytes>,
    dropped: usize,
    held_bytes: usize,
    end: Option<AnswerEnd>,
    /// Whether another host is to give the answer.
    follows: bool,
    wakers: Vec<Waker>,
}

impl AnswerBuffer {
    /// Gives the answer its head; later calls change nothing.
    pub(crate) fn put_head(&self, head: AnswerHead) {
        let mut state = self.lock();
        if state.head.is_none() {
            state.head = Some(head);
        }
        state.wake_all();
    }

    /// Appends bytes to the body.
    ///
    /// Past the bound the oldest bytes are let go; a reader that had not read
    /// them gets [`AnswerChunk::Evicted`], never an answer with a hole.
    pub(crate) fn put_bytes(&self, bytes: Bytes) {
        let mut state = self.lock();
        state.held_bytes += bytes.len();
        state.pieces.push(bytes);
        while state.held_bytes > MAX_HELD_BYTES && state.pieces.len() > 1 {
            let oldest = state.pieces.remove(0);
            state.held_bytes -= oldest.len();
            state.dropped += 1;
        }
        state.wake_all();
    }

    /// Ends the answer; later calls change nothing.
    pub(crate) fn put_end(&self, end: AnswerEnd) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
        }
        state.wake_all();
    }

    /// Notes that another host is to give the answer: peers don't wait for it here.
    ///
    /// Guards against hosts that wait for each other for good: two sends of one id
    /// split the seats, and each host takes the other one for the holder.
    pub(crate) fn mark_remote(&self) {
        let mut state = self.lock();
        state.follows = true;
        state.wake_all();
    }

    /// Says that this host is to give the answer after all: the peer gave none.
    ///
    /// Without it other hosts would not wait for the answer that is made here, and
    /// their callers would learn `unknown` of a request that runs.
    pub(crate) fn mark_local(&self) {
        self.lock().follows = false;
    }

    /// Tells whether the head is there.
    pub(crate) fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Returns what the caller was told about whether its request ran.
    pub(crate) fn outcome(&self) -> RequestOutcome {
        let state = self.lock();
        let told = state
            .head
            .as_ref()
            .and_then(|head| head.headers.get("request-outcome"));
        match (state.end, told.map(String::as_str)) {
            (Some(AnswerEnd::Complete), Some("done")) => RequestOutcome::Done,
            (Some(AnswerEnd::Complete), Some("not-run")) => RequestOutcome::NotRun,
            _ => RequestOutcome::Unknown,
        }
    }

    /// Returns the bytes of body held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Returns how many readers there are now.
    pub(crate) fn readers(&self) -> usize {
        self.readers.load(Ordering::Acquire)
    }

    /// Waits until nobody reads the answer any more.
    pub(crate) async fn wait_no_readers(&self) {
        poll_fn(|context| {
            if self.readers() == 0 {
                return Poll::Ready(());
            }
            let mut state = self.lock();
            state.wakers.push(context.waker().clone());
            // A reader may have left between the look and the lock.
            match self.readers() {
                0 => Poll::Ready(()),
                _ => Poll::Pending,
            }
        })
        .await;
    }

    pub(super) fn enter_reader(&self) {
        self.readers.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn leave_reader(&self) {
        self.readers.fetch_sub(1, Ordering::AcqRel);
        // The relay may wait to learn that nobody reads any more.
        self.lock().wake_all();
    }

    /// Polls for the head; `None` when the answer ended without one.
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

    /// Polls for the head on behalf of a peer; `None` also while the answer is to
    /// come from another host.
    pub(super) fn poll_local_head(&self, context: &mut Context<'_>) -> Poll<Option<AnswerHead>> {
        let polled = self.poll_head(context);
        match polled.is_pending() && self.lock().follows {
            true => Poll::Ready(None),
            false => polled,
        }
    }

    /// Polls for the piece with a number, counted from the first.
    pub(super) fn poll_chunk(&self, number: usize, context: &mut Context<'_>) -> Poll<AnswerChunk> {
        let mut state = self.lock();
        let Some(index) = number.checked_sub(state.dropped) else {
            return Poll::Ready(AnswerChunk::Evicted);
        };
        if let Some(bytes) = state.pieces.get(index) {
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
