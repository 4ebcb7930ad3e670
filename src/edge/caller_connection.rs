//! Server side of one caller's HTTP connection; requests are read one after another.

use std::future::pending;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use rustix::net::sockopt::set_socket_linger;

use super::edge_refusal::EdgeRefusal;
use crate::catalog::CallerLimits;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::limits::ByteBudget;
use crate::limits::BytePermit;
use crate::limits::ConnectionPermit;
use crate::limits::IncomingBody;
use crate::wire::BodyDecoder;
use crate::wire::BodyFraming;
use crate::wire::InputBuffer;
use crate::wire::KeepaliveSettings;
use crate::wire::RequestMessage;
use crate::wire::configure_keepalive;
use crate::wire::wait_hung_up;

/// Part of a head that is not counted as held memory, in bytes.
const FREE_HEAD_BYTES: usize = 4 << 10;
/// Delay after which a caller may retry for whose request there was no memory: until bodies that
/// are being received are complete or evicted.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time that an idle connection stays open beyond the advertised idle timeout, so that a
/// request sent just before the timeout does not race with the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Limit on pipelined bytes that are buffered while a request runs.
const MAX_PIPELINED_BYTES: usize = 8 << 10;
/// Bounds on reading after the last response. The caller's remaining data is drained
/// first, because closing with unread data resets the connection before the caller has
/// read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_BYTES: usize = 4 << 20;
/// TCP settings that detect a dead caller after 6 s, also an idle one: the user timeout ends the
/// connection before the last probe is counted. That is well before targets have finished work whose
/// response nobody would receive.
const KEEPALIVE: KeepaliveSettings = KeepaliveSettings {
    probe_interval: Duration::from_secs(2),
    max_probes: 3,
    user_timeout: Duration::from_secs(6),
};

/// A request of which the head was read, with as much of the body as came with it.
#[derive(Debug)]
pub(crate) struct RequestStart {
    pub(crate) message: RequestMessage,
    /// Arrival of the first byte, on the boot clock.
    pub(crate) arrived: Duration,
    /// The limits in force when it arrived.
    limits: CallerLimits,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

/// A request that was read completely.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) message: RequestMessage,
    pub(crate) body: Bytes,
    /// Arrival of the first byte, on the boot clock.
    pub(crate) arrived: Duration,
    /// The memory of the body.
    pub(crate) _permit: BytePermit,
}

/// A request that could not be read, with as much of it as was parsed.
#[derive(Debug)]
pub(crate) struct BadRequest {
    pub(crate) refusal: EdgeRefusal,
    /// The request head, if it was parsed.
    pub(crate) message: Option<RequestMessage>,
}

#[derive(Debug)]
pub(crate) struct CallerConnection {
    /// The socket, to which responses are written.
    pub(crate) stream: TcpStream,
    /// The entry in the table of connections.
    pub(crate) permit: ConnectionPermit,
    input: InputBuffer,
    /// Whether the connection may carry another request.
    pub(crate) reusable: bool,
}

impl RequestStart {
    /// Returns whether the whole body came with the head.
    pub(crate) const fn is_complete(&self) -> bool {
        self.decoder.is_complete()
    }
}

impl BadRequest {
    fn without_head(refusal: impl Into<EdgeRefusal>) -> Self {
        Self {
            refusal: refusal.into(),
            message: None,
        }
    }

    /// Refuses a request with a known head.
    pub(crate) fn of(message: RequestMessage, refusal: impl Into<EdgeRefusal>) -> Self {
        Self {
            refusal: refusal.into(),
            message: Some(message),
        }
    }
}

impl CallerConnection {
    /// Wraps an accepted socket.
    pub(crate) fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        configure_keepalive(&stream, KEEPALIVE);
        Self {
            stream,
            permit,
            input: InputBuffer::default(),
            reusable: true,
        }
    }

    /// Reads the head of the next request, within the `limits` that are in force when it arrives.
    /// Returns `None` when the caller has closed the connection, the idle timeout has passed, or the
    /// connection was evicted.
    ///
    /// # Errors
    ///
    /// The error to respond with. The connection must not be used for another request.
    pub(crate) async fn next_request(
        &mut self,
        limits: impl Fn() -> CallerLimits,
        memory: &Arc<ByteBudget>,
    ) -> Result<Option<RequestStart>, BadRequest> {
        self.input.shrink();
        if self.input.is_empty() && !self.wait_for_bytes(&limits).await {
            return Ok(None);
        }
        if !self.permit.set_reading() {
            return Ok(None);
        }
        let arrived = boot_now();
        let limits = limits();
        let Some(message) = self.read_head(limits, memory).await? else {
            return Ok(None);
        };
        if message.headers.has_token("connection", "close") || message.is_http10 {
            self.reusable = false;
        }
        match self.start_body(&message, limits) {
            Ok((decoder, body)) => Ok(Some(RequestStart {
                message,
                arrived,
                limits,
                decoder,
                body,
            })),
            Err(kind) => Err(BadRequest::of(message, kind)),
        }
    }

    /// Waits for the first bytes of a request; returns whether they came within the idle timeout.
    async fn wait_for_bytes(&mut self, limits: &impl Fn() -> CallerLimits) -> bool {
        let idle_since = boot_now();
        loop {
            let idle = boot_now().saturating_sub(idle_since);
            // A longer timeout may have been configured since the last look.
            let left = (limits().idle_timeout + IDLE_MARGIN).saturating_sub(idle);
            if left.is_zero() {
                return false;
            }
            let filled = timeout(left, self.input.fill(&self.stream));
            let filled = or(async { Some(filled.await) }, async {
                self.permit.evicted().await;
                None
            });
            match filled.await {
                Some(Ok(Ok(count))) => return count > 0,
                Some(Err(_)) => {}
                Some(Ok(Err(_))) | None => return false,
            }
        }
    }

    async fn read_head(
        &mut self,
        limits: CallerLimits,
        memory: &Arc<ByteBudget>,
    ) -> Result<Option<RequestMessage>, BadRequest> {
        let input = &mut self.input;
        let stream = &self.stream;
        let read = async {
            let mut held: Option<IncomingBody> = None;
            loop {
                let taken = RequestMessage::take(input, limits.head_bytes);
                if let Some(message) = taken.map_err(ErrorKind::from)? {
                    return Ok(Some(message));
                }
                if input.len() > FREE_HEAD_BYTES {
                    let held = held.get_or_insert_with(|| IncomingBody::open(memory));
                    if !held.count_bytes(input.len()) {
                        return Err(no_memory());
                    }
                }
                match fill_unless_evicted(input, stream, held.as_ref()).await {
                    None => return Err(no_memory()),
                    Some(Ok(count)) if count > 0 => {}
                    // The caller disconnected within the head, so nobody is left to
                    // answer.
                    Some(Ok(_) | Err(_)) => return Ok(None),
                }
            }
        };
        let read = timeout(limits.head_timeout, read);
        let read = async { read.await.unwrap_or(Err(ErrorKind::SlowCaller.into())) };
        let evicted = async {
            self.permit.evicted().await;
            Ok(None)
        };
        or(read, evicted).await.map_err(BadRequest::without_head)
    }

    /// Decodes the beginning of a body, as far as it was received.
    fn start_body(
        &mut self,
        message: &RequestMessage,
        limits: CallerLimits,
    ) -> Result<(BodyDecoder, Vec<u8>), ErrorKind> {
        let framing = BodyFraming::for_request(&message.headers)?;
        if matches!(framing, BodyFraming::Length(length) if length > limits.body_bytes as u64) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        decoder.decode(&mut self.input, &mut body)?;
        match body.len() > limits.body_bytes {
            true => Err(ErrorKind::BodyTooLarge),
            false => Ok((decoder, body)),
        }
    }

    /// Reads the rest of a request until `deadline` on the boot clock. Returns `None` when the
    /// connection was evicted.
    ///
    /// # Errors
    ///
    /// The error to respond with. The connection must not be used for another request.
    pub(crate) async fn finish_request(
        &mut self,
        start: RequestStart,
        deadline: Duration,
        memory: &Arc<ByteBudget>,
    ) -> Result<Option<CallerRequest>, BadRequest> {
        let RequestStart {
            message,
            arrived,
            limits,
            decoder,
            body,
        } = start;
        let read = match decoder.is_complete() {
            true => {
                let permit = memory.take(body.len()).ok_or_else(no_memory);
                permit.map(|permit| Some((Bytes::from(body), permit)))
            }
            false => {
                let expects_continue = message.headers.has_token("expect", "100-continue");
                if expects_continue {
                    // After a failed write, the body ends early for the read.
                    let interim = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                    interim.await.ok();
                }
                let max_bytes = decoder.max_bytes(limits.body_bytes);
                self.read_body(body, decoder, deadline, max_bytes, memory)
                    .await
            }
        };
        match read {
            Ok(Some((body, permit))) => Ok(Some(CallerRequest {
                message,
                body,
                arrived,
                _permit: permit,
            })),
            Ok(None) => Ok(None),
            Err(refusal) => Err(BadRequest::of(message, refusal)),
        }
    }

    /// Reads the rest of a body of at most `max_bytes`, of which `part` was received.
    async fn read_body(
        &mut self,
        mut part: Vec<u8>,
        mut decoder: BodyDecoder,
        deadline: Duration,
        max_bytes: usize,
        memory: &Arc<ByteBudget>,
    ) -> Result<Option<(Bytes, BytePermit)>, EdgeRefusal> {
        let input = &mut self.input;
        let stream = &self.stream;
        let mut incoming = IncomingBody::open(memory);
        let read = async {
            loop {
                if incoming.len() + part.len() > max_bytes {
                    return Err(ErrorKind::BodyTooLarge.into());
                }
                incoming.append(&part, max_bytes).ok_or_else(no_memory)?;
                part.clear();
                if decoder.is_complete() {
                    return Ok(Some(incoming.finish().ok_or_else(no_memory)?));
                }
                match fill_unless_evicted(input, stream, Some(&incoming)).await {
                    None => return Err(no_memory()),
                    Some(Ok(count)) if count > 0 => {}
                    Some(Ok(_) | Err(_)) => return Err(ErrorKind::MalformedMessage.into()),
                }
                let decoded = decoder.decode(input, &mut part);
                decoded.map_err(ErrorKind::from)?;
            }
        };
        let left = deadline.saturating_sub(boot_now());
        let read = timeout(left, read);
        let read = async { read.await.unwrap_or(Err(ErrorKind::SlowCaller.into())) };
        let evicted = async {
            self.permit.evicted().await;
            Ok(None)
        };
        or(read, evicted).await
    }

    /// Prepares for a response that ends with the connection: until [`Self::close`], any end of
    /// it, the end of this process included, is a reset. A plain close would make a truncated
    /// response look complete.
    pub(crate) fn end_by_close(&mut self) {
        self.reusable = false;
        set_socket_linger(&self.stream, Some(Duration::ZERO)).ok();
    }

    /// Waits until the caller closes its side; never returns otherwise. Data that arrives
    /// meanwhile is buffered for the next request. Where there is too much, also returns when
    /// the connection is evicted.
    pub(crate) async fn disconnected(&mut self) {
        while self.input.len() < MAX_PIPELINED_BYTES {
            match self.input.fill(&self.stream).await {
                Ok(count) if count > 0 => {}
                Ok(_) | Err(_) => return,
            }
        }
        self.permit.set_overflowing();
        or(wait_hung_up(&self.stream), self.permit.evicted()).await;
    }

    /// Closes the connection gracefully, so that the last response is still delivered.
    pub(crate) async fn close(mut self) {
        set_socket_linger(&self.stream, None).ok();
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drain = async {
            let mut left = MAX_LINGER_BYTES;
            while left > 0 {
                self.input.consume(self.input.len());
                match self.input.fill_fairly(&self.stream).await {
                    Ok(count) if count > 0 => left = left.saturating_sub(count),
                    Ok(_) | Err(_) => return,
                }
            }
        };
        let drain = async { timeout(LINGER_TIMEOUT, drain).await.unwrap_or(()) };
        or(drain, self.permit.evicted()).await;
    }
}

/// Reads once, or returns `None` if the body is evicted first.
async fn fill_unless_evicted(
    input: &mut InputBuffer,
    stream: &TcpStream,
    held: Option<&IncomingBody>,
) -> Option<io::Result<usize>> {
    let evicted = async {
        match held {
            Some(held) => held.evicted().await,
            None => pending().await,
        }
        None
    };
    or(evicted, async { Some(input.fill_fairly(stream).await) }).await
}

/// Returns the refusal of a request for which there is no memory.
fn no_memory() -> EdgeRefusal {
    EdgeRefusal::spread(ErrorKind::Overloaded, MEMORY_RETRY_DELAY)
}
