//! Where the view comes from.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::ViewUpdate;
use crate::ids::StoreRevision;

/// A read that is under way.
pub type SourceFuture<'a> =
    Pin<Box<dyn Future<Output = Result<ViewUpdate, SourceError>> + Send + 'a>>;

/// Why a source gave no update.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SourceError {
    /// The changes after the revision are known no more; the whole must be read.
    #[display("the history is gone")]
    HistoryExpired,
    /// The source refused the call and did nothing.
    #[display("refused with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No whole answer came in time.
    #[display("no answer in time")]
    TimedOut,
    /// No connection, or it ended early.
    #[display("unreachable: {reason}")]
    Unreachable {
        /// What the system said.
        reason: String,
    },
    /// The answer can't be read.
    #[display("malformed answer: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// The store from which routes and targets are read. It can only be read.
pub trait FleetSource: Send + Sync + 'static {
    /// Reads everything.
    fn read_all(&self) -> SourceFuture<'_>;

    /// Reads the catalog alone, as it stands now.
    fn read_catalog(&self) -> SourceFuture<'_>;

    /// Waits for changes after a revision, for at most `wait`; the update is empty
    /// when none came.
    fn watch(&self, after: StoreRevision, wait: Duration) -> SourceFuture<'_>;
}
