//! Distinguishes a crashed target from one that only closed a connection.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::dispatch::PlacedTarget;
use crate::ids::PoolName;
use crate::ids::UnixMillis;
use crate::logs::DecisionLine;
use crate::poison::LostRun;
use crate::poison::RequestFingerprint;
use crate::poison::SharedParts;

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

/// A request whose target closed its connection.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    pub(crate) pool: PoolName,
    pub(crate) target: PlacedTarget,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) shared_parts: SharedParts,
    /// Whether it was sent as a trial of one of these.
    pub(crate) is_part_trial: bool,
    /// The request's id.
    pub(crate) request: String,
    /// When it was sent to the target, and when its connection was lost.
    pub(crate) sent_at: UnixMillis,
    pub(crate) lost_at: UnixMillis,
}

/// A check whether a target crashed while it ran a request. Requests may wait for its end.
pub(crate) struct CrashCheck {
    state: Arc<EdgeState>,
    lost: LostRequest,
}

impl CrashCheck {
    /// Records that a check begins.
    pub(crate) fn begin(state: Arc<EdgeState>, lost: LostRequest) -> Self {
        let target = &lost.target.name;
        state.poison.begin_check(lost.fingerprint, target);
        Self { state, lost }
    }

    /// Probes a target that closed the connection while it ran a request, and records the
    /// request as suspect if the target no longer accepts connections.
    ///
    /// Without this, a request that crashes every target that runs it takes down one target
    /// after another, with all of their work, as its caller retries it under new ids. A
    /// single closed connection is no proof of a crash, because targets close connections for
    /// other reasons too; nor is a failed probe where this host has lost its path.
    pub(crate) async fn run(self) {
        let (state, lost) = (&self.state, &self.lost);
        let fingerprint_text = format!("{:016x}", lost.fingerprint);
        let established = is_alive(state, &lost.target).await;
        state.record_connect(&lost.pool, &lost.target.name, established);
        if established {
            state.log.write(&DecisionLine::TargetAlive {
                target: lost.target.name.clone(),
                request: lost.request.clone(),
                fingerprint: fingerprint_text,
            });
            return;
        }
        if !state.confirms_crash(&lost.pool, &lost.target).await {
            return;
        }
        let run = LostRun {
            target: &lost.target.name,
            sent_at: lost.sent_at,
            lost_at: lost.lost_at,
        };
        state.poison.record_loss(lost.fingerprint, run);
        state
            .parts
            .record_loss(&lost.shared_parts, run, lost.is_part_trial);
        // Each host would otherwise take a crash for itself before it learns of this one.
        state.gossip_now();
        state.log.write(&DecisionLine::TargetCrashed {
            target: lost.target.name.clone(),
            request: lost.request.clone(),
            fingerprint: fingerprint_text,
            parts: lost.shared_parts.ids(),
        });
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        let target = &self.lost.target.name;
        self.state.poison.end_check(self.lost.fingerprint, target);
    }
}
