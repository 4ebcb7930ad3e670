//! Distinguishes a crashed target from one that only closed a connection.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_state::EdgeState;
use super::path_monitor::ControlReach;
use crate::clock::boot_now;
use crate::dispatch::PlacedTarget;
use crate::ids::PoolName;
use crate::ids::UnixMillis;
use crate::logs::DecisionLine;
use crate::poison::CauseKey;
use crate::poison::LossScope;
use crate::poison::LostRun;
use crate::poison::RequestFingerprint;
use crate::poison::SharedParts;

/// Delay between the loss of a connection and the probe of its target. A crashed process
/// refuses connections immediately and takes seconds to restart.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// Delay of the second look at a target where only some of the others are reached: the path to them
/// may be about to be lost.
const PARTIAL_DELAY: Duration = Duration::from_millis(100);
/// Interval at which a check looks at those of other targets.
const SCOPE_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether a target that closed a connection accepts others.
pub(crate) async fn is_alive(state: &EdgeState, target: &PlacedTarget) -> bool {
    task::sleep(PROBE_DELAY).await;
    accepts_connections(state, target).await
}

async fn accepts_connections(state: &EdgeState, target: &PlacedTarget) -> bool {
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

impl LostRequest {
    /// Returns what may have crashed the target: the request, and the parts of its prompt.
    fn causes(&self) -> Vec<CauseKey> {
        let parts = self.shared_parts.parts.iter().map(|part| part.key);
        parts.chain([self.fingerprint]).collect()
    }
}

/// A check whether a target crashed while it ran a request. Requests may wait for its end.
pub(crate) struct CrashCheck {
    state: Arc<EdgeState>,
    lost: LostRequest,
    /// When the connection was lost, on the boot clock.
    lost_at: Duration,
    /// Whether requests wait for its end.
    is_awaited: bool,
}

/// What a check found.
enum CheckOutcome {
    Alive,
    Crashed,
    /// The loss has another cause, or nothing shows that it was a crash.
    Unexplained,
}

impl CrashCheck {
    /// Records that a check begins.
    pub(crate) fn begin(state: Arc<EdgeState>, lost: LostRequest) -> Self {
        let lost_at = boot_now();
        let target = &lost.target.name;
        let causes = lost.causes();
        let poison = &state.poison;
        poison.begin_check(lost.fingerprint, target, causes, lost_at);
        Self {
            state,
            lost,
            lost_at,
            is_awaited: true,
        }
    }

    /// Probes a target that closed the connection while it ran a request, and records the
    /// request as suspect if the target no longer accepts connections.
    ///
    /// Without this, a request that crashes every target that runs it takes down one target
    /// after another, with all of their work, as its caller retries it under new ids. A
    /// single closed connection is no proof of a crash, because targets close connections for
    /// other reasons too; nor is a failed probe where this host has lost its path.
    pub(crate) async fn run(mut self) {
        let outcome = self.look_for_crash().await;
        let (state, lost) = (&self.state, &self.lost);
        let fingerprint_text = format!("{:016x}", lost.fingerprint);
        match outcome {
            CheckOutcome::Crashed => {}
            CheckOutcome::Alive => {
                state.log.write(&DecisionLine::TargetAlive {
                    target: lost.target.name.clone(),
                    request: lost.request.clone(),
                    fingerprint: fingerprint_text,
                });
                return;
            }
            CheckOutcome::Unexplained => return,
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

    /// Tells a crash from a lost path. A crashed target accepts no connections while others do: at
    /// once if nothing else was lost, else when the paths have been sound for a while, as they may be
    /// lost one after the other and only for a moment.
    async fn look_for_crash(&mut self) -> CheckOutcome {
        task::sleep(PROBE_DELAY).await;
        if self.probe_target().await {
            return CheckOutcome::Alive;
        }
        let controls = self.probe_controls().await;
        match (controls, self.known_scope().await) {
            (_, LossScope::Many) => return CheckOutcome::Unexplained,
            (ControlReach::None, _) => return self.compare_with_peers().await,
            // The paths may have been lost when the target was probed, and be back.
            (ControlReach::All, LossScope::Single) => {
                return match self.probe_target().await {
                    true => CheckOutcome::Alive,
                    false => CheckOutcome::Crashed,
                };
            }
            (_, LossScope::Several(settled_at)) => {
                task::sleep(settled_at.saturating_sub(boot_now())).await;
            }
            (_, LossScope::Single | LossScope::Unknown) => task::sleep(PARTIAL_DELAY).await,
        }
        if self.probe_target().await {
            return CheckOutcome::Alive;
        }
        let controls = self.probe_controls().await;
        match (controls, self.scope()) {
            (_, LossScope::Many) => CheckOutcome::Unexplained,
            (ControlReach::None, _) => self.compare_with_peers().await,
            _ => CheckOutcome::Crashed,
        }
    }

    /// Returns what else was lost in the moment, once the other targets were probed too.
    async fn known_scope(&self) -> LossScope {
        let started_at = boot_now();
        loop {
            let scope = self.scope();
            let has_waited = boot_now().saturating_sub(started_at) >= PARTIAL_DELAY;
            if scope != LossScope::Unknown || has_waited {
                return scope;
            }
            task::sleep(SCOPE_INTERVAL).await;
        }
    }

    /// Finds out whether all targets of the pool crashed: if they did, peers fail at them too. No
    /// request waits for that, since this host reaches none of the targets meanwhile.
    async fn compare_with_peers(&mut self) -> CheckOutcome {
        self.stop_waits();
        match self.state.is_loss_common_soon(&self.lost.pool).await {
            true => CheckOutcome::Crashed,
            false => CheckOutcome::Unexplained,
        }
    }

    async fn probe_target(&self) -> bool {
        let (state, lost) = (&self.state, &self.lost);
        let started_at = boot_now();
        let established = accepts_connections(state, &lost.target).await;
        let target = &lost.target.name;
        state.poison.record_probe(target, established, started_at);
        state.record_connect(&lost.pool, &lost.target.name, established);
        established
    }

    async fn probe_controls(&self) -> ControlReach {
        let target = &self.lost.target;
        self.state.probe_controls(target, self.lost_at).await
    }

    fn scope(&self) -> LossScope {
        let (poison, lost) = (&self.state.poison, &self.lost);
        poison.loss_scope(&lost.target.name, &lost.causes(), self.lost_at)
    }

    fn stop_waits(&mut self) {
        if std::mem::take(&mut self.is_awaited) {
            let target = &self.lost.target.name;
            self.state.poison.end_check(self.lost.fingerprint, target);
        }
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        self.stop_waits();
    }
}
