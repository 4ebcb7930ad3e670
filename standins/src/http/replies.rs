//! Helpers to build answers and read request headers.

use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

/// Builds a 200 answer with `value` as JSON.
pub(crate) fn json_reply<T: Serialize>(value: &T) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_bytes(serde_json::to_vec(value)?));
    response.insert_header("Content-Type", "application/json");
    Ok(response)
}

/// Builds an answer with an empty body.
pub(crate) fn status_reply(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.set_body(Body::from_bytes(Vec::new()));
    response
}

/// Returns the last value of a header.
pub(crate) fn header_text(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.last().to_string())
}
