//! Distinguishes a crashed target from one that only closed a connection.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::dispatch::PlacedTarget;
use crate::logs::DecisionLine;
use crate::poison::RequestFingerprint;

/// Delay between the loss of a connection and the probe of its target. A crashed process
/// refuses connections immediately and takes seconds to restart.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Returns whether a target that closed a connection accepts others.
pub(crate) async fn is_alive(state: &EdgeState, target: &PlacedTarget) -> bool {
    task::sleep(PROBE_DELAY).await;
    count(&state.metrics.connects);
    let Ok(connection) = TargetConnection::open(target.address).await else {
        return false;
    };
    state
        .connections
        .put_unused(&target.incarnation(), connection);
    true
}

/// Probes a target that closed the connection while it ran a request, and records the
/// request as suspect if the target no longer accepts connections.
///
/// Without this, a request that crashes every target that runs it takes down one target
/// after another, with all of their work, as its caller retries it under new ids. A
/// single closed connection is no proof of a crash, because targets close connections for
/// other reasons too.
pub(crate) async fn check_crash(
    state: Arc<EdgeState>,
    target: PlacedTarget,
    fingerprint: RequestFingerprint,
    request: String,
) {
    let fingerprint_text = format!("{fingerprint:016x}");
    if is_alive(&state, &target).await {
        state.log.write(&DecisionLine::TargetAlive {
            target: target.name,
            request,
            fingerprint: fingerprint_text,
        });
        return;
    }
    let name = target.name;
    state.poison.record_loss(fingerprint, &name);
    state.log.write(&DecisionLine::TargetCrashed {
        target: name,
        request,
        fingerprint: fingerprint_text,
    });
}
