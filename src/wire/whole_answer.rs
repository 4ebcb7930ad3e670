//! Reads one answer to its proven end.

use async_std::net::TcpStream;

use super::AnswerMessage;
use super::BodyDecoder;
use super::BodyFraming;
use super::InputBuffer;
use super::WireError;

/// An answer that was read to its proven end.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    /// The head.
    pub(crate) head: AnswerMessage,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// Whether another request may be sent on the connection.
    pub(crate) keeps_connection: bool,
}

/// Reads the answer to a request of `method`.
///
/// # Errors
///
/// `Cut` when the connection ended or failed first, `Malformed`, or `BodyTooLarge`
/// beyond `max_bytes`.
pub(crate) async fn read_whole_answer(
    stream: &TcpStream,
    input: &mut InputBuffer,
    method: &str,
    max_bytes: usize,
) -> Result<WholeAnswer, WireError> {
    let head = loop {
        if let Some(head) = AnswerMessage::take(input)? {
            break head;
        }
        if input.fill(stream).await.map_err(|_| WireError::Cut)? == 0 {
            return Err(WireError::Cut);
        }
    };
    let framing = BodyFraming::of_answer(&head.headers, head.status, method)?;
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        decoder.decode(input, &mut body)?;
        if body.len() > max_bytes {
            return Err(WireError::BodyTooLarge);
        }
        if decoder.is_whole() {
            break;
        }
        if input.fill(stream).await.map_err(|_| WireError::Cut)? == 0 {
            decoder.end_of_connection()?;
        }
    }
    Ok(WholeAnswer {
        keeps_connection: keeps_connection(&head, framing),
        head,
        body,
    })
}

/// Tells whether the sender keeps the connection after this answer.
pub(crate) fn keeps_connection(head: &AnswerMessage, framing: BodyFraming) -> bool {
    framing != BodyFraming::UntilClose
        && !head.old_version
        && !head.headers.has_word("connection", "close")
}
