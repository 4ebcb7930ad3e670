//! The head of an answer.

use super::InputBuffer;
use super::MessageHeaders;
use super::WireError;
use super::request_message::MAX_HEADER_LINES;

/// The largest head of an answer, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// The head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AnswerMessage {
    /// The status.
    pub(crate) status: u16,
    /// Whether the sender speaks HTTP/1.0, and so keeps no connection.
    pub(crate) is_http10: bool,
    /// The header lines.
    pub(crate) headers: MessageHeaders,
}

impl AnswerMessage {
    /// Takes the next final head from the buffer; `None` while it is not whole.
    /// Interim answers (RFC 9110 section 15.2) are passed over: one that is taken
    /// for the answer turns a call that ran into a failed one.
    ///
    /// # Errors
    ///
    /// `Malformed` for bytes that are no answer.
    pub(crate) fn take(input: &mut InputBuffer) -> Result<Option<Self>, WireError> {
        while let Some(message) = Self::take_any(input)? {
            if !matches!(message.status, 100 | 102..=199) {
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    fn take_any(input: &mut InputBuffer) -> Result<Option<Self>, WireError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Response::new(&mut lines);
        let used = match parsed.parse(input.bytes()) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if input.len() < MAX_ANSWER_HEAD_BYTES => {
                return Ok(None);
            }
            Ok(httparse::Status::Partial) | Err(_) => return Err(WireError::Malformed),
        };
        let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
            return Err(WireError::Malformed);
        };
        let message = Self {
            status,
            is_http10: version == 0,
            headers: MessageHeaders::of_parsed(parsed.headers),
        };
        input.consume(used);
        Ok(Some(message))
    }
}
