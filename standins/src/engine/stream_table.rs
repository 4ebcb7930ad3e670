//! The streams that can be resumed.

use std::sync::Arc;

use super::token_stream::TokenStream;

/// How many streams are kept; the oldest whole ones go first.
const STREAM_BOUND: usize = 10_000;

/// The streams, in the order in which they began.
#[derive(Debug, Default)]
pub(crate) struct StreamTable {
    streams: Vec<Arc<TokenStream>>,
}

impl StreamTable {
    /// Keeps a stream that begins.
    pub(crate) fn add(&mut self, stream: Arc<TokenStream>) {
        if self.streams.len() >= STREAM_BOUND {
            self.streams
                .retain(|stream| !stream.is_complete() && !stream.is_cancelled());
        }
        self.streams.push(stream);
    }

    /// Returns the newest stream of a request.
    pub(crate) fn find(&self, id: &str) -> Option<Arc<TokenStream>> {
        let stream = self.streams.iter().rev().find(|stream| stream.id == id)?;
        Some(Arc::clone(stream))
    }

    /// Ends every stream, as a crash does.
    pub(crate) fn drop_all(&mut self) {
        for stream in self.streams.drain(..) {
            stream.cancel();
        }
    }
}
