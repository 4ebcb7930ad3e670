//! Parses and writes the head of a request.

use super::InputBuffer;
use super::MessageHeaders;
use super::WireError;

/// Maximum number of header lines of a message.
pub(super) const MAX_HEADER_LINES: usize = 96;

/// The request line and header lines of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RequestMessage {
    pub(crate) method: String,
    /// The path and query, as sent.
    pub(crate) target: String,
    /// Whether the request is HTTP/1.0, whose callers don't support chunked coding.
    pub(crate) is_http10: bool,
    pub(crate) headers: MessageHeaders,
}

impl RequestMessage {
    /// Removes a head from the buffer; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// `Malformed`, or `HeadTooLarge` above `max_bytes` or `MAX_HEADER_LINES`.
    pub(crate) fn take(
        input: &mut InputBuffer,
        max_bytes: usize,
    ) -> Result<Option<Self>, WireError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
        let mut parsed = httparse::Request::new(&mut lines);
        let bytes = input.bytes();
        let used = match parsed.parse(&bytes[..bytes.len().min(max_bytes)]) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if bytes.len() >= max_bytes => {
                return Err(WireError::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(WireError::HeadTooLarge),
            Err(_) => return Err(WireError::Malformed),
        };
        let (Some(method), Some(target), Some(version)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(WireError::Malformed);
        };
        let message = Self {
            method: method.to_owned(),
            target: target.to_owned(),
            is_http10: version == 0,
            headers: MessageHeaders::from_parsed(parsed.headers),
        };
        input.consume(used);
        Ok(Some(message))
    }

    /// Returns the path, without the query.
    pub(crate) fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Appends the head of a request with a body of `length` bytes to `output`.
    pub(crate) fn write_to(&self, length: usize, output: &mut Vec<u8>) {
        output.extend_from_slice(self.method.as_bytes());
        output.push(b' ');
        output.extend_from_slice(self.target.as_bytes());
        output.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write_to(output);
        if length > 0 || !matches!(self.method.as_str(), "GET" | "HEAD" | "DELETE") {
            output.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        output.extend_from_slice(b"\r\n");
    }
}
