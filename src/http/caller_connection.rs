//! A caller's connection: reads requests and writes answers, one at a time.

use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_h1::server::Encoder;
use async_std::future::timeout;
use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use futures_lite::io;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;

use super::AnswerHead;
use super::MessageFraming;
use super::RequestHead;
use super::bounded_io::BoundedIo;
use super::head_buffer::HeadBuffer;
use super::request_line::RequestTarget;
use super::socket_options::set_socket_options;
use crate::errors::ErrorKind;
use crate::limits::ByteBudget;
use crate::limits::BytePermit;
use crate::limits::ConnectionPermit;
use crate::limits::IncomingBody;
use crate::wire::ReadPacing;
use crate::wire::wait_hung_up;

/// Maximum idle time between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum time from the first byte of a head to its end. Without it, a caller
/// that sends a byte now and then would hold a connection indefinitely.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to read a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of one read of a body, in bytes.
const BODY_READ_BYTES: usize = 8 << 10;

/// Maximum time for which input is discarded after the last answer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes discarded after the last answer: twice the usual body
/// limit.
const MAX_DRAIN_BYTES: usize = 2 << 20;
/// Buffer size for reading discarded input, in bytes.
const DRAIN_BUFFER_BYTES: usize = 1024;

/// A caller's connection, with the bytes read ahead of the next request.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    stream: TcpStream,
    permit: ConnectionPermit,
    buffer: HeadBuffer,
    reusable: bool,
    /// Whether the current request is a `HEAD`. Its answer has no body: the caller
    /// would read a body as the head of the next answer.
    is_head_request: bool,
}

/// A request whose head has been parsed and whose body has not been read.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    framing: MessageFraming,
    body: Body,
}

impl CallerConnection {
    /// Wraps an accepted stream.
    pub(crate) fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        set_socket_options(&stream);
        Self {
            stream,
            permit,
            buffer: HeadBuffer::default(),
            reusable: true,
            is_head_request: false,
        }
    }

    /// Returns whether another request may follow on this connection.
    pub(crate) fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Reads the next request's head; `None` when the caller closed the connection, stayed idle for
    /// too long, or was evicted.
    ///
    /// # Errors
    ///
    /// The error to answer with; the connection then accepts no further request.
    pub(crate) async fn next_request(&mut self) -> Result<Option<CallerRequest>, ErrorKind> {
        self.is_head_request = false;
        self.permit.set_idle();
        let next = self.read_request().await;
        if next.is_err() {
            self.reusable = false;
        }
        next
    }

    async fn read_request(&mut self) -> Result<Option<CallerRequest>, ErrorKind> {
        if self.buffer.is_empty() && !self.wait_for_first_byte().await {
            return Ok(None);
        }
        if !self.permit.set_reading() {
            return Ok(None);
        }
        let filled = timeout(HEAD_TIMEOUT, self.buffer.fill_head(&mut self.stream));
        let filled = async { filled.await.unwrap_or(Err(ErrorKind::SlowCaller)) };
        let evicted = async {
            self.permit.evicted().await;
            Ok(None)
        };
        let Some(head_bytes) = or(filled, evicted).await? else {
            return Ok(None);
        };
        let framing = MessageFraming::from_head(self.buffer.head(head_bytes))?;
        let target = RequestTarget::from_head(self.buffer.head(head_bytes))?;
        let io = self.bound_message(head_bytes, framing);
        let (request, _) = async_h1::server::decode(io)
            .await
            .map_err(|_| ErrorKind::MalformedMessage)?
            .ok_or(ErrorKind::MalformedMessage)?;
        Ok(Some(self.build_request(request, target, framing)))
    }

    async fn wait_for_first_byte(&mut self) -> bool {
        let mut byte = [0; 1];
        let peeked = timeout(IDLE_TIMEOUT, self.stream.peek(&mut byte));
        let arrived = async { matches!(peeked.await, Ok(Ok(count)) if count > 0) };
        let evicted = async {
            self.permit.evicted().await;
            false
        };
        or(arrived, evicted).await
    }

    /// Waits until the connection is evicted, which may happen while part of a request is missing.
    pub(crate) async fn evicted(&self) {
        self.permit.evicted().await;
    }

    /// States that a request was received; returns whether there is a descriptor for its target.
    pub(crate) fn set_running(&self, limit: usize) -> bool {
        self.permit.set_running(limit)
    }

    fn bound_message(&mut self, head_bytes: usize, framing: MessageFraming) -> BoundedIo {
        let body_bytes = match framing {
            MessageFraming::Undeclared => 0,
            MessageFraming::Length(length) => length,
            // The end of a chunked body is not known in advance, so the parser's
            // buffer may consume bytes of a following message: none is accepted.
            MessageFraming::Chunked => {
                self.reusable = false;
                u64::MAX
            }
        };
        let buffered = self.buffer.take_message(head_bytes, body_bytes);
        let remaining = body_bytes - (buffered.len() - head_bytes) as u64;
        BoundedIo::new(buffered, remaining, self.stream.clone())
    }

    fn build_request(
        &mut self,
        mut request: http_types::Request,
        target: RequestTarget,
        framing: MessageFraming,
    ) -> CallerRequest {
        if requests_close(&request) {
            self.reusable = false;
        }
        self.is_head_request = request.method() == Method::Head;
        CallerRequest {
            head: RequestHead::from_request(&request, target),
            framing,
            body: request.take_body(),
        }
    }

    /// Makes the next answer the last one on this connection.
    ///
    /// Required after a request whose body was not read: its bytes would be parsed
    /// as the next request's head.
    pub(crate) fn close_after_answer(&mut self) {
        self.reusable = false;
    }

    /// Writes an answer. After an error the connection can't be used any more.
    pub(crate) async fn send_answer(
        &mut self,
        head: AnswerHead,
        body: impl AsyncBufRead + Send + Sync + Unpin + 'static,
    ) -> io::Result<()> {
        let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::InternalServerError);
        let mut response = Response::new(status);
        let length = head.length.and_then(|length| usize::try_from(length).ok());
        response.set_body(Body::from_reader(body, length));
        response.remove_header("content-type");
        for (name, value) in head.headers.iter() {
            response.insert_header(name.as_str(), value.as_str());
        }
        if !self.reusable {
            response.insert_header("connection", "close");
        }
        let method = match self.is_head_request {
            true => Method::Head,
            false => Method::Get,
        };
        let encoder = Encoder::new(response, method);
        let sent = io::copy(encoder, &mut self.stream).await;
        // A body that failed leaves the message truncated: nothing may follow it.
        if sent.is_err() {
            self.reusable = false;
        }
        sent?;
        self.stream.flush().await
    }

    /// Closes the connection so that the last answer still reaches the caller.
    ///
    /// Closing a socket while the caller is still sending resets the connection, and
    /// a reset discards the part of the answer that the caller has not read yet: it
    /// would see a connection error instead of the refusal. Therefore only the write
    /// side is shut down at first, and further input is read and discarded, up to
    /// `DRAIN_TIMEOUT` and `MAX_DRAIN_BYTES`.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut discarded = [0; DRAIN_BUFFER_BYTES];
        let drained = async {
            let mut remaining = MAX_DRAIN_BYTES;
            while remaining > 0 {
                match AsyncReadExt::read(&mut self.stream, &mut discarded).await {
                    Ok(count) if count > 0 => remaining = remaining.saturating_sub(count),
                    Ok(_) | Err(_) => return,
                }
            }
        };
        let drained = async { timeout(DRAIN_TIMEOUT, drained).await.unwrap_or(()) };
        or(drained, self.permit.evicted()).await;
    }

    /// Completes once the caller has closed its side of the connection.
    ///
    /// With bytes of a further request, the connection may also be evicted.
    pub(crate) async fn wait_closed(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => {
                self.permit.set_overflowing();
                or(wait_hung_up(&self.stream), self.permit.evicted()).await;
            }
        }
    }
}

impl CallerRequest {
    /// Returns whether the head declares a non-empty body.
    pub(crate) fn has_body(&self) -> bool {
        !matches!(
            self.framing,
            MessageFraming::Undeclared | MessageFraming::Length(0)
        )
    }

    /// Reads the whole body, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge`, `SlowCaller`, `MalformedMessage` when the body is shorter than its declared
    /// length, or `Overloaded` when there is no memory for it.
    pub(crate) async fn read_body(
        &mut self,
        max_bytes: u64,
        memory: &Arc<ByteBudget>,
    ) -> Result<(Bytes, BytePermit), ErrorKind> {
        if matches!(self.framing, MessageFraming::Length(length) if length > max_bytes) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let max_bytes = match self.framing {
            MessageFraming::Undeclared => 0,
            MessageFraming::Length(length) => length,
            MessageFraming::Chunked => max_bytes,
        };
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let mut incoming = IncomingBody::open(memory);
        let read = timeout(BODY_TIMEOUT, self.fill_body(&mut incoming, max_bytes));
        read.await.map_err(|_| ErrorKind::SlowCaller)??;
        // The parser reports a truncated body as complete; a truncated prompt would run.
        let count = incoming.len() as u64;
        match self.framing {
            MessageFraming::Length(length) if length != count => Err(ErrorKind::MalformedMessage),
            _ => incoming.finish().ok_or(ErrorKind::Overloaded),
        }
    }

    async fn fill_body(
        &mut self,
        incoming: &mut IncomingBody,
        max_bytes: usize,
    ) -> Result<(), ErrorKind> {
        let mut chunk = vec![0; BODY_READ_BYTES];
        let mut pacing = ReadPacing::default();
        loop {
            pacing.pace().await;
            let read = async { Some(AsyncReadExt::read(&mut self.body, &mut chunk).await) };
            let evicted = async {
                incoming.evicted().await;
                None
            };
            let count = match or(read, evicted).await {
                None => return Err(ErrorKind::Overloaded),
                Some(read) => read.map_err(|_| ErrorKind::MalformedMessage)?,
            };
            if count == 0 {
                return Ok(());
            }
            if incoming.len() + count > max_bytes {
                return Err(ErrorKind::BodyTooLarge);
            }
            let appended = incoming.append(&chunk[..count], max_bytes);
            appended.ok_or(ErrorKind::Overloaded)?;
        }
    }
}

fn requests_close(request: &http_types::Request) -> bool {
    let options = request.header("connection").into_iter().flatten();
    options
        .flat_map(|value| value.as_str().split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
