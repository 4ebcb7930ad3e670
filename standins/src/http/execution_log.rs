//! Log of the requests that a target executed.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;

use http_types::Request;
use serde::Deserialize;
use serde::Serialize;

use super::header_text;

/// Returns the wall time in milliseconds since the Unix epoch.
pub(crate) fn unix_now() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Accepts new work.
    #[default]
    Live,
    /// Completes running requests and refuses new ones.
    Leaving,
}

/// The start of a request's execution on a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutionRecord {
    /// The `Request-Id` header; empty if absent.
    pub id: String,
    /// The `Request-Attempt` header; 1 if absent.
    pub attempt: u32,
    /// Start time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// All executions of a target; the log survives simulated crashes.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog {
    records: Mutex<Vec<ExecutionRecord>>,
}

impl ExecutionLog {
    /// Records the start of `request` and returns its id.
    pub(crate) fn record(&self, request: &Request) -> String {
        let id = header_text(request, "Request-Id").unwrap_or_default();
        let attempt = header_text(request, "Request-Attempt")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        self.records().push(ExecutionRecord {
            id: id.clone(),
            attempt,
            at_ms: unix_now(),
        });
        id
    }

    /// Returns all records.
    pub(crate) fn all(&self) -> Vec<ExecutionRecord> {
        self.records().clone()
    }

    fn records(&self) -> MutexGuard<'_, Vec<ExecutionRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
