//! Writes responses to callers.

use std::io;
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::AsyncWriteExt;

use super::edge_refusal::EdgeRefusal;
use crate::wire::BodyFraming;
use crate::wire::MessageHeaders;
use crate::wire::ResponseMessage;

/// Framing of the response body sent to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseFraming {
    /// By `Content-Length`.
    Length(usize),
    /// By chunked transfer coding.
    Chunked,
    /// By closing the connection: the caller speaks HTTP/1.0, or the target leaves the end of its
    /// response open, which the host can't declare for it.
    UntilClose,
}

/// Returns the head of a target's response as it is forwarded to the caller.
pub(crate) fn forwarded_head(
    head: &ResponseMessage,
    framing: ResponseFraming,
    close: bool,
) -> Vec<u8> {
    let mut headers = head.headers.clone();
    headers.remove_hop_by_hop();
    head_bytes(head.status, &headers, framing, close)
}

/// Returns a response that the host generates itself.
pub(crate) fn refusal_bytes(
    refusal: EdgeRefusal,
    echo: Option<(&str, &str)>,
    close: bool,
) -> Vec<u8> {
    let answer = refusal.kind.answer();
    let body = format!(
        "{{\"error\":\"{}\",\"message\":\"{}\"}}",
        refusal.kind, answer.message
    );
    let mut headers = MessageHeaders::default();
    headers.push("Content-Type", "application/json");
    if let Some((name, id)) = echo {
        headers.push(name, id);
    }
    if let Some(retry_after) = refusal.retry_after {
        headers.push("Retry-After", seconds_text(retry_after));
    }
    let framing = ResponseFraming::Length(body.len());
    let mut bytes = head_bytes(answer.status, &headers, framing, close);
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// Writes bytes to the caller.
///
/// # Errors
///
/// The caller disconnected.
pub(crate) async fn write_bytes(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

/// Appends a part of the body with the given framing.
pub(crate) fn write_chunk(framing: ResponseFraming, chunk: &[u8], output: &mut Vec<u8>) {
    if chunk.is_empty() {
        return;
    }
    if framing == ResponseFraming::Chunked {
        output.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    }
    output.extend_from_slice(chunk);
    if framing == ResponseFraming::Chunked {
        output.extend_from_slice(b"\r\n");
    }
}

/// Appends the end of a complete body.
pub(crate) fn write_end(framing: ResponseFraming, output: &mut Vec<u8>) {
    if framing == ResponseFraming::Chunked {
        output.extend_from_slice(b"0\r\n\r\n");
    }
}

/// Returns the framing of a streamed response to a request, which may be HTTP/1.0, and of which
/// the target declares the end by `declared`.
pub(crate) const fn stream_framing(is_http10: bool, declared: BodyFraming) -> ResponseFraming {
    match (is_http10, declared) {
        (true, _) | (false, BodyFraming::UntilClose) => ResponseFraming::UntilClose,
        (false, BodyFraming::Length(_) | BodyFraming::Chunked) => ResponseFraming::Chunked,
    }
}

fn head_bytes(
    status: u16,
    headers: &MessageHeaders,
    framing: ResponseFraming,
    close: bool,
) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    headers.write_to(&mut bytes);
    match framing {
        // Responses with these statuses have no body and so no length.
        ResponseFraming::Length(0) if matches!(status, 204 | 304) => {}
        ResponseFraming::Length(length) => {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        ResponseFraming::Chunked => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        ResponseFraming::UntilClose => {}
    }
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn reason_phrase(status: u16) -> &'static str {
    http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Status")
}

fn seconds_text(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64())
}
