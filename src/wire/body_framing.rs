//! How a message says where its body ends.

use super::MessageHeaders;
use super::WireError;

/// Where a message's body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection; only answers may.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of a request.
    ///
    /// # Errors
    ///
    /// `Malformed` where it can be read in two ways: the next process could take
    /// a part of the body for another request (RFC 9112 section 6.3).
    pub(crate) fn of_request(headers: &MessageHeaders) -> Result<Self, WireError> {
        Ok(declared(headers)?.unwrap_or(Self::Length(0)))
    }

    /// Returns the framing of an answer with this status to a request of `method`.
    ///
    /// # Errors
    ///
    /// As [`BodyFraming::of_request`].
    pub(crate) fn of_answer(
        headers: &MessageHeaders,
        status: u16,
        method: &str,
    ) -> Result<Self, WireError> {
        let bodiless = matches!(status, 100..=199 | 204 | 304) || method == "HEAD";
        let framing = declared(headers)?;
        if bodiless {
            return Ok(Self::Length(0));
        }
        Ok(framing.unwrap_or(Self::UntilClose))
    }
}

/// Reads what the headers declare. Two lengths, a length beside chunks, a length
/// that is no plain number and any coding but `chunked` are refused.
fn declared(headers: &MessageHeaders) -> Result<Option<BodyFraming>, WireError> {
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(WireError::Malformed);
    }
    let mut codings = headers.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(WireError::Malformed);
    }
    match (length, coding) {
        (None, None) => Ok(None),
        (Some(length), None) => Ok(Some(BodyFraming::Length(parse_length(length)?))),
        (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        (_, Some(_)) => Err(WireError::Malformed),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, WireError> {
    let text = std::str::from_utf8(value.trim_ascii()).map_err(|_| WireError::Malformed)?;
    // `u64::from_str` takes a leading plus, which HTTP does not.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(WireError::Malformed);
    }
    text.parse().map_err(|_| WireError::Malformed)
}
