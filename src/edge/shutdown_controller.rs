//! Graceful shutdown: within the grace period every request that was read is answered
//! before the process exits.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use super::request_execution::RequestExecution;
use crate::clock::boot_now;
use crate::logs::DecisionLine;

/// Minimum time that the host keeps serving, so that the load balancer notices that it
/// isn't ready. The balancer probes once per second and removes a host after two
/// failures.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2600);
/// Time for which requests on kept connections are still served, if they can be completed. Later ones
/// are sent to another host, so that those that run longer than expected can still end.
const MAX_SERVE_TIME: Duration = Duration::from_millis(2700);
/// Time for which an idle host keeps refusing requests before it exits, so that requests
/// that were already in transit get a response.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Margin before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Period at which the number of active requests is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Retry delay for a caller that is sent to another host.
pub(crate) const LEAVING_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShutdownPhase {
    /// Serves requests on kept connections.
    Serving,
    /// Refuses new requests and completes active ones.
    Draining,
    /// No request has been active since this time of the shutdown; new ones are refused.
    Idle(Duration),
    /// The process exits.
    Exited,
}

impl ShutdownPhase {
    /// Returns the phase at `elapsed` after the signal, with `active` requests running and
    /// `limit` as the end of the grace period.
    ///
    /// A request that is read after the host was found idle must not start, since the
    /// process would exit before it is answered. The host therefore refuses requests
    /// first and exits only when none was active while it did so.
    pub(crate) fn next(self, elapsed: Duration, active: usize, limit: Duration) -> Self {
        if elapsed >= limit {
            return Self::Exited;
        }
        match self {
            Self::Serving if elapsed >= MAX_SERVE_TIME => Self::Draining,
            Self::Serving if elapsed >= BALANCER_NOTICE_TIME && active == 0 => Self::Draining,
            Self::Draining if active == 0 => Self::Idle(elapsed),
            Self::Idle(_) if active > 0 => Self::Draining,
            Self::Idle(since) if elapsed >= since + REFUSAL_TIME => Self::Exited,
            phase => phase,
        }
    }
}

impl EdgeState {
    /// Returns the time until this host exits; `None` if it isn't shutting down.
    pub(crate) fn time_to_exit(&self) -> Option<Duration> {
        let grace = self.runtime.load().bounds.shutdown_grace;
        let left = |elapsed| exit_limit(grace).saturating_sub(elapsed);
        self.leaving_for().map(left)
    }
}

impl RequestExecution<'_> {
    /// Returns whether the request was not sent yet, and the host may exit before it is answered.
    pub(super) fn exceeds_shutdown(&self) -> bool {
        let Some(left) = self.state.time_to_exit() else {
            return false;
        };
        let routed = self.routed;
        if self.may_have_run || self.progress.has_started {
            return false;
        }
        if routed.deadline <= boot_now() + left {
            return false;
        }
        let output = match routed.kind.is_stream() {
            true => routed.usage.map(|usage| usage.output),
            false => Some(0),
        };
        let table = self.state.queue.lock_table();
        let expected = output.and_then(|output| table.run_time_bound(&routed.pool, output));
        expected.is_none_or(|expected| expected > left)
    }
}

/// Returns when the process exits by itself at the latest, counted from the stop signal.
const fn exit_limit(grace: Duration) -> Duration {
    grace.saturating_sub(EXIT_MARGIN)
}

/// Starts the shutdown; returns when no request is active or the grace period is over.
pub(crate) async fn shut_down(state: &Arc<EdgeState>) {
    let grace = state.runtime.load().bounds.shutdown_grace;
    let limit = exit_limit(grace);
    state.begin_leaving();
    state.log.write(&DecisionLine::Leaving {
        running: state.active_requests(),
    });
    let mut phase = ShutdownPhase::Serving;
    while phase != ShutdownPhase::Exited {
        task::sleep(CHECK_PERIOD).await;
        let elapsed = state.leaving_for().unwrap_or_default();
        phase = phase.next(elapsed, state.active_requests(), limit);
        if phase != ShutdownPhase::Serving {
            state.stop_accepting();
        }
    }
    state.log.write(&DecisionLine::Stopped {
        cut: state.active_requests(),
    });
    state.log.flush().await;
}
