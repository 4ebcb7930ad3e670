//! Reads what a target states about new requests in the head of a response.

use std::time::Duration;

use super::edge_metrics::count;
use super::request_execution::RequestExecution;
use crate::dispatch::SlotGuard;
use crate::logs::DecisionLine;
use crate::wire::ResponseMessage;

/// Value of the header by which a target states that it is leaving.
const LEAVING_VALUE: &str = "1";
/// Longest pause that a target can ask for. A malformed value must not exclude a target for
/// good.
const MAX_PAUSE: Duration = Duration::from_secs(3600);

impl RequestExecution<'_> {
    /// Records what the target states in a response of any status: that it is leaving, or that
    /// it wants no requests for some time.
    pub(super) fn record_notices(&self, head: &ResponseMessage, slot: &SlotGuard) {
        let state = self.state;
        let leaving = head.headers.text(&state.header_names.leaving);
        if leaving.is_some_and(|value| value.trim() == LEAVING_VALUE) && slot.record_leaving() {
            count(&state.metrics.leaving_targets);
            state.log.write(&DecisionLine::TargetLeaving {
                target: slot.target().name.clone(),
                request: Some(self.routed.id.clone()),
                status: Some(head.status),
                peer: None,
            });
        }
        if let Some(pause) = requested_pause(head)
            && slot.record_pause(pause)
        {
            count(&state.metrics.target_pauses);
            state.log.write(&DecisionLine::TargetPaused {
                target: slot.target().name.clone(),
                request: self.routed.id.clone(),
                pause_ms: pause.as_millis() as u64,
            });
        }
    }
}

/// Returns how long the target wants no requests; it may state a fraction of a second.
pub(super) fn requested_pause(head: &ResponseMessage) -> Option<Duration> {
    if head.status != 503 {
        return None;
    }
    let text = head.headers.text("retry-after")?;
    let seconds: f64 = text.trim().parse().ok()?;
    let pause = Duration::try_from_secs_f64(seconds).ok()?;
    (!pause.is_zero()).then_some(pause.min(MAX_PAUSE))
}
