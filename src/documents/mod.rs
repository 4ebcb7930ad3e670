//! Client for the platform's read-and-watch service, the only module that knows its
//! wire format.
//!
//! All operations are reads. The size of each answer is limited and checked against
//! the declared length before the answer is used.

mod document_client;
mod document_error;
mod host_list;
mod http_exchange;

pub use document_client::DocumentClient;
pub use document_client::WATCH_WAIT;
pub use document_client::WatchAnswer;
pub use document_error::DocumentError;
pub use host_list::HostList;
pub use host_list::ListedHost;
pub use http_exchange::MAX_BODY_BYTES;
