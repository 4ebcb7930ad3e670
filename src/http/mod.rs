//! HTTP/1.1 connections to callers and targets, parsed by `async-h1`.
//!
//! `async-h1` 2.3.4 treats a body that is shorter than its `Content-Length` as
//! complete, accepts two lengths, treats an answer without framing as empty, reads
//! a header line that never ends without a limit, and closes the connection on a
//! malformed request without an answer. Therefore this module reads and validates
//! heads first, and counts the bytes of bodies.

mod answer_head;
mod bounded_io;
mod caller_connection;
mod connection_listener;
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
pub(crate) use connection_listener::ConnectionLimits;
pub(crate) use connection_listener::ConnectionListener;
pub(crate) use message_framing::MessageFraming;
pub(crate) use request_head::HOP_BY_HOP_FIELDS;
pub use request_head::HeaderMap;
pub use request_head::RequestHead;
pub(crate) use target_exchange::ExchangeError;
pub(crate) use target_exchange::TargetAnswer;
pub(crate) use target_exchange::TargetConnection;
