//! Table of resumable streams.

use std::sync::Arc;

use super::token_stream::TokenStream;

/// Number of streams above which finished ones are evicted.
const MAX_STREAMS: usize = 10_000;

/// Streams in the order in which they started.
#[derive(Debug, Default)]
pub(crate) struct StreamTable {
    streams: Vec<Arc<TokenStream>>,
}

impl StreamTable {
    /// Adds a new stream.
    pub(crate) fn add(&mut self, stream: Arc<TokenStream>) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams
                .retain(|stream| !stream.is_complete() && !stream.is_cancelled());
        }
        self.streams.push(stream);
    }

    /// Returns the most recent stream of a request.
    pub(crate) fn find(&self, id: &str) -> Option<Arc<TokenStream>> {
        let stream = self.streams.iter().rev().find(|stream| stream.id == id)?;
        Some(Arc::clone(stream))
    }

    /// Cancels and removes all streams.
    pub(crate) fn cancel_all(&mut self) {
        for stream in self.streams.drain(..) {
            stream.cancel();
        }
    }
}
