//! A caller of a load run, which resends requests as the gateway's answers instruct.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;

use super::LoadPlan;
use crate::caller::CallerAnswer;
use crate::caller::CallerClient;
use crate::caller::check_answer;
use crate::caller::new_request_id;

/// Delay before a request is sent to the next host after a failure.
const RESEND_DELAY: Duration = Duration::from_millis(20);

/// Final outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    Done,
    NotRun,
    Unknown,
    Refused,
    Lost,
    Invalid,
}

/// Result of one request of a load run.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) outcome: CallOutcome,
    pub(crate) status: Option<u16>,
    pub(crate) resends: u64,
    pub(crate) refusals: u64,
    pub(crate) total_time: Duration,
    pub(crate) chunk_times: Vec<Duration>,
}

/// What a caller does after an answer.
enum NextStep {
    Finish(CallOutcome),
    /// Resend with the next attempt number after this delay.
    RaiseAttempt(Duration),
    /// Resend with the same attempt number after this delay.
    Resend(Duration),
}

/// A caller with its connections and the index of its current host.
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

    /// Sends one request, with resends, until it has a final outcome.
    pub(crate) async fn call(&mut self) -> CallRecord {
        let id = new_request_id();
        let mut request = self.plan.request(&id);
        let mut attempt = 1_u32;
        let mut record = CallRecord {
            id,
            outcome: CallOutcome::Lost,
            status: None,
            resends: 0,
            refusals: 0,
            total_time: Duration::ZERO,
            chunk_times: Vec::new(),
        };
        for round in 0..self.plan.max_sends {
            record.resends = u64::from(round);
            request.set_header("Request-Attempt", attempt);
            let answered = self.client.call(self.host(), &request).await;
            let step = match answered {
                Ok(answer) => self.next_step(&answer, &mut record),
                Err(_) => {
                    record.outcome = CallOutcome::Lost;
                    NextStep::Resend(RESEND_DELAY)
                }
            };
            match step {
                NextStep::Finish(outcome) => {
                    record.outcome = outcome;
                    return record;
                }
                NextStep::RaiseAttempt(pause) => {
                    record.outcome = CallOutcome::NotRun;
                    attempt += 1;
                    // Imitates a load balancer, which rarely picks the same host twice in a row.
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

    fn next_step(&self, answer: &CallerAnswer, record: &mut CallRecord) -> NextStep {
        record.status = Some(answer.status);
        if answer.status == 200 {
            return self.check_body(answer, record);
        }
        let pause = answer.retry_after();
        match (answer.outcome(), pause) {
            ("not-run", Some(pause)) => {
                record.refusals += 1;
                NextStep::RaiseAttempt(pause)
            }
            ("not-run", None) => NextStep::Finish(CallOutcome::NotRun),
            ("unknown", Some(pause)) => {
                record.refusals += 1;
                record.outcome = CallOutcome::Unknown;
                NextStep::Resend(pause.max(RESEND_DELAY))
            }
            ("unknown", None) if answer.status >= 500 => NextStep::Finish(CallOutcome::Unknown),
            _ => NextStep::Finish(CallOutcome::Refused),
        }
    }

    fn check_body(&self, answer: &CallerAnswer, record: &mut CallRecord) -> NextStep {
        if !answer.is_complete {
            // A truncated body is no answer; another host may still answer the same request.
            record.outcome = CallOutcome::Unknown;
            return NextStep::Resend(RESEND_DELAY);
        }
        match check_answer(answer, &record.id, &self.plan.expected(&record.id)) {
            Ok(()) => {
                let last = answer.chunk_times.last();
                record.total_time = *last.unwrap_or(&answer.head_time);
                record.chunk_times.clone_from(&answer.chunk_times);
                NextStep::Finish(CallOutcome::Done)
            }
            Err(_) => NextStep::Finish(CallOutcome::Invalid),
        }
    }
}
