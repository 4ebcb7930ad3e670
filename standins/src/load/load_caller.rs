//! One caller of a load run: resends as the interface asks it to.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;

use super::LoadPlan;
use crate::caller::CallerAnswer;
use crate::caller::CallerClient;
use crate::caller::check_answer;
use crate::caller::new_request_id;

/// How long a caller waits before it tries the next host.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    Done,
    NotRun,
    Unknown,
    Refused,
    Lost,
    Wrong,
}

/// One request of a load run.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) end: CallEnd,
    pub(crate) status: Option<u16>,
    pub(crate) resends: u64,
    pub(crate) refusals: u64,
    pub(crate) whole_after: Duration,
    pub(crate) pieces_after: Vec<Duration>,
}

/// What a caller does after an answer.
enum NextStep {
    End(CallEnd),
    /// Come back with a higher attempt.
    RaiseAttempt(Duration),
    /// Send the same attempt again.
    Resend(Duration),
}

/// A caller with its connections and the host that it uses now.
pub(crate) struct LoadCaller<'a> {
    plan: &'a LoadPlan,
    client: CallerClient,
    host: usize,
}

impl<'a> LoadCaller<'a> {
    pub(crate) fn new(plan: &'a LoadPlan, number: usize) -> Self {
        Self {
            plan,
            client: CallerClient::new(plan.timeout),
            host: number,
        }
    }

    /// Makes one request and sees it to its end.
    pub(crate) async fn call(&mut self) -> CallRecord {
        let id = new_request_id();
        let mut request = self.plan.request(&id);
        let mut attempt = 1_u32;
        let mut record = CallRecord {
            id,
            end: CallEnd::Lost,
            status: None,
            resends: 0,
            refusals: 0,
            whole_after: Duration::ZERO,
            pieces_after: Vec::new(),
        };
        for round in 0..self.plan.max_sends {
            record.resends = u64::from(round);
            request.set_header("Request-Attempt", attempt);
            let answered = self.client.call(self.host(), &request).await;
            let step = match answered {
                Ok(answer) => self.judge(&answer, &mut record),
                Err(_) => {
                    record.end = CallEnd::Lost;
                    NextStep::Resend(RESEND_PAUSE)
                }
            };
            match step {
                NextStep::End(end) => {
                    record.end = end;
                    return record;
                }
                NextStep::RaiseAttempt(pause) => {
                    record.end = CallEnd::NotRun;
                    attempt += 1;
                    // The balancer seldom picks the same host again.
                    self.host += 1;
                    task::sleep(pause).await;
                }
                NextStep::Resend(pause) => {
                    self.host += 1;
                    task::sleep(pause).await;
                }
            }
        }
        record
    }

    fn host(&self) -> SocketAddr {
        self.plan.gateways[self.host % self.plan.gateways.len()]
    }

    fn judge(&self, answer: &CallerAnswer, record: &mut CallRecord) -> NextStep {
        record.status = Some(answer.status);
        if answer.status == 200 {
            return self.judge_body(answer, record);
        }
        let pause = answer.retry_after();
        match (answer.outcome(), pause) {
            ("not-run", Some(pause)) => {
                record.refusals += 1;
                NextStep::RaiseAttempt(pause)
            }
            ("not-run", None) => NextStep::End(CallEnd::NotRun),
            ("unknown", Some(pause)) => {
                record.refusals += 1;
                record.end = CallEnd::Unknown;
                NextStep::Resend(pause.max(RESEND_PAUSE))
            }
            ("unknown", None) if answer.status >= 500 => NextStep::End(CallEnd::Unknown),
            _ => NextStep::End(CallEnd::Refused),
        }
    }

    fn judge_body(&self, answer: &CallerAnswer, record: &mut CallRecord) -> NextStep {
        if !answer.is_complete {
            // A cut body is no answer; the same request may have another host's.
            record.end = CallEnd::Unknown;
            return NextStep::Resend(RESEND_PAUSE);
        }
        match check_answer(answer, &record.id, &self.plan.expected(&record.id)) {
            Ok(()) => {
                let last = answer.pieces_after.last();
                record.whole_after = *last.unwrap_or(&answer.head_after);
                record.pieces_after.clone_from(&answer.pieces_after);
                NextStep::End(CallEnd::Done)
            }
            Err(_) => NextStep::End(CallEnd::Wrong),
        }
    }
}
