//! Progress of a request's token generation.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// Returns the text of a token, which identifies its offset and request.
pub fn token_text(request_id: &str, offset: u32) -> String {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    format!("t{offset}-{:08x}", hasher.finish() as u32)
}

/// Number of tokens that a request has generated, and its maximum.
#[derive(Debug)]
pub(crate) struct TokenStream {
    pub(crate) id: String,
    pub(crate) max_tokens: u32,
    produced: AtomicU32,
    cancelled: AtomicBool,
    changed: Event,
}

impl TokenStream {
    pub(crate) fn new(id: String, max_tokens: u32) -> Self {
        Self {
            id,
            max_tokens,
            produced: AtomicU32::new(0),
            cancelled: AtomicBool::new(false),
            changed: Event::new(),
        }
    }

    /// Returns the number of tokens generated so far.
    pub(crate) fn produced(&self) -> u32 {
        self.produced.load(Ordering::Acquire)
    }

    /// Adds one token.
    pub(crate) fn push_token(&self) {
        self.produced.fetch_add(1, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    /// Aborts the generation.
    pub(crate) fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Returns whether all tokens have been generated.
    pub(crate) fn is_complete(&self) -> bool {
        self.produced() >= self.max_tokens
    }

    /// Waits until the token at `offset` exists or no more tokens will be generated.
    pub(crate) async fn wait_for_token(&self, offset: u32) {
        loop {
            let changed = self.changed.listen();
            if self.produced() > offset || self.is_complete() || self.is_cancelled() {
                return;
            }
            changed.await;
        }
    }
}
