//! Fairness between reads that never wait and the futures beside them.

use futures_lite::future::yield_now;

/// Number of reads between two yields.
const READS_BETWEEN_YIELDS: u32 = 16;

/// Yields now and then between the reads of a connection.
///
/// A connection on which bytes are always ready would otherwise keep its task from waiting, so
/// that a deadline or a disconnected caller beside the read is never looked at.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadPacing {
    reads: u32,
}

impl ReadPacing {
    /// Called before each read. Cancellation-safe.
    pub(crate) async fn pace(&mut self) {
        self.reads += 1;
        if self.reads >= READS_BETWEEN_YIELDS {
            self.reads = 0;
            yield_now().await;
        }
    }
}
