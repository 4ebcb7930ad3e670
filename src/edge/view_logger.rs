//! Logs changes in this host's view of peers and targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::dispatch::PoolSpan;
use crate::dispatch::ShardSpan;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::logs::DecisionLine;
use crate::members::MemberState;

/// Shortest time between two lines about changed shards, whose ranges move in steps.
const SHARD_LOG_PERIOD: Duration = Duration::from_secs(1);

/// The view that was logged last.
#[derive(Debug, Default)]
pub(super) struct ViewLogger {
    connected: Vec<HostName>,
    seeds: Arc<Vec<SocketAddr>>,
    members: Vec<(HostName, MemberState)>,
    suspected: Vec<TargetName>,
    ejected: Vec<TargetName>,
    spans: Vec<PoolSpan>,
    spans_logged_at: Duration,
}

impl ViewLogger {
    /// Logs each part of the view that differs from the last call.
    pub(super) fn log_changes(&mut self, state: &EdgeState, connected: &[HostName]) {
        if connected != self.connected {
            self.connected = connected.to_vec();
            state.log.write(&DecisionLine::PeersChanged {
                connected: connected.to_vec(),
            });
        }
        self.log_seeds(state);
        self.log_members(state);
        self.log_targets(state);
        self.log_ejections(state);
        self.log_shards(state);
        log_quotas(state);
    }

    fn log_seeds(&mut self, state: &EdgeState) {
        let seeds = state.mesh().map(|mesh| mesh.seeds()).unwrap_or_default();
        if seeds == self.seeds {
            return;
        }
        state.log.write(&DecisionLine::SeedsChanged {
            seeds: seeds.to_vec(),
        });
        self.seeds = seeds;
    }

    fn log_members(&mut self, state: &EdgeState) {
        let members = state.members().states(boot_now());
        if members == self.members {
            return;
        }
        let newly_in = |wanted| changed_to(wanted, &self.members, &members);
        state.log.write(&DecisionLine::MembersChanged {
            live: newly_in(MemberState::Live),
            leaving: newly_in(MemberState::Leaving),
            dead: newly_in(MemberState::Dead),
            hosts: members
                .iter()
                .filter(|(_, state)| *state == MemberState::Live)
                .count()
                + 1,
        });
        self.members = members;
    }

    fn log_targets(&mut self, state: &EdgeState) {
        let suspected = state.queue.lock_table().suspected(boot_now());
        if suspected == self.suspected {
            return;
        }
        state.log.write(&DecisionLine::TargetsSuspected {
            suspected: missing_from(&self.suspected, &suspected),
            back: missing_from(&suspected, &self.suspected),
        });
        self.suspected = suspected;
    }

    fn log_ejections(&mut self, state: &EdgeState) {
        let ejected = state.queue.lock_table().ejected(boot_now());
        if ejected == self.ejected {
            return;
        }
        state.log.write(&DecisionLine::TargetsEjected {
            ejected: missing_from(&self.ejected, &ejected),
            back: missing_from(&ejected, &self.ejected),
        });
        self.ejected = ejected;
    }

    /// Logs the ranges that changed, on the leader that decided on them.
    fn log_shards(&mut self, state: &EdgeState) {
        let now = boot_now();
        if now.saturating_sub(self.spans_logged_at) < SHARD_LOG_PERIOD {
            return;
        }
        let is_leader = state.shard_weights().is_leading(now);
        let table = state.queue.lock_table();
        let spans = table.shard_spans();
        if !is_leader || spans == self.spans {
            return;
        }
        let sizes = table.shard_sizes();
        drop(table);
        for (pool, targets) in sizes {
            let span = span_in(&spans, &pool);
            if span == span_in(&self.spans, &pool) {
                continue;
            }
            state.log.write(&DecisionLine::ShardChanged {
                pool,
                targets,
                start: span.map(fraction_of_start),
                end: span.map(fraction_of_end),
            });
        }
        self.spans = spans;
        self.spans_logged_at = now;
    }
}

fn span_in(spans: &[PoolSpan], pool: &str) -> Option<ShardSpan> {
    let found = spans.iter().find(|held| held.pool == pool);
    found.map(|held| held.span)
}

fn fraction_of_start(span: ShardSpan) -> f64 {
    f64::from(span.start) / f64::from(ShardSpan::UNITS)
}

fn fraction_of_end(span: ShardSpan) -> f64 {
    f64::from(span.end) / f64::from(ShardSpan::UNITS)
}

/// Returns the members that are in the wanted state now and were not before.
fn changed_to(
    wanted: MemberState,
    before: &[(HostName, MemberState)],
    now: &[(HostName, MemberState)],
) -> Vec<HostName> {
    let changed = now
        .iter()
        .filter(|member| member.1 == wanted && !before.contains(member));
    changed.map(|(host, _)| host.clone()).collect()
}

/// Returns the `names` that are not in `known`, which is sorted.
fn missing_from(known: &[TargetName], names: &[TargetName]) -> Vec<TargetName> {
    let missing = names
        .iter()
        .filter(|name| known.binary_search(name).is_err());
    missing.cloned().collect()
}

/// Logs what this host knows of the accounts near their quota.
fn log_quotas(state: &EdgeState) {
    let snapshots = state.quota_limiter().due_snapshots(boot_now());
    for snapshot in snapshots {
        state.log.write(&DecisionLine::QuotaUsed { snapshot });
    }
}
