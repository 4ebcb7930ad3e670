//! One request to a target, on its own connection.
//!
//! Connections to targets are not reused. After an earlier exchange, bytes left on
//! the connection could give a caller the answer to another request; and if the
//! target closed an idle connection at the same time, the host could not tell
//! whether a request was sent. The connection is opened while the claim is being
//! made, so it adds no latency to the request.

use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client::Encoder;
use async_std::future::timeout;
use async_std::net::TcpStream;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use futures_lite::AsyncWriteExt;
use futures_lite::io;
use futures_lite::io::Cursor;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Url;

use super::AnswerHead;
use super::MessageFraming;
use super::RequestHead;
use super::bounded_io::BoundedIo;
use super::head_buffer::HeadBuffer;
use super::request_head::collect_headers;
use super::socket_options::set_socket_options;
use crate::errors::ErrorKind;
use crate::wire::BodyDecoder;
use crate::wire::BodyFraming;
use crate::wire::InputBuffer;

/// Why an exchange with a target failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ExchangeError {
    /// No connection was established, so no byte was sent.
    #[display("target unreachable")]
    Unreachable,
    /// The connection was closed or failed before the end of the message.
    #[display("connection closed before the end of the message")]
    Truncated,
    /// Sending, or waiting for the head or the next chunk of the answer, exceeded its time limit.
    #[display("timed out")]
    TimedOut,
    /// The message violates HTTP/1.1 or doesn't declare where it ends.
    #[display("malformed message")]
    Malformed,
}

/// A connection on which nothing has been sent yet.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    stream: TcpStream,
    address: SocketAddr,
}

/// A request that has been sent and whose answer has not been read.
#[derive(Debug)]
pub(crate) struct TargetExchange {
    stream: TcpStream,
}

/// An answer whose head has been parsed and whose body is read in chunks.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) head: AnswerHead,
    stream: TcpStream,
    input: InputBuffer,
    decoder: BodyDecoder,
}

impl TargetConnection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// `Unreachable`, including when connecting takes longer than `limit`.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| ExchangeError::Unreachable)?
            .map_err(|_| ExchangeError::Unreachable)?;
        set_socket_options(&stream);
        Ok(Self { stream, address })
    }

    /// Sends a request. The target may run it from the first byte on.
    ///
    /// # Errors
    ///
    /// `Truncated` or `TimedOut`; in both cases the target may have run the request.
    pub(crate) async fn send(
        mut self,
        head: &RequestHead,
        body: Bytes,
        limit: Duration,
    ) -> Result<TargetExchange, ExchangeError> {
        let request = self.build_request(head, body)?;
        let encoder = Encoder::new(request);
        let sent = timeout(limit, io::copy(encoder, &mut self.stream)).await;
        sent.map_err(|_| ExchangeError::TimedOut)?
            .map_err(|_| ExchangeError::Truncated)?;
        self.stream
            .flush()
            .await
            .map_err(|_| ExchangeError::Truncated)?;
        Ok(TargetExchange {
            stream: self.stream,
        })
    }

    fn build_request(&self, head: &RequestHead, body: Bytes) -> Result<Request, ExchangeError> {
        let mut url = Url::parse(&format!("http://{}", self.address))
            .map_err(|_| ExchangeError::Malformed)?;
        url.set_path(&head.path);
        url.set_query(head.query.as_deref());
        let method: Method = head.method.parse().map_err(|_| ExchangeError::Malformed)?;
        let mut request = Request::new(method, url);
        let length = body.len();
        request.set_body(Body::from_reader(Cursor::new(body), Some(length)));
        request.remove_header("content-type");
        for (name, value) in head.headers.iter() {
            request.insert_header(name.as_str(), value.as_str());
        }
        request.insert_header("connection", "close");
        Ok(request)
    }
}

impl TargetExchange {
    /// Reads the answer's head.
    ///
    /// # Errors
    ///
    /// `TimedOut` when no complete head arrives within `limit`, `Truncated` or
    /// `Malformed` otherwise.
    pub(crate) async fn read_answer(
        mut self,
        limit: Duration,
    ) -> Result<TargetAnswer, ExchangeError> {
        let mut buffer = HeadBuffer::default();
        let final_head = self.read_final_head(&mut buffer);
        let head_bytes = timeout(limit, final_head)
            .await
            .map_err(|_| ExchangeError::TimedOut)??;
        let framing = MessageFraming::from_head(buffer.head(head_bytes))
            .map_err(|_| ExchangeError::Malformed)?;
        let sent = field_names(buffer.head(head_bytes));
        // The parser reads the head only. It takes a body that ends early for complete, and waits
        // forever where a trailer does.
        let io = BoundedIo::new(buffer.take_message(head_bytes, 0), 0, self.stream.clone());
        let response = async_h1::client::decode(io)
            .await
            .map_err(|_| ExchangeError::Malformed)?;
        let status = u16::from(response.status());
        if !(200..=599).contains(&status) {
            return Err(ExchangeError::Malformed);
        }
        // The parser adds fields that the target did not send. The `Date` that it adds
        // contains a line end, which would end the head of the caller's answer early.
        let mut headers = collect_headers(response.iter());
        headers.retain(|name, _| sent.binary_search(name).is_ok());
        let head = AnswerHead {
            status,
            headers,
            length: declared_length(framing, status)?,
        };
        let mut input = InputBuffer::default();
        input.append(&buffer.take_message(0, u64::MAX));
        Ok(TargetAnswer {
            decoder: BodyDecoder::new(match head.length {
                Some(length) => BodyFraming::Length(length),
                None => BodyFraming::Chunked,
            }),
            head,
            stream: self.stream,
            input,
        })
    }

    /// Reads up to the end of the final answer's head and returns its length.
    ///
    /// Interim answers (1xx) may arrive at any time (RFC 9110 section 15.2) and are
    /// skipped. If one were taken for the final answer, a call that ran would be
    /// reported as failed.
    async fn read_final_head(&mut self, buffer: &mut HeadBuffer) -> Result<usize, ExchangeError> {
        loop {
            let filled = buffer.fill_head(&mut self.stream).await;
            let head_bytes = filled
                .map_err(exchange_error)?
                .ok_or(ExchangeError::Truncated)?;
            if !is_interim(buffer.head(head_bytes)) {
                return Ok(head_bytes);
            }
            buffer.take_message(head_bytes, 0);
        }
    }
}

impl TargetAnswer {
    /// Reads the next chunk of the body; `None` at its verified end.
    ///
    /// # Errors
    ///
    /// `TimedOut` when nothing arrives within `limit`, `Truncated` when the body ends before its
    /// declared length or the end of its chunks, `Malformed` for chunks that can't be read.
    pub(crate) async fn next_chunk(
        &mut self,
        limit: Duration,
    ) -> Result<Option<Vec<u8>>, ExchangeError> {
        // Trailers without end arrive, and yield no chunk.
        let read = timeout(limit, self.read_chunk()).await;
        read.map_err(|_| ExchangeError::TimedOut)?
    }

    async fn read_chunk(&mut self) -> Result<Option<Vec<u8>>, ExchangeError> {
        let mut chunk = Vec::new();
        loop {
            let decoded = self.decoder.decode(&mut self.input, &mut chunk);
            decoded.map_err(|_| ExchangeError::Malformed)?;
            if !chunk.is_empty() {
                return Ok(Some(chunk));
            }
            if self.decoder.is_complete() {
                return Ok(None);
            }
            match self.input.fill_fairly(&self.stream).await {
                Ok(count) if count > 0 => {}
                Ok(_) | Err(_) => return Err(ExchangeError::Truncated),
            }
        }
    }
}

/// Returns the lower-case names of a head's fields, sorted.
fn field_names(head: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(head);
    let mut names: Vec<String> = text
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(':'))
        .map(|(name, _)| name.to_ascii_lowercase())
        .collect();
    names.sort();
    names
}

const fn exchange_error(kind: ErrorKind) -> ExchangeError {
    match kind {
        ErrorKind::HeadTooLarge => ExchangeError::Malformed,
        _ => ExchangeError::Truncated,
    }
}

/// Returns whether a head belongs to an interim answer. 101 does not count: after it
/// the connection no longer carries HTTP.
fn is_interim(head: &[u8]) -> bool {
    head.starts_with(b"HTTP/1.1 1") && !head.starts_with(b"HTTP/1.1 101")
}

/// Returns the declared length of the body; `None` for chunked coding.
///
/// An answer that doesn't declare where it ends can't be distinguished from a
/// truncated one, so it is malformed.
fn declared_length(framing: MessageFraming, status: u16) -> Result<Option<u64>, ExchangeError> {
    let has_no_body = matches!(status, 204 | 304);
    match framing {
        MessageFraming::Length(length) => Ok(Some(length)),
        MessageFraming::Chunked => Ok(None),
        MessageFraming::Undeclared if has_no_body => Ok(Some(0)),
        MessageFraming::Undeclared => Err(ExchangeError::Malformed),
    }
}
