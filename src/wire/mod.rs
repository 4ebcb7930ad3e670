//! HTTP/1.1 messages on persistent connections.
//!
//! Heads and chunk sizes are parsed by `httparse`, the parser that `async-h1` uses.
//! `async-h1` 2.3.4 itself is not used: it treats truncated bodies as complete, and
//! its buffer consumes bytes of the next message, so that connections could not be
//! reused. This module counts each byte of a body, and the bytes of the next message
//! stay in the [`InputBuffer`].

mod body_decoder;
mod body_framing;
mod complete_response;
mod hang_up;
mod input_buffer;
mod message_headers;
mod read_pacing;
mod request_message;
mod response_message;
mod socket_options;
#[cfg(test)]
mod tests;
mod wire_error;

pub(crate) use body_decoder::BodyDecoder;
pub(crate) use body_framing::BodyFraming;
pub(crate) use complete_response::CompleteResponse;
pub(crate) use complete_response::ResponseLimits;
pub(crate) use complete_response::can_reuse_connection;
pub(crate) use complete_response::read_complete_response;
pub(crate) use hang_up::readable_streams;
pub(crate) use hang_up::wait_hung_up;
pub(crate) use hang_up::was_reset;
pub(crate) use input_buffer::InputBuffer;
pub(crate) use input_buffer::read_chunk;
pub(crate) use message_headers::MessageHeaders;
pub(crate) use read_pacing::ReadPacing;
pub(crate) use request_message::RequestMessage;
pub(crate) use response_message::ResponseMessage;
pub(crate) use socket_options::KeepaliveSettings;
pub(crate) use socket_options::configure_keepalive;
pub(crate) use wire_error::WireError;
