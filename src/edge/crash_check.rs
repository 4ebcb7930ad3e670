//! Tells a target that crashed from one that only cut a connection.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::dispatch::PlacedTarget;
use crate::logs::DecisionLine;
use crate::poison::RequestFingerprint;

/// How long after the cut the target is looked at. A process that crashed takes
/// no connections at once, and is back only after seconds.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Looks whether a target that cut a request still takes connections, and suspects
/// the request if it doesn't.
///
/// Guards against a request that crashes each target that runs it: its caller sends
/// it again and again under new ids, and each time one more target is lost with all
/// that runs there. A single cut connection proves nothing, since targets cut some
/// for other reasons.
pub(crate) async fn check_crash(
    state: Arc<EdgeState>,
    target: PlacedTarget,
    fingerprint: RequestFingerprint,
    request: String,
) {
    task::sleep(PROBE_DELAY).await;
    count(&state.metrics.connects);
    if let Ok(link) = TargetConnection::open(target.address).await {
        state.connections.put_unused(&target.name, link);
        return;
    }
    let name = target.name;
    state.poison.record_loss(fingerprint, &name);
    state.log.write(&DecisionLine::TargetCrashed {
        target: name,
        request,
        fingerprint: format!("{fingerprint:016x}"),
    });
}
