//! One request's tokens as they come into being.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// Returns the text of one token: it tells the offset and the request.
pub fn token_text(request_id: &str, offset: u32) -> String {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    format!("t{offset}-{:08x}", hasher.finish() as u32)
}

/// A request's tokens: how many there are and how many there will be.
#[derive(Debug)]
pub(crate) struct TokenStream {
    pub(crate) id: String,
    pub(crate) max_tokens: u32,
    produced: AtomicU32,
    cancelled: AtomicBool,
    grown: Event,
}

impl TokenStream {
    pub(crate) fn new(id: String, max_tokens: u32) -> Self {
        Self {
            id,
            max_tokens,
            produced: AtomicU32::new(0),
            cancelled: AtomicBool::new(false),
            grown: Event::new(),
        }
    }

    /// Returns how many tokens there are.
    pub(crate) fn produced(&self) -> u32 {
        self.produced.load(Ordering::Acquire)
    }

    /// Adds one token.
    pub(crate) fn grow(&self) {
        self.produced.fetch_add(1, Ordering::Release);
        self.grown.notify(usize::MAX);
    }

    /// Ends the generation before its time.
    pub(crate) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.grown.notify(usize::MAX);
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Tells whether all tokens are there.
    pub(crate) fn is_complete(&self) -> bool {
        self.produced() >= self.max_tokens
    }

    /// Waits until more than `offset` tokens are there, or until no more will come.
    pub(crate) async fn reach_beyond(&self, offset: u32) {
        loop {
            let grown = self.grown.listen();
            if self.produced() > offset || self.is_complete() || self.is_cancelled() {
                return;
            }
            grown.await;
        }
    }
}
