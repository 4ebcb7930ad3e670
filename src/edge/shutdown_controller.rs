//! Graceful shutdown: within the grace period every request that was read is answered
//! before the process exits.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use crate::logs::DecisionLine;

/// Minimum time that the host keeps serving, so that the load balancer notices that it
/// isn't ready. The balancer probes once per second and removes a host after two
/// failures.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2600);
/// Time for which requests on kept connections are still served. A stream takes several
/// seconds, so one that started later might be cut off at the end of the grace period;
/// its caller is sent to another host instead.
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

/// Starts the shutdown; returns when no request is active or the grace period is over.
pub(crate) async fn shut_down(state: &Arc<EdgeState>) {
    let grace = state.runtime.load().bounds.shutdown_grace;
    let limit = grace.saturating_sub(EXIT_MARGIN);
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
