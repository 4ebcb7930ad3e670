//! The end of the process: nothing that was read is dropped.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_state::EdgeState;
use crate::logs::DecisionLine;

/// How long the host goes on at least, so that the balancer has seen that it isn't
/// ready: it asks each second, and takes a host out after two misses.
const NOTICE_TIME: Duration = Duration::from_millis(2600);
/// For how long requests on kept connections are still served. A stream takes some
/// seconds, so one that is taken later may be cut by the end of the grace; its
/// caller is sent to another host in place of that.
const SERVE_TIME: Duration = Duration::from_millis(2700);
/// How long before the end of the grace the process stops by itself.
const END_MARGIN: Duration = Duration::from_millis(400);
/// How often the running requests are looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// When a caller may come back that is sent to another host.
pub(crate) const LEAVING_DELAY: Duration = Duration::from_millis(20);

/// Tells whether requests are still let in, by the time since the signal to leave.
pub(crate) fn takes_requests(leaving_for: Option<Duration>) -> bool {
    leaving_for.is_none_or(|time| time < SERVE_TIME)
}

/// Begins to leave, and returns when nothing runs any more or the grace is over.
pub(crate) async fn leave(state: &Arc<EdgeState>) {
    state.begin_leaving();
    state.log.write(&DecisionLine::Leaving {
        running: state.running(),
    });
    let grace = state.settings.load().bounds.leave_grace;
    let longest = grace.saturating_sub(END_MARGIN);
    loop {
        task::sleep(LOOK_PERIOD).await;
        let time = state.leaving_for().unwrap_or_default();
        if time >= longest || (time >= NOTICE_TIME && state.running() == 0) {
            break;
        }
    }
    state.log.write(&DecisionLine::Stopped {
        cut: state.running(),
    });
}
