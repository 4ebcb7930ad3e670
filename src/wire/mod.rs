//! HTTP/1.1 messages on connections that carry many of them.
//!
//! `httparse`, the parser below `async-h1`, reads heads and chunk sizes. What
//! `async-h1` 2.3.4 does with bodies doesn't fit here: it reads cut bodies as
//! complete, and its buffer takes bytes of the next message along, so that no
//! connection could be kept. Here each body byte is counted, and what belongs to
//! the next message stays in the [`InputBuffer`].

mod answer_message;
mod body_decoder;
mod body_framing;
mod complete_answer;
mod input_buffer;
mod message_headers;
mod request_message;
mod socket_options;
#[cfg(test)]
mod tests;
mod wire_error;

pub(crate) use answer_message::AnswerMessage;
pub(crate) use body_decoder::BodyDecoder;
pub(crate) use body_framing::BodyFraming;
pub(crate) use complete_answer::AnswerLimits;
pub(crate) use complete_answer::CompleteAnswer;
pub(crate) use complete_answer::can_reuse_connection;
pub(crate) use complete_answer::read_complete_answer;
pub(crate) use input_buffer::InputBuffer;
pub(crate) use message_headers::MessageHeaders;
pub(crate) use request_message::RequestMessage;
pub(crate) use socket_options::KeepaliveSettings;
pub(crate) use socket_options::configure_keepalive;
pub(crate) use wire_error::WireError;
