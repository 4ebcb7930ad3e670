//! Interface to the store of routes and targets.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::ViewUpdate;
use crate::ids::StoreRevision;

/// A read in progress.
pub type SourceFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ViewUpdate, SourceError>> + Send + 'a>>;

/// Error of a read from the store.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SourceError {
    /// The changes after the revision are no longer available; everything must be read again.
    #[display("changes since the requested revision are no longer available")]
    HistoryExpired,
    /// The store rejected the request and did nothing.
    #[display("refused with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No complete answer arrived before the timeout.
    #[display("no answer in time")]
    TimedOut,
    /// The connection failed or was closed early.
    #[display("unreachable: {reason}")]
    Unreachable {
        /// Error reported by the operating system or the HTTP client.
        reason: String,
    },
    /// The answer could not be parsed.
    #[display("malformed answer: {reason}")]
    Malformed {
        /// Why parsing failed.
        reason: String,
    },
}

/// Read-only access to the store of routes and targets.
pub trait FleetSource: Send + Sync + 'static {
    /// Sets where the store is. Reads in progress at another address fail at once.
    fn set_address(&self, address: SocketAddr);

    /// Reads everything.
    fn read_all(&self) -> SourceFuture<'_>;

    /// Reads only the current catalog.
    fn read_catalog(&self) -> SourceFuture<'_>;

    /// Waits for changes after a revision, for at most `wait`; the update is empty if there
    /// were none.
    fn watch(&self, after: StoreRevision, wait: Duration) -> SourceFuture<'_>;
}
