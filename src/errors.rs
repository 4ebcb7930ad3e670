//! The closed list of error kinds and the one table that maps a kind to its answer.
//!
//! Whatever goes wrong on a request's path ends as one [`ErrorKind`]; nothing
//! else decides a status, an outcome or a retry advice.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// What a caller is told about whether its request ran.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request ran and this is its whole answer.
    #[display("done")]
    Done,
    /// The request did not run, and this attempt never will.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// When a caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAdvice {
    /// Sending the same request again gives the same answer.
    Never,
    /// Come back after the time that the policy worked out from the queue's drain.
    AfterDrain,
    /// Come back at once: another host most likely has the answer.
    AtOnce,
}

/// Everything that can go wrong with a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Error, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The message breaks HTTP/1.1 framing or syntax.
    #[display("malformed-message")]
    MalformedMessage,
    /// The head is larger than the parser's bound.
    #[display("head-too-large")]
    HeadTooLarge,
    /// The body is larger than the class allows.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The head or body did not arrive in time.
    #[display("slow-caller")]
    SlowCaller,
    /// No client account has this bearer token.
    #[display("unknown-account")]
    UnknownAccount,
    /// No class matches the method, path and `Request-Class`.
    #[display("unknown-class")]
    UnknownClass,
    /// `Request-Id` is absent on a non-idempotent class, or is no UUIDv7.
    #[display("bad-request-id")]
    BadRequestId,
    /// `Request-Id` is older than the claim window, or lies in the future.
    #[display("request-id-out-of-window")]
    RequestIdOutOfWindow,
    /// `Request-Attempt` or `Request-Deadline-Ms` is no number in range.
    #[display("bad-request-header")]
    BadRequestHeader,
    /// The account sends more than its limit.
    #[display("account-limit")]
    AccountLimit,
    /// The queue can't serve the request before its deadline.
    #[display("overloaded")]
    Overloaded,
    /// The request waited and its deadline came.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// No target that the selectors allow is there.
    #[display("no-target")]
    NoTarget,
    /// The host is leaving and no peer took the waiting request.
    #[display("host-leaving")]
    HostLeaving,
    /// The host has no configuration or no voice yet.
    #[display("not-ready")]
    NotReady,
    /// No majority of seats answered, so nothing can be dispatched.
    #[display("no-majority")]
    NoMajority,
    /// An earlier attempt was answered `not-run` and this attempt is barred.
    #[display("attempt-barred")]
    AttemptBarred,
    /// Another host holds the claim and can't be asked for the answer.
    #[display("holder-lost")]
    HolderLost,
    /// No byte reached any target.
    #[display("target-unreachable")]
    TargetUnreachable,
    /// The target's connection ended after the dispatch and the answer is lost.
    #[display("target-lost")]
    TargetLost,
    /// The target fell silent after the dispatch.
    #[display("target-silent")]
    TargetSilent,
    /// The target itself refused the request since it leaves.
    #[display("target-leaving")]
    TargetLeaving,
    /// The target answered with another request's id or a broken message.
    #[display("target-fault")]
    TargetFault,
    /// Requests like this one took down the targets that ran them.
    #[display("crashes-targets")]
    CrashesTargets,
    /// The host holds as many connections of callers as it may.
    #[display("too-many-callers")]
    TooManyCallers,
    /// What the host believes of keys is too old to run anything on.
    #[display("stale-view")]
    StaleView,
    /// Targets were lost to requests like this one, so it waits for better days.
    #[display("suspect-request")]
    SuspectRequest,
    /// The gateway failed in a way that is a fault of its own.
    #[display("internal")]
    Internal,
}

/// One row of the answer table.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRow {
    /// The kind that the row answers.
    pub kind: ErrorKind,
    /// The HTTP status.
    pub status: u16,
    /// The outcome when nothing is known beyond the kind; see [`AnswerRow::outcome`].
    pub outcome: RequestOutcome,
    /// When to come back.
    pub advice: RetryAdvice,
    /// What a person reads.
    pub message: &'static str,
}

/// Builds one row; keeps the table below readable.
const fn row(
    kind: ErrorKind,
    status: u16,
    outcome: RequestOutcome,
    advice: RetryAdvice,
    message: &'static str,
) -> AnswerRow {
    AnswerRow {
        kind,
        status,
        outcome,
        advice,
        message,
    }
}

/// The table from kind to answer, in the order of the list.
///
/// `NotRun` stands only where the filter that raises the kind holds the proof:
/// a majority released or barred the attempt. A refusal before the claim is
/// barred first, and becomes `Unknown` where no majority answers.
pub const ANSWER_TABLE: &[AnswerRow] = &[
    row(
        ErrorKind::MalformedMessage,
        400,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the message is not well-formed HTTP/1.1",
    ),
    row(
        ErrorKind::HeadTooLarge,
        431,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the head of the message is too large",
    ),
    row(
        ErrorKind::BodyTooLarge,
        413,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the body is larger than its class allows",
    ),
    row(
        ErrorKind::SlowCaller,
        408,
        RequestOutcome::Unknown,
        RetryAdvice::AtOnce,
        "the message did not arrive in time",
    ),
    row(
        ErrorKind::UnknownAccount,
        401,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "no client account has this bearer token",
    ),
    row(
        ErrorKind::UnknownClass,
        404,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "no request class matches this method, path and Request-Class",
    ),
    row(
        ErrorKind::BadRequestId,
        400,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "Request-Id must be a UUIDv7, and is required for non-idempotent classes",
    ),
    row(
        ErrorKind::RequestIdOutOfWindow,
        400,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the time in Request-Id is too old or lies in the future; see Host-Time-Ms",
    ),
    row(
        ErrorKind::BadRequestHeader,
        400,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "Request-Attempt and Request-Deadline-Ms must be whole numbers in range",
    ),
    row(
        ErrorKind::AccountLimit,
        429,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "the client account is over its limit",
    ),
    row(
        ErrorKind::Overloaded,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "the request can't be served before its deadline",
    ),
    row(
        ErrorKind::DeadlinePassed,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "the deadline came while the request waited",
    ),
    row(
        ErrorKind::NoTarget,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "no target that the selectors allow is available",
    ),
    row(
        ErrorKind::HostLeaving,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AtOnce,
        "this host is leaving; another one will serve the request",
    ),
    row(
        ErrorKind::NotReady,
        503,
        RequestOutcome::Unknown,
        RetryAdvice::AtOnce,
        "this host is not ready to serve",
    ),
    row(
        ErrorKind::NoMajority,
        503,
        RequestOutcome::Unknown,
        RetryAdvice::AtOnce,
        "this host reaches no majority of its peers, so it dispatches nothing",
    ),
    row(
        ErrorKind::AttemptBarred,
        409,
        RequestOutcome::NotRun,
        RetryAdvice::AtOnce,
        "this attempt was given up; raise Request-Attempt to run the request",
    ),
    row(
        ErrorKind::HolderLost,
        502,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the host that ran the request is gone and so is its answer",
    ),
    row(
        ErrorKind::TargetUnreachable,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "no allowed target took the request",
    ),
    row(
        ErrorKind::TargetLost,
        502,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the target was lost while it ran the request",
    ),
    row(
        ErrorKind::TargetSilent,
        504,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the target fell silent while it ran the request",
    ),
    row(
        ErrorKind::TargetLeaving,
        502,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the target refused the request since it is leaving",
    ),
    row(
        ErrorKind::TargetFault,
        502,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the target's answer can't be trusted",
    ),
    row(
        ErrorKind::CrashesTargets,
        422,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "requests like this one took down the targets that ran them",
    ),
    row(
        ErrorKind::TooManyCallers,
        503,
        RequestOutcome::Unknown,
        RetryAdvice::AtOnce,
        "this host has too many callers connected; another one may have room",
    ),
    row(
        ErrorKind::StaleView,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AtOnce,
        "this host has not heard of the current keys for too long; another one may have",
    ),
    row(
        ErrorKind::SuspectRequest,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDrain,
        "targets were lost to requests like this one",
    ),
    row(
        ErrorKind::Internal,
        500,
        RequestOutcome::Unknown,
        RetryAdvice::Never,
        "the gateway failed",
    ),
];

impl ErrorKind {
    /// Returns the row that answers this kind.
    pub fn answer(self) -> &'static AnswerRow {
        // The table stands in the order of the list; tests/errors.rs holds it to that.
        &ANSWER_TABLE[self as usize]
    }
}
