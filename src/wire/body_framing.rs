//! How the end of a message's body is declared.

use super::MessageHeaders;
use super::WireError;

/// How the end of a message's body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFraming {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The body ends with the connection; allowed for responses only.
    UntilClose,
}

impl BodyFraming {
    /// Returns the name of the framing in log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
        }
    }

    /// Returns the framing of a request.
    ///
    /// # Errors
    ///
    /// `Malformed` if the framing is ambiguous: another process on the path could take
    /// part of the body for a separate request (RFC 9112 section 6.3).
    pub(crate) fn for_request(headers: &MessageHeaders) -> Result<Self, WireError> {
        Ok(declared_framing(headers)?.unwrap_or(Self::Length(0)))
    }

    /// Returns the framing of a response with `status` to a request with `method`.
    ///
    /// # Errors
    ///
    /// Same as [`BodyFraming::for_request`].
    pub(crate) fn for_response(
        headers: &MessageHeaders,
        status: u16,
        method: &str,
    ) -> Result<Self, WireError> {
        let has_no_body = matches!(status, 100..=199 | 204 | 304) || method == "HEAD";
        let framing = declared_framing(headers)?;
        if has_no_body {
            return Ok(Self::Length(0));
        }
        Ok(framing.unwrap_or(Self::UntilClose))
    }
}

/// Returns the framing that the headers declare.
///
/// Refused are two lengths, a length together with chunked coding, a length that is
/// not a plain number and any coding other than `chunked`.
fn declared_framing(headers: &MessageHeaders) -> Result<Option<BodyFraming>, WireError> {
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
    // `u64::from_str` accepts a leading plus sign; HTTP does not.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(WireError::Malformed);
    }
    text.parse().map_err(|_| WireError::Malformed)
}
