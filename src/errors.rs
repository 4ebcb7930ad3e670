//! The error kinds of requests and the table that maps each kind to its answer.
//!
//! Every failure of a request is reported as one [`ErrorKind`], which alone determines the
//! status, the outcome and the retry advice.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as reported to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request ran and this is its complete answer.
    #[display("done")]
    Done,
    /// The request did not run, and this attempt will never run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// When a caller should retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAdvice {
    /// Don't retry: the same request gets the same answer.
    Never,
    /// Retry after the time that the policy computed from how fast the queue drains.
    AfterDelay,
    /// Retry immediately: another host can probably serve the request.
    Immediately,
}

/// The kinds of failure of a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Error, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The message violates HTTP/1.1 framing or syntax.
    #[display("malformed-message")]
    MalformedMessage,
    /// The head exceeds the parser's size limit.
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
    /// `Request-Id` is missing for a non-idempotent class, or is not a UUIDv7.
    #[display("bad-request-id")]
    BadRequestId,
    /// The time in `Request-Id` is before the claim window or in the future.
    #[display("request-id-out-of-window")]
    RequestIdOutOfWindow,
    /// `Request-Attempt` or `Request-Deadline-Ms` is not a number in range.
    #[display("bad-request-header")]
    BadRequestHeader,
    /// The account is over its rate limit.
    #[display("account-limit")]
    AccountLimit,
    /// The queue can't serve the request before its deadline.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed while the request was queued.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// No target allowed by the selectors is available.
    #[display("no-target")]
    NoTarget,
    /// The host is leaving and no peer accepted the waiting request.
    #[display("host-leaving")]
    HostLeaving,
    /// The host has no configuration yet, or its seat may not vote yet.
    #[display("not-ready")]
    NotReady,
    /// No majority of seats answered, so nothing may be dispatched.
    #[display("no-majority")]
    NoMajority,
    /// The attempt is barred, because the request was answered `not-run` before.
    #[display("attempt-barred")]
    AttemptBarred,
    /// Another host holds the claim and can't be reached for the answer.
    #[display("holder-lost")]
    HolderLost,
    /// No target could be reached; no byte of the request was sent.
    #[display("target-unreachable")]
    TargetUnreachable,
    /// The target's connection was lost after the dispatch, and with it the answer.
    #[display("target-lost")]
    TargetLost,
    /// The target became unresponsive after the dispatch.
    #[display("target-silent")]
    TargetSilent,
    /// The target refused the request because it is leaving.
    #[display("target-leaving")]
    TargetLeaving,
    /// The target answered with another request's id or a malformed message.
    #[display("target-fault")]
    TargetFault,
    /// Requests with the same fingerprint crashed the targets that ran them.
    #[display("crashes-targets")]
    CrashesTargets,
    /// The limit of caller connections is reached.
    #[display("too-many-callers")]
    TooManyCallers,
    /// The host's view of the store is too old to dispatch on.
    #[display("stale-view")]
    StaleView,
    /// Targets were lost while running requests like this one, so it is refused for now.
    #[display("suspect-request")]
    SuspectRequest,
    /// The software version that began the stream is not known, and there are several.
    #[display("version-unknown")]
    VersionUnknown,
    /// Targets were lost while running requests with a part of this one's prompt, so it is refused
    /// for now.
    #[display("suspect-prompt")]
    SuspectPrompt,
    /// The gateway failed because of a fault of its own.
    #[display("internal")]
    Internal,
}

/// A row of the answer table.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRow {
    /// The kind of error.
    pub kind: ErrorKind,
    /// The HTTP status.
    pub status: u16,
    /// The outcome, if only the kind is known; see [`ANSWER_TABLE`].
    pub outcome: RequestOutcome,
    /// When to retry.
    pub advice: RetryAdvice,
    /// The message for people.
    pub message: &'static str,
}

/// Creates a row; keeps the table below compact.
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

/// The answer of each kind, in the order of [`ErrorKind`].
///
/// A kind has the outcome `NotRun` only if the filter that raises it has a proof: a majority
/// has released or barred the attempt. For a refusal before the claim, the attempt is
/// barred first; if no majority answers, the outcome becomes `Unknown`.
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
        RetryAdvice::Immediately,
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
        RetryAdvice::AfterDelay,
        "the client account is over its limit",
    ),
    row(
        ErrorKind::Overloaded,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDelay,
        "the request can't be served before its deadline",
    ),
    row(
        ErrorKind::DeadlinePassed,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDelay,
        "the deadline came while the request waited",
    ),
    row(
        ErrorKind::NoTarget,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDelay,
        "no target that the selectors allow is available",
    ),
    row(
        ErrorKind::HostLeaving,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::Immediately,
        "this host is leaving; another one will serve the request",
    ),
    row(
        ErrorKind::NotReady,
        503,
        RequestOutcome::Unknown,
        RetryAdvice::Immediately,
        "this host is not ready to serve",
    ),
    row(
        ErrorKind::NoMajority,
        503,
        RequestOutcome::Unknown,
        RetryAdvice::Immediately,
        "this host reaches no majority of its peers, so it dispatches nothing",
    ),
    row(
        ErrorKind::AttemptBarred,
        409,
        RequestOutcome::NotRun,
        RetryAdvice::Immediately,
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
        RetryAdvice::AfterDelay,
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
        RetryAdvice::AfterDelay,
        "requests like this one took down the targets that ran them",
    ),
    row(
        ErrorKind::TooManyCallers,
        503,
        RequestOutcome::Unknown,
        RetryAdvice::Immediately,
        "this host has too many callers connected; another one may have room",
    ),
    row(
        ErrorKind::StaleView,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::Immediately,
        "this host has not heard of the current keys for too long; another one may have",
    ),
    row(
        ErrorKind::SuspectRequest,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDelay,
        "targets were lost to requests like this one",
    ),
    row(
        ErrorKind::VersionUnknown,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDelay,
        "it is not known which software version began the stream; another host may know",
    ),
    row(
        ErrorKind::SuspectPrompt,
        503,
        RequestOutcome::NotRun,
        RetryAdvice::AfterDelay,
        "targets were lost to requests with a part of this prompt; a retry is of no use before the delay",
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
    /// Returns the answer of this kind.
    pub fn answer(self) -> &'static AnswerRow {
        // The table has the order of the enum; a test checks this.
        &ANSWER_TABLE[self as usize]
    }
}
