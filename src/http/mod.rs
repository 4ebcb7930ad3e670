//! HTTP/1.1 towards callers and targets: `async-h1` behind guards of our own.
//!
//! `async-h1` 2.3.4 reads a body that is shorter than its `Content-Length` as
//! complete, takes two lengths, reads an unframed answer as empty, reads a head
//! line without an end forever and closes a malformed request without an answer.
//! So the head is read and checked here first, and body bytes are counted.

mod answer_head;
mod caller_connection;
mod connection_listener;
mod guarded_io;
mod head_buffer;
mod message_framing;
mod request_head;
mod request_line;
mod socket_options;
mod target_exchange;
#[cfg(test)]
mod tests;

pub use answer_head::AnswerHead;
pub(crate) use caller_connection::CallerConnection;
pub(crate) use caller_connection::CallerRequest;
pub(crate) use connection_listener::ConnectionListener;
pub(crate) use message_framing::MessageFraming;
pub(crate) use request_head::HOP_FIELDS;
pub use request_head::HeaderMap;
pub use request_head::RequestHead;
pub(crate) use target_exchange::ExchangeError;
pub(crate) use target_exchange::TargetAnswer;
pub(crate) use target_exchange::TargetConnection;
