//! Relays a token stream from an engine to the buffer, resuming it on new connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::answers::AnswerEnd;
use crate::clock::boot_now;
use crate::controllers::WorkTicket;
use crate::errors::ErrorKind;
use crate::fleet::FleetView;
use crate::fleet::TargetKind;
use crate::http::ExchangeError;
use crate::http::HeaderMap;
use crate::http::RequestHead;
use crate::http::TargetAnswer;
use crate::http::TargetConnection;
use crate::ids::TargetName;
use crate::stream::StreamGuard;

use super::RequestRun;
use super::relay_filter::answer_timeout;
use super::relay_filter::check_answer;
use super::relay_filter::done_head;
use super::relay_filter::kind_of;
use super::relay_filter::unless_abandoned;

/// The minimum time that a stream may be silent before its connection is abandoned: a
/// dozen token gaps of the slowest engine in use plus a garbage collection.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How many of its own mean token gaps a stream may be silent. An engine that batches
/// long prompts stalls its streams for some tens of gaps.
const SILENCE_TIMEOUT_GAPS: u32 = 64;
/// How many times in a row a stream is resumed without a new token in between.
const MAX_RESUMES: usize = 3;
/// Timeout for each step of a resumption or a cancellation: connecting, sending and reading the
/// head.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// Relays one token stream into the buffer.
pub(crate) struct StreamRelay<'r> {
    run: &'r RequestRun,
    ticket: &'r WorkTicket,
    target: &'r TargetName,
    guard: StreamGuard,
    began: Duration,
}

impl<'r> StreamRelay<'r> {
    /// Opens a relay that has received no token yet.
    pub(crate) fn open(
        run: &'r RequestRun,
        ticket: &'r WorkTicket,
        target: &'r TargetName,
    ) -> Self {
        Self {
            run,
            ticket,
            target,
            guard: StreamGuard::default(),
            began: boot_now(),
        }
    }

    /// Relays an answer, and resumes it on a new connection when one is cut or goes
    /// silent: a device between the two ends may have dropped a connection's state while
    /// new connections work.
    pub(crate) async fn relay_stream(&mut self, mut answer: TargetAnswer) -> Result<(), ErrorKind> {
        let run = self.run;
        let mut head = done_head(run, answer.head.clone());
        // The length of this connection. Further ones may bring other comments, and events that
        // are not relayed.
        head.length = None;
        run.buffer.put_head(head);
        let mut resumes = 0;
        loop {
            let before = self.guard.next_offset();
            let relayed = unless_abandoned(run, self.relay_chunks(&mut answer)).await;
            match relayed {
                None => return self.cancel(ErrorKind::HolderLost).await,
                Some(Err(_)) if answer_timeout(run).is_zero() => {
                    return self.cancel(ErrorKind::TargetSilent).await;
                }
                Some(Ok(())) => {
                    run.buffer.put_end(AnswerEnd::Complete);
                    return Ok(());
                }
                Some(Err(ExchangeError::Malformed)) => return Err(ErrorKind::TargetFault),
                Some(Err(_)) => (),
            }
            resumes = match self.guard.next_offset() > before {
                true => 1,
                false => resumes + 1,
            };
            if resumes > MAX_RESUMES {
                return Err(ErrorKind::TargetLost);
            }
            answer = self.resume().await.map_err(kind_of)?;
            check_answer(run, &answer.head, self.target)?;
        }
    }

    /// Requests the rest of the stream from the engine on a new connection.
    pub(crate) async fn resume(&mut self) -> Result<TargetAnswer, ExchangeError> {
        self.guard.resume();
        let query = format!("from={}", self.guard.next_offset());
        let limit = RESUME_TIMEOUT.min(answer_timeout(self.run));
        let answer = self.ask_engine("GET", Some(query), limit).await?;
        match answer.head.status {
            200 => Ok(answer),
            _ => Err(ExchangeError::Truncated),
        }
    }

    async fn relay_chunks(&mut self, answer: &mut TargetAnswer) -> Result<(), ExchangeError> {
        loop {
            let left = answer_timeout(self.run);
            if left.is_zero() {
                return Err(ExchangeError::TimedOut);
            }
            let limit = self.silence_timeout().min(left);
            let Some(chunk) = answer.next_chunk(limit).await? else {
                break;
            };
            let relayed = self
                .guard
                .accept(&chunk)
                .map_err(|_| ExchangeError::Malformed)?;
            if !relayed.is_empty() {
                self.run.buffer.put_bytes(Bytes::from(relayed));
                self.ticket.progressed(self.guard.next_offset());
                self.run.meter.record_progress(self.guard.next_offset());
            }
        }
        // The end of the body isn't enough: the engine's own end marker must be there.
        match self.guard.is_done() {
            true => Ok(()),
            false => Err(ExchangeError::Truncated),
        }
    }

    /// Cancels the engine's work on a stream that is not relayed any more.
    async fn cancel(&mut self, kind: ErrorKind) -> Result<(), ErrorKind> {
        // Its caller doesn't wait for the engine.
        self.run.buffer.put_end(AnswerEnd::Truncated(kind));
        self.ask_engine("DELETE", None, RESUME_TIMEOUT).await.ok();
        Err(kind)
    }

    async fn ask_engine(
        &self,
        method: &str,
        query: Option<String>,
        limit: Duration,
    ) -> Result<TargetAnswer, ExchangeError> {
        let address = self
            .run
            .host
            .view()
            .and_then(|view| engine_address(&view, self.target))
            .ok_or(ExchangeError::Unreachable)?;
        let connection = TargetConnection::open(address, limit).await?;
        let head = RequestHead {
            method: method.to_string(),
            path: format!("/v1/streams/{}", self.run.request.id),
            query,
            headers: HeaderMap::new(),
        };
        let exchange = connection.send(&head, Bytes::new(), limit).await?;
        exchange.read_answer(limit).await
    }

    fn silence_timeout(&self) -> Duration {
        let tokens = self.guard.next_offset().max(1);
        let gap = boot_now().saturating_sub(self.began) / tokens;
        (gap * SILENCE_TIMEOUT_GAPS).clamp(MIN_SILENCE_TIMEOUT, MIN_SILENCE_TIMEOUT * 5)
    }
}

/// Returns the address of a target that is an engine. A service keeps no streams: it would
/// run the resume request as another call.
fn engine_address(view: &FleetView, target: &TargetName) -> Option<SocketAddr> {
    let target = &view.target(target)?.target;
    (target.kind == TargetKind::Engine).then_some(target.address)
}
