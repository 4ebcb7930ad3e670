//! A token stream from its engine to the slot, over as many connections as it takes.

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
use super::relay_filter::check_answer;
use super::relay_filter::done_head;
use super::relay_filter::kind_of;
use super::relay_filter::unless_abandoned;

/// How long a stream may be silent at least before its connection is given up:
/// a dozen token gaps of the slowest engine in use, and a garbage collection.
const SILENCE_FLOOR: Duration = Duration::from_secs(2);
/// How many of its own mean token gaps a stream may be silent. An engine that
/// batches long prompts stalls its streams for some tens of gaps.
const SILENCE_GAPS: u32 = 64;
/// How often one stream is resumed without a new token in between.
const MAX_RESUMES: usize = 3;
/// How long connecting for a resumption, and its head, may take.
const RESUME_LIMIT: Duration = Duration::from_secs(2);

/// A token stream on its way to the slot.
pub(crate) struct StreamRelay<'r> {
    run: &'r RequestRun,
    ticket: &'r WorkTicket,
    target: &'r TargetName,
    guard: StreamGuard,
    began: Duration,
}

impl<'r> StreamRelay<'r> {
    /// Opens a relay that has passed nothing on yet.
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

    /// Passes an answer on, and resumes it on a new connection where one is cut
    /// or falls silent: something between the two ends may have lost track of
    /// a connection while new ones work.
    pub(crate) async fn pass_on(&mut self, mut answer: TargetAnswer) -> Result<(), ErrorKind> {
        let run = self.run;
        run.slot.put_head(done_head(run, answer.head.clone()));
        let mut resumes = 0;
        loop {
            let before = self.guard.next_offset();
            let passed = unless_abandoned(run, self.pass_pieces(&mut answer)).await;
            match passed {
                None => return self.cancel().await,
                Some(Ok(())) => {
                    run.slot.put_end(AnswerEnd::Complete);
                    return Ok(());
                }
                Some(Err(ExchangeError::Broken)) => return Err(ErrorKind::TargetFault),
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

    /// Asks the engine for the rest of the stream on a new connection.
    pub(crate) async fn resume(&mut self) -> Result<TargetAnswer, ExchangeError> {
        self.guard.resume();
        let query = format!("from={}", self.guard.next_offset());
        let answer = self.ask_engine("GET", Some(query)).await?;
        match answer.head.status {
            200 => Ok(answer),
            _ => Err(ExchangeError::Cut),
        }
    }

    async fn pass_pieces(&mut self, answer: &mut TargetAnswer) -> Result<(), ExchangeError> {
        while let Some(piece) = answer.next_piece(self.silence_limit()).await? {
            let passed = self.guard.take(&piece).map_err(|_| ExchangeError::Broken)?;
            if !passed.is_empty() {
                self.run.slot.put_bytes(Bytes::from(passed));
                self.ticket.progressed(self.guard.next_offset());
                self.run.meter.progressed(self.guard.next_offset());
            }
        }
        // The last chunk alone proves nothing: the engine's own end must be there.
        match self.guard.is_done() {
            true => Ok(()),
            false => Err(ExchangeError::Cut),
        }
    }

    /// Stops the engine's work that nobody waits for.
    async fn cancel(&mut self) -> Result<(), ErrorKind> {
        self.ask_engine("DELETE", None).await.ok();
        Err(ErrorKind::HolderLost)
    }

    async fn ask_engine(
        &self,
        method: &str,
        query: Option<String>,
    ) -> Result<TargetAnswer, ExchangeError> {
        let address = self
            .run
            .host
            .view()
            .and_then(|view| engine_address(&view, self.target))
            .ok_or(ExchangeError::Unreachable)?;
        let connection = TargetConnection::open(address, RESUME_LIMIT).await?;
        let head = RequestHead {
            method: method.to_string(),
            path: format!("/v1/streams/{}", self.run.request.id),
            query,
            headers: HeaderMap::new(),
        };
        let exchange = connection.send(&head, Vec::new(), RESUME_LIMIT).await?;
        exchange.read_answer(RESUME_LIMIT).await
    }

    fn silence_limit(&self) -> Duration {
        let tokens = self.guard.next_offset().max(1);
        let gap = boot_now().saturating_sub(self.began) / tokens;
        (gap * SILENCE_GAPS).clamp(SILENCE_FLOOR, SILENCE_FLOOR * 5)
    }
}

/// Returns the address of an engine. A plain service keeps no streams: it would
/// take the question for one more call of its own and run it.
fn engine_address(view: &FleetView, target: &TargetName) -> Option<SocketAddr> {
    let target = &view.target(target)?.target;
    (target.kind == TargetKind::Engine).then_some(target.address)
}
