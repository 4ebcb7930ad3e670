//! Reads one response to its verified end.

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;

use super::BodyDecoder;
use super::BodyFraming;
use super::InputBuffer;
use super::ResponseMessage;
use super::WireError;
use super::was_reset;

/// A response that was read to its verified end.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) head: ResponseMessage,
    pub(crate) body: Vec<u8>,
    /// Whether another request may be sent on the connection.
    pub(crate) can_reuse_connection: bool,
}

/// Limits for reading a response. The total time depends on the size of the response and on the
/// link, so only the time between reads is limited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    /// Maximum size of the body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Maximum time until the first byte.
    pub(crate) first_byte_timeout: Duration,
    /// Maximum time between two reads.
    pub(crate) idle_timeout: Duration,
}

/// Reads the response to a request with `method`.
///
/// # Errors
///
/// `Truncated` when the connection was closed or failed first, `TimedOut` when a limit of
/// `limits` passed without a byte, `Malformed`, or `BodyTooLarge`.
pub(crate) async fn read_complete_response(
    stream: &TcpStream,
    input: &mut InputBuffer,
    method: &str,
    limits: ResponseLimits,
) -> Result<CompleteResponse, WireError> {
    let mut time_limit = limits.first_byte_timeout;
    let head = loop {
        if let Some(head) = ResponseMessage::take(input)? {
            break head;
        }
        if fill_with_timeout(stream, input, time_limit).await? == 0 {
            return Err(WireError::Truncated);
        }
        time_limit = limits.idle_timeout;
    };
    let framing = BodyFraming::for_response(&head.headers, head.status, method)?;
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
        if fill_with_timeout(stream, input, limits.idle_timeout).await? == 0 {
            if was_reset(stream) {
                return Err(WireError::Truncated);
            }
            decoder.finish_at_eof()?;
        }
    }
    Ok(CompleteResponse {
        can_reuse_connection: can_reuse_connection(&head, framing),
        head,
        body,
    })
}

/// Reads the bytes that arrive within `time_limit`; 0 at the end of the connection.
async fn fill_with_timeout(
    stream: &TcpStream,
    input: &mut InputBuffer,
    time_limit: Duration,
) -> Result<usize, WireError> {
    let filled = timeout(time_limit, input.fill_fairly(stream)).await;
    let filled = filled.map_err(|_| WireError::TimedOut)?;
    filled.map_err(|_| WireError::Truncated)
}

/// Returns whether the sender keeps the connection open after this response.
pub(crate) fn can_reuse_connection(head: &ResponseMessage, framing: BodyFraming) -> bool {
    framing != BodyFraming::UntilClose
        && !head.is_http10
        && !head.headers.has_token("connection", "close")
}
