//! Refusals and the error answers that they become.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::answers::AnswerBuffer;
use crate::answers::AnswerEnd;
use crate::clock::unix_now;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::errors::RetryAdvice;
use crate::http::AnswerHead;
use crate::ids::RequestId;

/// When to retry if the policy gave no time: long enough for the load balancer to replace
/// a host, short compared with every deadline.
const DEFAULT_RETRY: Duration = Duration::from_millis(200);

/// When a caller that another host can serve should retry. At 0 ms, callers of a host
/// without a majority would retry in a loop as fast as their network allows; the spread
/// keeps the callers affected by one fault from retrying in a burst.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 150;

/// Why a request is refused, and when its caller should retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestRefusal {
    /// The kind of error.
    pub(crate) kind: ErrorKind,
    /// When to retry, if the policy computed it.
    pub(crate) retry_after: Option<Duration>,
}

/// The body of an error answer.
#[derive(Debug, Serialize)]
struct RefusalBody {
    error: ErrorKind,
    message: &'static str,
    outcome: RequestOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl RequestRefusal {
    /// Creates a refusal without a retry time of its own.
    pub(crate) const fn of(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Returns the head and body of the error answer.
    pub(crate) fn answer(
        &self,
        id: Option<RequestId>,
        outcome: RequestOutcome,
    ) -> (AnswerHead, Bytes) {
        let row = self.kind.answer();
        let retry_after_ms = self.retry_millis(row.advice, id);
        let body = RefusalBody {
            error: self.kind,
            message: row.message,
            outcome,
            retry_after_ms,
        };
        // A struct of plain fields always serializes.
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let mut head = AnswerHead {
            status: row.status,
            headers: [
                ("content-type".to_string(), "application/json".to_string()),
                ("request-outcome".to_string(), outcome.to_string()),
                ("host-time-ms".to_string(), unix_now().to_string()),
            ]
            .into_iter()
            .collect(),
            length: Some(body.len() as u64),
        };
        if let Some(id) = id {
            head.headers
                .insert("request-id".to_string(), id.to_string());
        }
        if let Some(millis) = retry_after_ms {
            let seconds = millis.div_ceil(1000);
            head.headers
                .insert("retry-after".to_string(), seconds.to_string());
            head.headers
                .insert("retry-after-ms".to_string(), millis.to_string());
        }
        (head, body)
    }

    /// Writes the complete answer into a buffer.
    pub(crate) fn put_answer(&self, buffer: &AnswerBuffer, id: RequestId, outcome: RequestOutcome) {
        let (head, body) = self.answer(Some(id), outcome);
        buffer.put_head(head);
        buffer.put_bytes(body);
        buffer.put_end(AnswerEnd::Complete);
    }

    fn retry_millis(&self, advice: RetryAdvice, id: Option<RequestId>) -> Option<u64> {
        match advice {
            RetryAdvice::Never => None,
            RetryAdvice::Immediately => Some(spread_retry(id)),
            RetryAdvice::AfterDelay => {
                let after = self.retry_after.unwrap_or(DEFAULT_RETRY);
                Some(after.as_millis() as u64)
            }
        }
    }
}

impl From<ErrorKind> for RequestRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self::of(kind)
    }
}

/// Returns when to retry, spread by a hash of the id; at random without an id.
fn spread_retry(id: Option<RequestId>) -> u64 {
    let id = id.unwrap_or_else(|| RequestId::generate(unix_now()));
    let hash = xxh3_64(id.to_string().as_bytes());
    MIN_RETRY_MS + hash % (MAX_RETRY_MS - MIN_RETRY_MS + 1)
}
