//! Observes this host's paths to targets, and probes those that fail.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::connection_pool::TargetConnection;
use super::edge_metrics::count;
use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::dispatch::PathChange;
use crate::dispatch::PathProbe;
use crate::dispatch::PlacedTarget;
use crate::dispatch::PoolReach;
use crate::dispatch::ReportedPaths;
use crate::ids::HostName;
use crate::ids::PoolName;
use crate::ids::TargetName;
use crate::logs::DecisionLine;
use crate::poison::MOMENT;

/// Maximum number of targets that are probed to tell a crash from a lost path.
const MAX_CONTROLS: usize = 8;
/// Time within which peers report that they lost the same targets, and interval at which their
/// reports are looked at.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1200);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Which of the targets that were probed for comparison were reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ControlReach {
    All,
    Some,
    None,
}

impl EdgeState {
    /// Records whether a connection to a target was established.
    pub(crate) fn record_connect(
        self: &Arc<Self>,
        pool: &PoolName,
        target: &TargetName,
        established: bool,
    ) {
        let now = boot_now();
        let mut table = self.queue.lock_table();
        let change = match established {
            true => table.record_connect(pool, target, now),
            false => table.record_connect_failure(pool, target, now),
        };
        let reported = table.reported_paths(pool, now);
        drop(table);
        match change {
            Some(PathChange::Lost) => {
                count(&self.metrics.lost_paths);
                self.log.write(&DecisionLine::PathLost {
                    pool: pool.clone(),
                    target: target.clone(),
                    peers_reaching: reported.reaching,
                    peers_failing: reported.failing,
                });
                // What waits for a slot here would wait for one at a target out of reach.
                self.queue.release_waiting(pool);
            }
            Some(PathChange::Back) => {
                self.log.write(&DecisionLine::PathBack {
                    pool: pool.clone(),
                    target: Some(target.clone()),
                    peers_reaching: reported.reaching,
                    peers_failing: reported.failing,
                });
                self.queue.assign_waiting();
            }
            None if !established => self.probe_paths(),
            None => {}
        }
    }

    /// Merges what a peer reports of its paths.
    pub(crate) fn merge_paths(&self, peer: HostName, reaches: Vec<PoolReach>) {
        let now = boot_now();
        let mut table = self.queue.lock_table();
        // Peers fail at the targets of these too, so it is not this host's path.
        let common = table.update_peer_reach(peer, reaches, now);
        let common = common.into_iter();
        let reported: Vec<(PoolName, ReportedPaths)> = common
            .map(|pool| (pool.clone(), table.reported_paths(&pool, now)))
            .collect();
        drop(table);
        for (pool, reported) in reported {
            self.log.write(&DecisionLine::PathBack {
                pool,
                target: None,
                peers_reaching: reported.reaching,
                peers_failing: reported.failing,
            });
        }
    }

    /// Starts the probes that are due.
    pub(crate) fn probe_paths(self: &Arc<Self>) {
        let probes = self.queue.lock_table().take_probes(boot_now());
        for probe in probes {
            task::spawn(probe_target(Arc::clone(self), probe));
        }
    }

    /// Probes other targets than one that was lost at `lost_at`, until one is reached or enough of
    /// them are not.
    pub(crate) async fn probe_controls(
        self: &Arc<Self>,
        target: &PlacedTarget,
        lost_at: Duration,
    ) -> ControlReach {
        let started_at = boot_now();
        let mut probed: Vec<TargetName> = Vec::new();
        // Some of them may have crashed too, and refuse connections at once.
        while probed.len() < MAX_CONTROLS && boot_now().saturating_sub(started_at) < REPORT_TIMEOUT
        {
            let is_first = probed.is_empty();
            let controls = {
                let table = self.queue.lock_table();
                table.control_targets(target, &probed, rand::random(), boot_now())
            };
            if controls.is_empty() {
                break;
            }
            probed.extend(controls.iter().map(|probe| probe.target.name.clone()));
            // One that failed long before shows nothing of this moment.
            let before = lost_at.saturating_sub(MOMENT);
            let was_lost = |probe: &PathProbe| {
                let table = self.queue.lock_table();
                table.is_unreachable_since(&probe.target.name, before)
            };
            let known: Vec<bool> = controls.iter().map(was_lost).collect();
            let probes: Vec<_> = controls
                .into_iter()
                .map(|probe| task::spawn(probe_target(Arc::clone(self), probe)))
                .collect();
            let mut reached = 0;
            let mut has_failed = false;
            for (probe, was_lost) in probes.into_iter().zip(known) {
                match probe.await {
                    true => reached += 1,
                    false => has_failed |= !was_lost,
                }
            }
            match reached {
                0 => {}
                _ if is_first && !has_failed => return ControlReach::All,
                _ => return ControlReach::Some,
            }
        }
        ControlReach::None
    }

    /// Returns whether peers report soon that they fail at the pool's targets too.
    pub(crate) async fn is_loss_common_soon(&self, pool: &PoolName) -> bool {
        let started_at = boot_now();
        while boot_now().saturating_sub(started_at) < REPORT_TIMEOUT {
            if self.queue.lock_table().is_loss_common(pool, boot_now()) {
                return true;
            }
            task::sleep(REPORT_INTERVAL).await;
        }
        false
    }
}

/// Opens a connection to a target; returns whether it was established.
async fn probe_target(state: Arc<EdgeState>, probe: PathProbe) -> bool {
    count(&state.metrics.connects);
    let opened = TargetConnection::open(probe.target.address).await;
    let established = opened.is_ok();
    if let Ok(connection) = opened {
        state.connections.put_unused(&probe.target, connection);
    }
    state.record_connect(&probe.pool, &probe.target.name, established);
    established
}
