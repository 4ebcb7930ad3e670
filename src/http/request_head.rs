//! The head of a request, as filters read it and hosts send it to their peers.

use serde::Deserialize;
use serde::Serialize;

use super::request_line::RequestTarget;
use crate::sorted::SortedMap;

/// Header fields by lower-case name; the values of a repeated field are joined with commas.
pub type HeaderMap = SortedMap<String, String>;

/// Fields that concern a single connection and are never forwarded (RFC 9110 section
/// 7.6.1), in alphabetical order for the binary search.
pub(crate) const HOP_BY_HOP_FIELDS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request's method, path and header fields.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: Option<String>,
    /// The header fields.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Builds the head from a parsed request and the target read from its first line.
    pub(crate) fn from_request(request: &http_types::Request, target: RequestTarget) -> Self {
        Self {
            method: request.method().to_string(),
            path: target.path,
            query: target.query,
            headers: collect_headers(request.iter()),
        }
    }

    /// Returns the value of a header field, by lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Collects header fields by lower-case name, without the hop-by-hop ones.
pub(crate) fn collect_headers<'a>(
    fields: impl Iterator<
        Item = (
            &'a http_types::headers::HeaderName,
            &'a http_types::headers::HeaderValues,
        ),
    >,
) -> HeaderMap {
    fields
        .map(|(name, values)| (name.as_str().to_ascii_lowercase(), join_values(values)))
        .filter(|(name, _)| HOP_BY_HOP_FIELDS.binary_search(&name.as_str()).is_err())
        .collect()
}

fn join_values(values: &http_types::headers::HeaderValues) -> String {
    let values: Vec<&str> = values.iter().map(|value| value.as_str()).collect();
    values.join(", ")
}
