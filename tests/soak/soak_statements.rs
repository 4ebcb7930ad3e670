//! What targets state about new requests, and whether each host respects what it received.

use std::time::Duration;
use std::time::Instant;

use super::soak_history::RequestArrival;
use super::soak_history::SentRequest;
use super::soak_paths::HostCut;
use super::soak_paths::may_be_forwarded;

/// Time after which a host must not send to a target that stated to it that it is leaving.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a rejection at which the pause that it asks for must be respected.
const PAUSE_DELAY: Duration = Duration::from_millis(500);
/// Requests of a host that may still reach a target during a pause.
const MAX_IN_PAUSE: usize = 2;

/// What a target stated in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StatementKind {
    /// It is leaving.
    Leaving,
    /// It wants no requests of this host for some time.
    Pause(Duration),
}

/// A statement of a target in its answer to a request.
#[derive(Clone, Debug)]
pub(crate) struct TargetStatement {
    pub(crate) request: String,
    pub(crate) target: String,
    pub(crate) kind: StatementKind,
    pub(crate) at: Instant,
}

/// A signal to a host, or its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostInterruption {
    pub(crate) host: usize,
    pub(crate) at: Instant,
}

/// Everything that the checks of statements depend on. `requests` and `arrivals` are sorted by
/// request.
pub(crate) struct StatementRecord<'a> {
    pub(crate) requests: &'a [SentRequest],
    pub(crate) arrivals: &'a [RequestArrival],
    pub(crate) statements: &'a [TargetStatement],
    pub(crate) interruptions: &'a [HostInterruption],
    pub(crate) cuts: &'a [HostCut],
}

impl StatementRecord<'_> {
    /// Checks that hosts send nothing to targets that are leaving or pause by their own answers.
    pub(crate) fn check(&self) -> Vec<String> {
        let statements = self.statements.iter();
        let broken = statements.filter_map(|statement| {
            let answered = self.find_request(&statement.request)?;
            let (from, until, most) = match statement.kind {
                StatementKind::Leaving => {
                    (self.passed_on(statement, answered)? + DRAIN_LIMIT, None, 0)
                }
                StatementKind::Pause(pause) => {
                    // Only then the host surely received the rejection: a peer to which it forwards
                    // requests keeps the pauses of targets for itself.
                    let rejected = answered.status == 503 && !may_be_forwarded(answered, self.cuts);
                    let until = statement.at + pause;
                    let from = statement.at + PAUSE_DELAY;
                    rejected.then_some((from, Some(until), MAX_IN_PAUSE))?
                }
            };
            let late = self.count_late(statement, answered.host, from, until);
            (late > most).then(|| {
                format!(
                    "{late} requests of host {} after {statement:?}",
                    answered.host
                )
            })
        });
        broken.collect()
    }

    /// Returns when the answer with the statement had reached its caller; `None` if it did not,
    /// or another target answered.
    fn passed_on(&self, statement: &TargetStatement, answered: &SentRequest) -> Option<Instant> {
        let mut runs = self.arrivals.iter();
        let elsewhere = runs.any(|arrival| {
            arrival.request == statement.request && arrival.target != statement.target
        });
        (answered.complete && answered.status == 200 && !elsewhere).then_some(answered.ended)
    }

    /// Counts the requests that a host received after `from`, and that reached the target until
    /// `until`. A host that was interrupted since the statement is excused.
    fn count_late(
        &self,
        statement: &TargetStatement,
        host: usize,
        from: Instant,
        until: Option<Instant>,
    ) -> usize {
        let arrivals = self.arrivals.iter().filter(|arrival| {
            arrival.target == statement.target
                && arrival.at > from
                && until.is_none_or(|until| arrival.at < until)
        });
        let late = arrivals.filter(|arrival| {
            let sent = self.find_request(&arrival.request);
            let is_late =
                sent.is_some_and(|sent| sent.host == host && (until.is_some() || sent.sent > from));
            is_late && !self.was_interrupted(host, statement.at, arrival.at)
        });
        late.count()
    }

    fn was_interrupted(&self, host: usize, from: Instant, until: Instant) -> bool {
        let mut interruptions = self.interruptions.iter();
        interruptions.any(|interruption| {
            interruption.host == host && interruption.at >= from && interruption.at <= until
        })
    }

    fn find_request(&self, request: &str) -> Option<&SentRequest> {
        let found = self
            .requests
            .binary_search_by(|held| held.request.as_str().cmp(request));
        found.ok().map(|index| &self.requests[index])
    }
}
