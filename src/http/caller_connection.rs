//! One caller's connection: requests come in, answers go out, in turn.

use std::net::Shutdown;
use std::time::Duration;

use async_h1::server::Encoder;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::io;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;

use super::AnswerHead;
use super::MessageFraming;
use super::RequestHead;
use super::guarded_io::GuardedIo;
use super::head_buffer::HeadBuffer;
use super::request_line::RequestTarget;
use super::socket_options::prepare_socket;
use crate::errors::ErrorKind;

/// How long a connection may stay idle between two requests.
const IDLE_LIMIT: Duration = Duration::from_secs(75);
/// How long a head may take once its first byte is there. A caller that sends
/// a byte now and then would otherwise hold a connection for ever.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// How long a body may take.
const BODY_LIMIT: Duration = Duration::from_secs(20);

/// How long a caller may go on sending after the last answer.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);
/// How much a caller may go on sending after the last answer: two of the usual
/// largest bodies.
const MAX_CLOSE_BYTES: usize = 2 << 20;
/// How much of that is read at once, in bytes.
const CLOSE_PIECE_BYTES: usize = 1024;

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    stream: TcpStream,
    buffer: HeadBuffer,
    reusable: bool,
    /// Whether the request is a `HEAD`, whose answer has no body: a body would
    /// be read as the head of the next answer.
    answers_head: bool,
}

/// A request whose head is known and whose body is still to be read.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The head.
    pub(crate) head: RequestHead,
    framing: MessageFraming,
    body: Body,
}

impl CallerConnection {
    /// Takes over an accepted stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        prepare_socket(&stream);
        Self {
            stream,
            buffer: HeadBuffer::default(),
            reusable: true,
            answers_head: false,
        }
    }

    /// Tells whether another request may follow on this connection.
    pub(crate) fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Reads the next request's head; `None` when the caller is done.
    ///
    /// # Errors
    ///
    /// The kind to answer with; the connection then carries no further request.
    pub(crate) async fn next_request(&mut self) -> Result<Option<CallerRequest>, ErrorKind> {
        self.answers_head = false;
        let next = self.read_request().await;
        if next.is_err() {
            self.reusable = false;
        }
        next
    }

    async fn read_request(&mut self) -> Result<Option<CallerRequest>, ErrorKind> {
        if self.buffer.is_empty() && !self.wait_first_byte().await {
            return Ok(None);
        }
        let filled = timeout(HEAD_LIMIT, self.buffer.fill_head(&mut self.stream)).await;
        let Some(head_bytes) = filled.map_err(|_| ErrorKind::SlowCaller)?? else {
            return Ok(None);
        };
        let framing = MessageFraming::of_head(self.buffer.head(head_bytes))?;
        let target = RequestTarget::of_head(self.buffer.head(head_bytes))?;
        let io = self.guard_message(head_bytes, framing);
        let (request, _) = async_h1::server::decode(io)
            .await
            .map_err(|_| ErrorKind::MalformedMessage)?
            .ok_or(ErrorKind::MalformedMessage)?;
        Ok(Some(self.open_request(request, target, framing)))
    }

    async fn wait_first_byte(&mut self) -> bool {
        let mut byte = [0; 1];
        match timeout(IDLE_LIMIT, self.stream.peek(&mut byte)).await {
            Ok(Ok(count)) => count > 0,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    fn guard_message(&mut self, head_bytes: usize, framing: MessageFraming) -> GuardedIo {
        let body_bytes = match framing {
            MessageFraming::Undeclared => 0,
            MessageFraming::Length(length) => length,
            // The parser's buffer may take bytes of a next message along, so
            // none may follow.
            MessageFraming::Chunked => {
                self.reusable = false;
                u64::MAX
            }
        };
        let ready = self.buffer.take_message(head_bytes, body_bytes);
        let left = body_bytes - (ready.len() - head_bytes) as u64;
        GuardedIo::new(ready, left, self.stream.clone())
    }

    fn open_request(
        &mut self,
        mut request: http_types::Request,
        target: RequestTarget,
        framing: MessageFraming,
    ) -> CallerRequest {
        if asks_to_close(&request) {
            self.reusable = false;
        }
        self.answers_head = request.method() == Method::Head;
        CallerRequest {
            head: RequestHead::of_request(&request, target),
            framing,
            body: request.take_body(),
        }
    }

    /// Marks the connection as one that ends with the next answer.
    ///
    /// For a request whose body was not read: its bytes would be taken for
    /// the next request's head.
    pub(crate) fn close_after_answer(&mut self) {
        self.reusable = false;
    }

    /// Writes an answer; the connection is of no further use when this fails.
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
        let method = match self.answers_head {
            true => Method::Head,
            false => Method::Get,
        };
        let encoder = Encoder::new(response, method);
        let sent = io::copy(encoder, &mut self.stream).await;
        // A body that failed leaves the message cut: nothing may follow it.
        if sent.is_err() {
            self.reusable = false;
        }
        sent?;
        self.stream.flush().await
    }

    /// Ends the connection so that the last answer still arrives.
    ///
    /// A socket that is closed while the caller still sends is reset, and a reset
    /// throws away the answer that the caller has not read yet: it would see a
    /// broken connection in place of the refusal. So this side ends first, and
    /// what the caller still sends is thrown away for a while.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut thrown_away = [0; CLOSE_PIECE_BYTES];
        let drained = async {
            let mut left = MAX_CLOSE_BYTES;
            while left > 0 {
                match AsyncReadExt::read(&mut self.stream, &mut thrown_away).await {
                    Ok(count) if count > 0 => left = left.saturating_sub(count),
                    Ok(_) | Err(_) => return,
                }
            }
        };
        timeout(CLOSE_LIMIT, drained).await.ok();
    }

    /// Waits until the caller has closed its side, or for ever.
    ///
    /// Bytes of a next request end the watch, since the caller is there.
    pub(crate) async fn wait_closed(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => std::future::pending().await,
        }
    }
}

impl CallerRequest {
    /// Tells whether a body was declared.
    pub(crate) fn has_body(&self) -> bool {
        !matches!(
            self.framing,
            MessageFraming::Undeclared | MessageFraming::Length(0)
        )
    }

    /// Returns the most bytes that the body may take, before it is read.
    pub(crate) fn max_body_len(&self, max_bytes: u64) -> usize {
        let bound = match self.framing {
            MessageFraming::Undeclared => 0,
            MessageFraming::Length(length) => length.min(max_bytes),
            MessageFraming::Chunked => max_bytes,
        };
        usize::try_from(bound).unwrap_or(usize::MAX)
    }

    /// Reads the whole body, at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge`, `SlowCaller`, or `MalformedMessage` when the body ended
    /// before its declared length.
    pub(crate) async fn read_body(&mut self, max_bytes: u64) -> Result<Vec<u8>, ErrorKind> {
        if matches!(self.framing, MessageFraming::Length(length) if length > max_bytes) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let mut bytes = Vec::new();
        let mut bounded = AsyncReadExt::take(&mut self.body, max_bytes.saturating_add(1));
        let read = timeout(BODY_LIMIT, bounded.read_to_end(&mut bytes)).await;
        read.map_err(|_| ErrorKind::SlowCaller)?
            .map_err(|_| ErrorKind::MalformedMessage)?;
        let count = bytes.len() as u64;
        if count > max_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        // The parser takes an early end for the end; a cut prompt would run.
        match self.framing {
            MessageFraming::Length(length) if length != count => Err(ErrorKind::MalformedMessage),
            _ => Ok(bytes),
        }
    }
}

fn asks_to_close(request: &http_types::Request) -> bool {
    let options = request.header("connection").into_iter().flatten();
    options
        .flat_map(|value| value.as_str().split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
