//! The target of a request, read from the request line, and checks that the parser lacks.

use crate::errors::ErrorKind;

/// Maximum number of header fields; `async-h1` refuses more without a specific error.
const MAX_HEADER_FIELDS: usize = 128;
const LINE_END: &str = "\r\n";

/// A request's path and query, as the caller sent them.
///
/// The URL that the parser builds has the dot segments of `/v1/x/../y` resolved, and
/// a slash in the `Host` field becomes part of the path: routes would be matched
/// against a path that differs from the one the caller sent and from the one that a
/// proxy in front of the host has checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RequestTarget {
    /// The path.
    pub(crate) path: String,
    /// The query, without the question mark.
    pub(crate) query: Option<String>,
}

impl RequestTarget {
    /// Parses the target from a head that ends with an empty line.
    ///
    /// # Errors
    ///
    /// `MalformedMessage` for a version other than HTTP/1.1, a target that is not a
    /// path, and a `Host` field that is missing, repeated or invalid; `HeadTooLarge`
    /// for too many fields.
    pub(crate) fn from_head(head: &[u8]) -> Result<Self, ErrorKind> {
        let text = std::str::from_utf8(head).map_err(|_| ErrorKind::MalformedMessage)?;
        let mut lines = text.split(LINE_END).filter(|line| !line.is_empty());
        let target = parse_request_line(lines.next().unwrap_or_default())?;
        let fields: Vec<&str> = lines.collect();
        if fields.len() > MAX_HEADER_FIELDS {
            return Err(ErrorKind::HeadTooLarge);
        }
        match has_one_valid_host(&fields) {
            true => Ok(target),
            false => Err(ErrorKind::MalformedMessage),
        }
    }
}

fn parse_request_line(line: &str) -> Result<RequestTarget, ErrorKind> {
    let mut parts = line.split(' ');
    let (_method, target, version) = (parts.next(), parts.next(), parts.next());
    let target = target.unwrap_or_default();
    let is_path = target.starts_with('/') && !target.contains('#');
    if !is_path || version != Some("HTTP/1.1") || parts.next().is_some() {
        return Err(ErrorKind::MalformedMessage);
    }
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path, Some(query.to_string())),
        None => (target, None),
    };
    Ok(RequestTarget {
        path: path.to_string(),
        query,
    })
}

fn has_one_valid_host(fields: &[&str]) -> bool {
    let mut hosts = fields
        .iter()
        .filter_map(|line| line.split_once(':'))
        .filter(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = hosts.next();
    host.is_some_and(|(_, value)| is_valid_host(value.trim())) && hosts.next().is_none()
}

fn is_valid_host(value: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_:[]%".contains(&byte);
    !value.is_empty() && value.bytes().all(allowed)
}
