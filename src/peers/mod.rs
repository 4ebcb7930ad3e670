//! The protocol between the hosts of a fleet: bincode messages over h2 streams.
//!
//! Each host keeps one connection to each peer that it calls ([`PeerMesh`]) and
//! accepts calls from its peers ([`PeerListener`]). Each call is one h2 stream whose
//! request body holds one [`PeerCall`] and whose response body one [`PeerReply`] or more.
//!
//! # Authentication
//!
//! Before any call, both ends prove by HMAC-SHA256 over fresh nonces that they have the
//! key from the settings. This rejects strangers who can reach the port, replayed
//! handshakes, and hosts of another fleet whose settings name a wrong address. It
//! provides neither confidentiality nor integrity for what is sent afterwards, and a
//! process that has the key can claim any host's name. The network between the entry
//! hosts must be trusted for both, or be encrypted below this protocol.
//!
//! # Use
//!
//! Versions are those of the fleet document; times are wall-clock milliseconds where a
//! field's documentation states it. A failed call returns a [`PeerError`], which shows
//! whether the call may have taken effect.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use cardamomgw::ids::HostName;
//! use cardamomgw::peers::CallHandler;
//! use cardamomgw::peers::HandleFuture;
//! use cardamomgw::peers::PeerCall;
//! use cardamomgw::peers::PeerDigest;
//! use cardamomgw::peers::PeerIdentity;
//! use cardamomgw::peers::PeerListener;
//! use cardamomgw::peers::PeerMesh;
//! use cardamomgw::peers::PeerReply;
//! use cardamomgw::peers::ReplySender;
//!
//! /// Reports that document version 7 is in force.
//! struct Version7;
//!
//! impl CallHandler for Version7 {
//!     fn handle(&self, _: HostName, _: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
//!         let digest = Box::new(PeerDigest { version: 7, ..PeerDigest::default() });
//!         Box::pin(async move {
//!             replies.finish(PeerReply::Digest(digest)).await.ok();
//!         })
//!     }
//! }
//!
//! let identity = |host: &str| PeerIdentity { host: host.into(), key: b"secret".to_vec() };
//! async_std::task::block_on(async {
//!     let address = ([127, 0, 0, 1], 0).into();
//!     let listener = PeerListener::bind(address, identity("e2"), Arc::new(Version7)).await?;
//!     let mesh = PeerMesh::spawn(identity("e1"), vec![listener.address()]);
//!     while mesh.connected_peers().is_empty() {
//!         async_std::task::sleep(Duration::from_millis(5)).await;
//!     }
//!     let call = PeerCall::Digest(Box::default());
//!     let reply = mesh.call("e2", call, Duration::from_secs(10)).await?;
//!     assert!(matches!(reply, PeerReply::Digest(digest) if digest.version == 7));
//!     Ok::<(), Box<dyn std::error::Error>>(())
//! })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod call_handler;
mod call_slot;
mod digest_delta;
mod digest_inbox;
mod digest_outbox;
mod forwarded_request;
mod handshake_exchange;
mod link_limits;
mod link_meter;
mod message_codec;
mod package;
mod part_query;
mod peer_error;
mod peer_identity;
mod peer_link;
mod peer_listener;
mod peer_mesh;
mod peer_messages;
mod peer_stream;
mod reply_sender;

pub use crate::http::AnswerHead;
pub use crate::http::HeaderMap;
pub use crate::http::RequestHead;
pub use call_handler::CallHandler;
pub use call_handler::HandleFuture;
pub use digest_delta::DemandChange;
pub use digest_delta::DemandField;
pub use digest_delta::DemandUpdate;
pub use digest_delta::DigestDelta;
pub use digest_delta::DocumentIdentity;
pub use digest_inbox::DigestInbox;
pub use digest_outbox::DigestOutbox;
pub use digest_outbox::MAX_CONSECUTIVE_DELTAS;
pub use forwarded_request::ForwardCause;
pub use forwarded_request::ForwardedHead;
pub use forwarded_request::ForwardedRequest;
pub use forwarded_request::HeaderLine;
pub use forwarded_request::ResponsePart;
pub use handshake_exchange::PROTOCOL_VERSION;
pub use link_limits::MAX_STREAMED_CALLS;
pub use link_limits::PING_INTERVAL;
pub use link_limits::SILENCE_TIMEOUT;
pub use message_codec::MAX_MESSAGE_BYTES;
pub(crate) use package::MAX_PACKAGE_BYTES;
pub(crate) use package::pack_value;
pub(crate) use package::unpack_value;
pub use part_query::PartHolders;
pub use part_query::PartQuery;
pub use part_query::PartScope;
pub use part_query::TargetSection;
pub use peer_error::PeerError;
pub use peer_identity::PeerIdentity;
pub use peer_link::LinkStatus;
pub use peer_listener::ListenerCounters;
pub use peer_listener::PeerListener;
pub use peer_mesh::PeerMesh;
pub use peer_messages::ConfigDigest;
pub use peer_messages::DigestReceipt;
pub use peer_messages::PeerCall;
pub use peer_messages::PeerDigest;
pub use peer_messages::PeerReply;
pub use peer_messages::RawDocument;
pub use peer_stream::PeerStream;
pub use reply_sender::ReplySender;

#[cfg(test)]
mod tests;
