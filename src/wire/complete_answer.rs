//! Reads one answer to its proven end.

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;

use super::AnswerMessage;
use super::BodyDecoder;
use super::BodyFraming;
use super::InputBuffer;
use super::WireError;

/// An answer that was read to its proven end.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    /// The head.
    pub(crate) head: AnswerMessage,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// Whether another request may be sent on the connection.
    pub(crate) can_reuse_connection: bool,
}

/// What bounds the reading of an answer. How long all of it takes depends on its size and on
/// the link, so only pauses are bounded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerLimits {
    /// The largest body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// How long the first byte may take.
    pub(crate) first_byte_timeout: Duration,
    /// The longest pause between bytes.
    pub(crate) idle_timeout: Duration,
}

/// Reads the answer to a request of `method`.
///
/// # Errors
///
/// `Truncated` when the connection ended or failed first, `TimedOut` behind a pause, `Malformed`,
/// or `BodyTooLarge`.
pub(crate) async fn read_complete_answer(
    stream: &TcpStream,
    input: &mut InputBuffer,
    method: &str,
    limits: AnswerLimits,
) -> Result<CompleteAnswer, WireError> {
    let mut patience = limits.first_byte_timeout;
    let head = loop {
        if let Some(head) = AnswerMessage::take(input)? {
            break head;
        }
        if fill_within(stream, input, patience).await? == 0 {
            return Err(WireError::Truncated);
        }
        patience = limits.idle_timeout;
    };
    let framing = BodyFraming::of_answer(&head.headers, head.status, method)?;
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        decoder.decode(input, &mut body)?;
        if body.len() > limits.max_body_bytes {
            return Err(WireError::BodyTooLarge);
        }
        if decoder.is_complete() {
            break;
        }
        if fill_within(stream, input, limits.idle_timeout).await? == 0 {
            decoder.finish_at_eof()?;
        }
    }
    Ok(CompleteAnswer {
        can_reuse_connection: can_reuse_connection(&head, framing),
        head,
        body,
    })
}

/// Reads what comes within `patience`; 0 at the connection's end.
async fn fill_within(
    stream: &TcpStream,
    input: &mut InputBuffer,
    patience: Duration,
) -> Result<usize, WireError> {
    let filled = timeout(patience, input.fill(stream)).await;
    let filled = filled.map_err(|_| WireError::TimedOut)?;
    filled.map_err(|_| WireError::Truncated)
}

/// Tells whether the sender keeps the connection after this answer.
pub(crate) fn can_reuse_connection(head: &AnswerMessage, framing: BodyFraming) -> bool {
    framing != BodyFraming::UntilClose
        && !head.is_http10
        && !head.headers.has_token("connection", "close")
}
