//! The interface through which a host answers calls of its peers.

use std::future::Future;
use std::pin::Pin;

use super::PeerCall;
use super::ReplySender;
use crate::ids::HostName;

/// The future that answers one call.
pub type HandleFuture<'a> = Pin<Box<dyn Future<Output = ()> + Send + 'a>>;

/// Answers the calls of peers.
pub trait CallHandler: Send + Sync + 'static {
    /// Answers one call of the host `from`. Calls run concurrently, each in its own
    /// task. Dropping `replies` before it is finished resets the stream, and the
    /// calling host gets [`super::PeerError::CallAbandoned`].
    fn handle(&self, from: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_>;
}
