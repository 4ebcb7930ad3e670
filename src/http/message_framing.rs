//! How the head of a message declares the end of its body.

use crate::errors::ErrorKind;

/// How the end of a message's body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MessageFraming {
    /// The head has neither `Content-Length` nor `Transfer-Encoding`.
    Undeclared,
    /// `Content-Length`, in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

impl MessageFraming {
    /// Parses the framing from a head that ends with an empty line.
    ///
    /// # Errors
    ///
    /// `MalformedMessage` if the framing is ambiguous: two recipients that parse it
    /// differently would take part of one caller's body for another request
    /// (request smuggling, RFC 9112 section 6.3). Refused are two lengths, a length
    /// together with chunked coding, a length that is not a number, any coding other
    /// than `chunked`, a space before the colon of a field and a folded line.
    pub(crate) fn from_head(head: &[u8]) -> Result<Self, ErrorKind> {
        let mut length = None;
        let mut chunked = false;
        let text = ascii_text(head)?;
        let mut lines = text.split("\r\n");
        lines.next();
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = split_field(line)?;
            if name.eq_ignore_ascii_case("content-length") {
                let declared = parse_length(value)?;
                if length.replace(declared).is_some() {
                    return Err(ErrorKind::MalformedMessage);
                }
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                if chunked || !value.eq_ignore_ascii_case("chunked") {
                    return Err(ErrorKind::MalformedMessage);
                }
                chunked = true;
            }
        }
        match (length, chunked) {
            (Some(_), true) => Err(ErrorKind::MalformedMessage),
            (Some(length), false) => Ok(Self::Length(length)),
            (None, true) => Ok(Self::Chunked),
            (None, false) => Ok(Self::Undeclared),
        }
    }
}

/// Decodes a head that consists of printable ASCII, spaces, tabs and line ends only.
///
/// `http-types` panics on a field value outside ASCII, which would terminate the
/// task that serves the connection without an answer.
fn ascii_text(head: &[u8]) -> Result<&str, ErrorKind> {
    let is_allowed = |byte: &u8| matches!(byte, b' '..=b'~' | b'\t' | b'\r' | b'\n');
    let text = std::str::from_utf8(head).map_err(|_| ErrorKind::MalformedMessage)?;
    match head.iter().all(is_allowed) {
        true => Ok(text),
        false => Err(ErrorKind::MalformedMessage),
    }
}

fn split_field(line: &str) -> Result<(&str, &str), ErrorKind> {
    let (name, value) = line.split_once(':').ok_or(ErrorKind::MalformedMessage)?;
    let valid_name = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
    if !valid_name || value.contains(['\n', '\r', '\0']) {
        return Err(ErrorKind::MalformedMessage);
    }
    Ok((name, value.trim()))
}

fn parse_length(value: &str) -> Result<u64, ErrorKind> {
    // `u64::from_str` accepts a leading plus sign; HTTP does not.
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ErrorKind::MalformedMessage);
    }
    value.parse().map_err(|_| ErrorKind::MalformedMessage)
}
