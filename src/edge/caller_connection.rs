//! Server side of one caller's HTTP connection; requests are read one after another.

use std::future::pending;
use std::net::Shutdown;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::AsyncWriteExt;
use rustix::net::sockopt::set_socket_linger;

use crate::catalog::CallerLimits;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::wire::BodyDecoder;
use crate::wire::BodyFraming;
use crate::wire::InputBuffer;
use crate::wire::KeepaliveSettings;
use crate::wire::RequestMessage;
use crate::wire::WireError;
use crate::wire::configure_keepalive;

/// Longest pause within a request body. Without it a caller that stops sending would keep
/// its buffered body in memory indefinitely.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that an idle connection stays open beyond the advertised idle timeout, so that a
/// request sent just before the timeout does not race with the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Limit on pipelined bytes that are buffered while a request runs.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// Bounds on reading after the last response. The caller's remaining data is drained
/// first, because closing with unread data resets the connection before the caller has
/// read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_READS: usize = 64;
/// TCP settings that detect a dead caller after 6 s, also an idle one: the user timeout ends the
/// connection before the last probe is counted. That is well before targets have finished work whose
/// response nobody would receive.
const KEEPALIVE: KeepaliveSettings = KeepaliveSettings {
    probe_interval: Duration::from_secs(2),
    max_probes: 3,
    user_timeout: Duration::from_secs(6),
};

/// A request that was read completely.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) message: RequestMessage,
    pub(crate) body: Vec<u8>,
    /// Arrival of the first byte, on the boot clock.
    pub(crate) arrived: Duration,
}

/// A request that could not be read, with as much of it as was parsed.
#[derive(Debug)]
pub(crate) struct BadRequest {
    pub(crate) kind: ErrorKind,
    /// The request head, if it was parsed.
    pub(crate) message: Option<RequestMessage>,
}

#[derive(Debug)]
pub(crate) struct CallerConnection {
    /// The socket, to which responses are written.
    pub(crate) stream: TcpStream,
    input: InputBuffer,
    /// Whether the connection may carry another request.
    pub(crate) reusable: bool,
}

impl CallerConnection {
    /// Wraps an accepted socket.
    pub(crate) fn new(stream: TcpStream) -> Self {
        configure_keepalive(&stream, KEEPALIVE);
        Self {
            stream,
            input: InputBuffer::default(),
            reusable: true,
        }
    }

    /// Reads the next request. Returns `None` when the caller has closed the connection
    /// or the idle timeout has passed.
    ///
    /// # Errors
    ///
    /// The error to respond with. The connection must not be used for another request.
    pub(crate) async fn next_request(
        &mut self,
        limits: CallerLimits,
    ) -> Result<Option<CallerRequest>, BadRequest> {
        self.input.shrink();
        if self.input.is_empty() {
            let idle = limits.idle_timeout + IDLE_MARGIN;
            match timeout(idle, self.input.fill(&self.stream)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(Ok(_) | Err(_)) | Err(_) => return Ok(None),
            }
        }
        let arrived = boot_now();
        let message = self.read_head(limits).await.map_err(|kind| BadRequest {
            kind,
            message: None,
        })?;
        let Some(message) = message else {
            return Ok(None);
        };
        if message.headers.has_token("connection", "close") || message.is_http10 {
            self.reusable = false;
        }
        match self.read_body(&message, limits).await {
            Ok(body) => Ok(Some(CallerRequest {
                message,
                body,
                arrived,
            })),
            Err(kind) => Err(BadRequest {
                kind,
                message: Some(message),
            }),
        }
    }

    async fn read_head(
        &mut self,
        limits: CallerLimits,
    ) -> Result<Option<RequestMessage>, ErrorKind> {
        let input = &mut self.input;
        let stream = &self.stream;
        let read = async {
            loop {
                if let Some(message) = RequestMessage::take(input, limits.head_bytes)? {
                    return Ok(Some(message));
                }
                match input.fill(stream).await {
                    Ok(count) if count > 0 => {}
                    // The caller disconnected within the head, so nobody is left to
                    // answer.
                    Ok(_) | Err(_) => return Ok(None),
                }
            }
        };
        timeout(limits.head_timeout, read)
            .await
            .unwrap_or(Err(ErrorKind::SlowCaller))
    }

    async fn read_body(
        &mut self,
        message: &RequestMessage,
        limits: CallerLimits,
    ) -> Result<Vec<u8>, ErrorKind> {
        let framing = BodyFraming::for_request(&message.headers)?;
        if matches!(framing, BodyFraming::Length(length) if length > limits.body_bytes as u64) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        let mut continue_done = !message.headers.has_token("expect", "100-continue");
        loop {
            decoder.decode(&mut self.input, &mut body)?;
            if body.len() > limits.body_bytes {
                return Err(ErrorKind::BodyTooLarge);
            }
            if decoder.is_complete() {
                return Ok(body);
            }
            if !continue_done {
                continue_done = true;
                let interim = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                interim.await.map_err(|_| WireError::Truncated)?;
            }
            match timeout(BODY_TIMEOUT, self.input.fill(&self.stream)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(Ok(_) | Err(_)) => return Err(ErrorKind::MalformedMessage),
                Err(_) => return Err(ErrorKind::SlowCaller),
            }
        }
    }

    /// Prepares for a response that ends with the connection: until [`Self::close`], any end of
    /// it, the end of this process included, is a reset. A plain close would make a truncated
    /// response look complete.
    pub(crate) fn end_by_close(&mut self) {
        self.reusable = false;
        set_socket_linger(&self.stream, Some(Duration::ZERO)).ok();
    }

    /// Waits until the caller closes its side; never returns otherwise. Data that arrives
    /// meanwhile is buffered for the next request.
    pub(crate) async fn disconnected(&mut self) {
        while self.input.len() < MAX_PIPELINED_BYTES {
            match self.input.fill(&self.stream).await {
                Ok(count) if count > 0 => {}
                Ok(_) | Err(_) => return,
            }
        }
        pending().await
    }

    /// Closes the connection gracefully, so that the last response is still delivered.
    pub(crate) async fn close(mut self) {
        set_socket_linger(&self.stream, None).ok();
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drain = async {
            for _ in 0..MAX_LINGER_READS {
                self.input.consume(self.input.len());
                match self.input.fill(&self.stream).await {
                    Ok(count) if count > 0 => {}
                    Ok(_) | Err(_) => return,
                }
            }
        };
        timeout(LINGER_TIMEOUT, drain).await.ok();
    }
}
