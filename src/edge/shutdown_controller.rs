//! The end of the process: nothing that was read is dropped.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use crate::logs::DecisionLine;

/// How long the host goes on at least, so that the balancer has seen that it isn't
/// ready: it asks each second, and takes a host out after two misses.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2600);
/// For how long requests on kept connections are still served. A stream takes some
/// seconds, so one that is taken later may be cut by the end of the grace; its
/// caller is sent to another host in place of that.
const MAX_SERVE_TIME: Duration = Duration::from_millis(2700);
/// How long requests are still answered with a refusal once nothing runs any more:
/// what was sent as the host decided to end arrives within it.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// How long before the end of the grace the process stops by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How often the running requests are looked at.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// When a caller may come back that is sent to another host.
pub(crate) const LEAVING_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How far a host that leaves has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShutdownPhase {
    /// It still serves requests on kept connections.
    Serving,
    /// It refuses new requests and finishes those that run.
    Finishing,
    /// Nothing runs; it refuses new requests since this time of its leaving.
    Idle(Duration),
    /// It ends.
    Ended,
}

impl ShutdownPhase {
    /// Returns the next step, `time` after the signal, with `running` requests under
    /// way and `longest` as the end of the grace.
    ///
    /// A request that is read after the host found itself idle must not begin: the
    /// process would end in the middle of it. So the host refuses first, and ends
    /// once nothing ran while it did.
    pub(crate) fn next(self, time: Duration, running: usize, longest: Duration) -> Self {
        if time >= longest {
            return Self::Ended;
        }
        match self {
            Self::Serving if time >= MAX_SERVE_TIME => Self::Finishing,
            Self::Serving if time >= BALANCER_NOTICE_TIME && running == 0 => Self::Finishing,
            Self::Finishing if running == 0 => Self::Idle(time),
            Self::Idle(_) if running > 0 => Self::Finishing,
            Self::Idle(since) if time >= since + REFUSAL_TIME => Self::Ended,
            step => step,
        }
    }
}

/// Begins to leave, and returns when nothing runs any more or the grace is over.
pub(crate) async fn leave(state: &Arc<EdgeState>) {
    let grace = state.settings.load().bounds.shutdown_grace;
    let longest = grace.saturating_sub(EXIT_MARGIN);
    state.begin_leaving();
    state.log.write(&DecisionLine::Leaving {
        running: state.active_requests(),
    });
    let mut step = ShutdownPhase::Serving;
    while step != ShutdownPhase::Ended {
        task::sleep(CHECK_PERIOD).await;
        let time = state.leaving_for().unwrap_or_default();
        step = step.next(time, state.active_requests(), longest);
        if step != ShutdownPhase::Serving {
            state.stop_accepting();
        }
    }
    state.log.write(&DecisionLine::Stopped {
        cut: state.active_requests(),
    });
    state.log.flush().await;
}
