//! One caller's connection: requests come in, in turn.

use std::future::pending;
use std::net::Shutdown;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::AsyncWriteExt;

use crate::catalog::CallerLimits;
use crate::clock::boot_now;
use crate::errors::ErrorKind;
use crate::wire::BodyDecoder;
use crate::wire::BodyFraming;
use crate::wire::InputBuffer;
use crate::wire::RequestMessage;
use crate::wire::SilenceBounds;
use crate::wire::WireError;
use crate::wire::bound_silence;

/// How long a body may pause; a caller that stops in the middle of one would hold
/// its memory for ever.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long beyond the promised time an idle connection stays open: a request that
/// was sent just before the end must not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How much a caller may send ahead while its request runs, in bytes.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// How long and how much is read after the last answer, so that the close does not
/// reset the connection before the caller has read the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_READS: usize = 64;
/// After what silence a caller counts as gone: well within the time that targets
/// work on for nobody.
const SILENCE: SilenceBounds = SilenceBounds {
    probe_after: Duration::from_secs(2),
    probes: 3,
    unacknowledged: Duration::from_secs(6),
};

/// A request that was read whole.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The head.
    pub(crate) message: RequestMessage,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// When its first byte came, on the boot clock.
    pub(crate) arrived: Duration,
}

/// A request that can't be read, as far as it was.
#[derive(Debug)]
pub(crate) struct BadRequest {
    /// What is wrong.
    pub(crate) kind: ErrorKind,
    /// The head, where that was read.
    pub(crate) message: Option<RequestMessage>,
}

/// One caller's connection.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    /// The stream, for answers.
    pub(crate) stream: TcpStream,
    input: InputBuffer,
    /// Whether another request may follow.
    pub(crate) reusable: bool,
}

impl CallerConnection {
    /// Takes over an accepted stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        bound_silence(&stream, SILENCE);
        Self {
            stream,
            input: InputBuffer::default(),
            reusable: true,
        }
    }

    /// Reads the next request; `None` when the caller is done, or idle too long.
    ///
    /// # Errors
    ///
    /// What to answer; the connection then carries no further request.
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
        if message.headers.has_word("connection", "close") || message.old_version {
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
                    // It left in the middle of the head: there is nobody to answer.
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
        let framing = BodyFraming::of_request(&message.headers)?;
        if matches!(framing, BodyFraming::Length(length) if length > limits.body_bytes as u64) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        let mut asked = !message.headers.has_word("expect", "100-continue");
        loop {
            decoder.decode(&mut self.input, &mut body)?;
            if body.len() > limits.body_bytes {
                return Err(ErrorKind::BodyTooLarge);
            }
            if decoder.is_whole() {
                return Ok(body);
            }
            if !asked {
                asked = true;
                let go_on = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                go_on.await.map_err(|_| WireError::Cut)?;
            }
            match timeout(BODY_TIMEOUT, self.input.fill(&self.stream)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(Ok(_) | Err(_)) => return Err(ErrorKind::MalformedMessage),
                Err(_) => return Err(ErrorKind::SlowCaller),
            }
        }
    }

    /// Waits until the caller has closed its side, or for ever. What it sends ahead
    /// is kept for the next request.
    pub(crate) async fn gone(&mut self) {
        while self.input.len() < MAX_PIPELINED_BYTES {
            match self.input.fill(&self.stream).await {
                Ok(count) if count > 0 => {}
                Ok(_) | Err(_) => return,
            }
        }
        pending().await
    }

    /// Ends the connection so that the last answer still arrives.
    pub(crate) async fn close(mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            for _ in 0..MAX_LINGER_READS {
                self.input.consume(self.input.len());
                match self.input.fill(&self.stream).await {
                    Ok(count) if count > 0 => {}
                    Ok(_) | Err(_) => return,
                }
            }
        };
        timeout(LINGER_TIMEOUT, drained).await.ok();
    }
}
