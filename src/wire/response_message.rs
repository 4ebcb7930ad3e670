//! Parses the head of a response.

use super::InputBuffer;
use super::MessageHeaders;
use super::WireError;
use super::request_message::MAX_HEADER_LINES;

/// Maximum size of a response's head, in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// The status line and header lines of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ResponseMessage {
    pub(crate) status: u16,
    /// Whether the response is HTTP/1.0, whose connections are not reused.
    pub(crate) is_http10: bool,
    pub(crate) headers: MessageHeaders,
}

impl ResponseMessage {
    /// Removes the next final head from the buffer; `None` while it is incomplete.
    ///
    /// Interim responses (RFC 9110 section 15.2) are skipped. If one were taken for the
    /// final response, a call that ran would be reported as failed.
    ///
    /// # Errors
    ///
    /// `Malformed` for bytes that are not an HTTP response, a status outside of 100 to 599, or a head
    /// above the maximum size.
    pub(crate) fn take(input: &mut InputBuffer) -> Result<Option<Self>, WireError> {
        while let Some(message) = Self::take_interim_or_final(input)? {
            match message.status {
                200..=599 => return Ok(Some(message)),
                100 | 102..=199 => {}
                // 101 ends HTTP on the connection, and the others are no status codes.
                _ => return Err(WireError::Malformed),
            }
        }
        Ok(None)
    }

    fn take_interim_or_final(input: &mut InputBuffer) -> Result<Option<Self>, WireError> {
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
            headers: MessageHeaders::from_parsed(parsed.headers),
        };
        input.consume(used);
        Ok(Some(message))
    }
}
