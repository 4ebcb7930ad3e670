//! Metrics and log lines of a request in progress.

use super::edge_metrics::count;
use super::request_execution::RequestExecution;
use crate::dispatch::PlacedTarget;
use crate::errors::RequestOutcome;
use crate::ids::TargetName;
use crate::logs::DecisionLine;
use crate::wire::BodyFraming;

impl RequestExecution<'_> {
    /// Counts and logs an attempt.
    pub(super) fn report_sent(&self, target: &PlacedTarget) {
        let state = self.state;
        let waited = self.routed.age();
        count(&state.metrics.attempts);
        if self.attempts > 1 {
            count(&state.metrics.retries);
        }
        if self.attempts == 1 {
            self.routed.series.record_queue_time(waited);
        }
        state.log.write(&DecisionLine::RequestSent {
            request: self.routed.id.clone(),
            route: self.routed.route.clone(),
            account: self
                .routed
                .account
                .as_ref()
                .map(|account| account.name.clone()),
            pool: self.routed.pool.clone(),
            target: target.name.clone(),
            version: target.software_version.clone(),
            resumes: self.routed.resumed_request.clone(),
            attempt: self.attempts,
            waited_ms: waited.as_millis() as u64,
            prompt_tokens: self.routed.usage.map(|usage| usage.prompt),
            output_tokens: self.routed.usage.map(|usage| usage.output),
            expected_tokens: self.routed.usage.and_then(|usage| usage.expected_output),
            catalog: self.routed.catalog.version(),
            view_age_ms: state.view_age_ms(),
        });
    }

    /// Logs an attempt that got no complete response.
    pub(super) fn report_failure(&self, target: &TargetName, cause: &str, again: bool) {
        self.state.log.write(&DecisionLine::SendFailed {
            request: self.routed.id.clone(),
            target: target.clone(),
            attempt: self.attempts,
            cause: cause.to_owned(),
            head_received: self.framing.is_some(),
            framing: self.framing.map(BodyFraming::name),
            again,
        });
    }

    /// Counts and logs a complete response from a target.
    pub(super) fn report_served(&self, target: &TargetName, status: u16) {
        count(&self.state.metrics.answered);
        if !self.progress.has_started {
            // A response that is not streamed arrives as a whole.
            self.routed.series.record_first_token(self.routed.age());
        }
        self.state.poison.record_success(self.routed.fingerprint);
        if let Some(sent_after) = self.sent_after.filter(|_| (200..300).contains(&status)) {
            let parts = &self.routed.shared_parts;
            self.state.parts.record_success(parts, sent_after);
        }
        self.report_answered(target, status, RequestOutcome::Done);
    }

    /// Counts and logs the response of a target, which may be an error.
    pub(super) fn report_answered(
        &self,
        target: &TargetName,
        status: u16,
        outcome: RequestOutcome,
    ) {
        let total = self.routed.age();
        let first = self.progress.first_at().map_or(total, |first| {
            first.saturating_sub(self.routed.request.arrived)
        });
        self.routed.record_end(outcome);
        self.state.log.write(&DecisionLine::RequestAnswered {
            request: self.routed.id.clone(),
            target: target.clone(),
            status,
            attempts: self.attempts,
            first_ms: first.as_millis() as u64,
            total_ms: total.as_millis() as u64,
            longest_pause_ms: self.progress.longest_pause().as_millis() as u64,
            framing: self.framing.map(BodyFraming::name),
        });
    }
}
