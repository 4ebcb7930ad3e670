//! History of load reports, which are served with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use crate::http::TargetState;

/// An engine's load report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct EngineLoad {
    /// Time of the report, in milliseconds since the Unix epoch.
    pub(crate) taken_ms: u64,
    /// Number of running requests.
    pub(crate) running: u32,
    /// Number of running requests still in prefill.
    pub(crate) waiting: u32,
    /// Decoding speed of one request.
    pub(crate) tokens_per_second: f64,
    /// Whether the engine accepted new work.
    pub(crate) state: TargetState,
}

/// Load reports covering at least the report lag.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    reports: VecDeque<EngineLoad>,
}

impl LoadHistory {
    /// Appends a report and evicts those older than the lag requires.
    pub(crate) fn record(&mut self, report: EngineLoad, lag: Duration) {
        let oldest = report.taken_ms.saturating_sub(lag.as_millis() as u64);
        self.reports.push_back(report);
        while self.reports.len() > 1 && self.reports[1].taken_ms <= oldest {
            self.reports.pop_front();
        }
    }

    /// Returns the report in effect `lag` before `now_ms`, or the oldest one.
    pub(crate) fn report_at_lag(&self, now_ms: u64, lag: Duration) -> Option<EngineLoad> {
        let reported_ms = now_ms.saturating_sub(lag.as_millis() as u64);
        let report_then = self
            .reports
            .iter()
            .rev()
            .find(|report| report.taken_ms <= reported_ms);
        let mut report = report_then.or_else(|| self.reports.front())?.clone();
        report.taken_ms = reported_ms;
        Some(report)
    }
}
