//! One request to a target on a connection of its own.
//!
//! A connection carries one exchange and is never used again: a connection that
//! another exchange left behind could hand a caller somebody else's answer, and
//! a kept one that the target closes meanwhile would make "was it sent?"
//! unanswerable. The connection is opened while the claim is under way, so it
//! costs the request no time.

use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client::Encoder;
use async_std::future::timeout;
use async_std::net::TcpStream;
use derive_more::Display;
use derive_more::Error;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::io;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Url;

use super::AnswerHead;
use super::MessageFraming;
use super::RequestHead;
use super::guarded_io::GuardedIo;
use super::head_buffer::HeadBuffer;
use super::request_head::collect_headers;
use super::socket_options::prepare_socket;
use crate::errors::ErrorKind;

/// How much of an answer's body is read at once, in bytes.
const PIECE_BYTES: usize = 8192;

/// What can go wrong with an exchange.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ExchangeError {
    /// No connection came about, so no byte was sent.
    #[display("the target can't be reached")]
    Unreachable,
    /// The connection ended before the message did.
    #[display("the connection ended early")]
    Truncated,
    /// Nothing came for too long.
    #[display("the connection is silent")]
    TimedOut,
    /// The message breaks HTTP/1.1, or doesn't say where it ends.
    #[display("the answer is broken")]
    Malformed,
}

/// A connection on which nothing was sent yet.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    stream: TcpStream,
    address: SocketAddr,
}

/// A request that was sent and whose answer is to be read.
#[derive(Debug)]
pub(crate) struct TargetExchange {
    stream: TcpStream,
}

/// An answer whose head is known.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    /// The head.
    pub(crate) head: AnswerHead,
    body: Body,
    framing: MessageFraming,
    received: u64,
}

impl TargetConnection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// `Unreachable`, also when connecting takes longer than `limit`.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| ExchangeError::Unreachable)?
            .map_err(|_| ExchangeError::Unreachable)?;
        prepare_socket(&stream);
        Ok(Self { stream, address })
    }

    /// Sends a request. From the first byte on the target may run it.
    ///
    /// # Errors
    ///
    /// `Truncated` or `TimedOut`; in both cases the target may have run the request.
    pub(crate) async fn send(
        mut self,
        head: &RequestHead,
        body: Vec<u8>,
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

    fn build_request(&self, head: &RequestHead, body: Vec<u8>) -> Result<Request, ExchangeError> {
        let mut url = Url::parse(&format!("http://{}", self.address))
            .map_err(|_| ExchangeError::Malformed)?;
        url.set_path(&head.path);
        url.set_query(head.query.as_deref());
        let method: Method = head.method.parse().map_err(|_| ExchangeError::Malformed)?;
        let mut request = Request::new(method, url);
        request.set_body(Body::from_bytes(body));
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
    /// `TimedOut` when no head came within `limit`, `Truncated` or `Malformed` otherwise.
    pub(crate) async fn read_answer(
        mut self,
        limit: Duration,
    ) -> Result<TargetAnswer, ExchangeError> {
        let mut buffer = HeadBuffer::default();
        let final_head = self.fill_final_head(&mut buffer);
        let head_bytes = timeout(limit, final_head)
            .await
            .map_err(|_| ExchangeError::TimedOut)??;
        let framing = MessageFraming::of_head(buffer.head(head_bytes))
            .map_err(|_| ExchangeError::Malformed)?;
        let sent = field_names(buffer.head(head_bytes));
        let ready = buffer.take_message(head_bytes, u64::MAX);
        let io = GuardedIo::new(ready, u64::MAX, self.stream);
        let mut response = async_h1::client::decode(io)
            .await
            .map_err(|_| ExchangeError::Malformed)?;
        // The parser adds fields of its own; the date that it adds has a line end
        // in it, which would end the head in the middle of the caller's answer.
        let mut headers = collect_headers(response.iter());
        headers.retain(|name, _| sent.binary_search(name).is_ok());
        let head = AnswerHead {
            status: response.status().into(),
            headers,
            length: declared_length(framing, response.status())?,
        };
        Ok(TargetAnswer {
            head,
            body: response.take_body(),
            framing,
            received: 0,
        })
    }

    /// Reads up to the end of the final answer's head and returns its length.
    ///
    /// Interim answers (1xx) may come at any time (RFC 9110 section 15.2). One
    /// that is taken for the answer turns a call that ran into a failed one.
    async fn fill_final_head(&mut self, buffer: &mut HeadBuffer) -> Result<usize, ExchangeError> {
        loop {
            let filled = buffer.fill_head(&mut self.stream).await;
            let head_bytes = filled
                .map_err(head_error)?
                .ok_or(ExchangeError::Truncated)?;
            if !is_interim(buffer.head(head_bytes)) {
                return Ok(head_bytes);
            }
            buffer.take_message(head_bytes, 0);
        }
    }
}

impl TargetAnswer {
    /// Reads the next piece of the body; `None` at its proven end.
    ///
    /// # Errors
    ///
    /// `TimedOut` when nothing came within `limit`, `Truncated` when the body ended
    /// before its declared length or its last chunk.
    pub(crate) async fn next_chunk(
        &mut self,
        limit: Duration,
    ) -> Result<Option<Vec<u8>>, ExchangeError> {
        if self.head.length == Some(self.received) {
            return Ok(None);
        }
        let mut piece = vec![0; PIECE_BYTES];
        let read = timeout(limit, self.body.read(&mut piece)).await;
        let count = read
            .map_err(|_| ExchangeError::TimedOut)?
            .map_err(|_| ExchangeError::Truncated)?;
        if count == 0 {
            // The parser takes an early end of a counted body for its end.
            return match self.framing {
                MessageFraming::Chunked => Ok(None),
                MessageFraming::Length(_) | MessageFraming::Undeclared => {
                    Err(ExchangeError::Truncated)
                }
            };
        }
        self.received += count as u64;
        piece.truncate(count);
        Ok(Some(piece))
    }
}

/// Returns the sorted lower-case names of a head's fields.
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

const fn head_error(kind: ErrorKind) -> ExchangeError {
    match kind {
        ErrorKind::HeadTooLarge => ExchangeError::Malformed,
        _ => ExchangeError::Truncated,
    }
}

/// Tells whether a head is of an interim answer. 101 is none: it ends HTTP.
fn is_interim(head: &[u8]) -> bool {
    head.starts_with(b"HTTP/1.1 1") && !head.starts_with(b"HTTP/1.1 101")
}

/// Returns the body's length; an answer that doesn't say where it ends can't be
/// told from a cut one, so it is broken.
fn declared_length(
    framing: MessageFraming,
    status: http_types::StatusCode,
) -> Result<Option<u64>, ExchangeError> {
    let bodiless = matches!(u16::from(status), 204 | 304);
    match framing {
        MessageFraming::Length(length) => Ok(Some(length)),
        MessageFraming::Chunked => Ok(None),
        MessageFraming::Undeclared if bodiless => Ok(Some(0)),
        MessageFraming::Undeclared => Err(ExchangeError::Malformed),
    }
}
