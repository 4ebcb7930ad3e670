//! Merges the gossip messages of peers and builds the replies.

use std::sync::Arc;
use std::time::Duration;

use super::edge_state::EdgeState;
use super::gossip_builder::MessageOptions;
use super::gossip_builder::is_starting_up;
use crate::clock::boot_now;
use crate::logs::DecisionLine;
use crate::members::GossipMessage;
use crate::members::HeartbeatAge;
use crate::quota::UsageReport;
use crate::quota::UsageScope;

/// Merges a peer's message and returns the reply.
pub(crate) fn handle_gossip(state: &Arc<EdgeState>, message: GossipMessage) -> GossipMessage {
    let peer = message.own.host.clone();
    let now = boot_now();
    let role = state.role();
    let with_loads = message.loads.is_some();
    let peer_hosts = usize::from(message.hosts);
    let is_new = is_starting_up(Duration::from_millis(message.uptime_ms))
        || state.gossip_schedule().is_new(&peer);
    let since = state.gossip_schedule().last_exchange(&peer);
    let update = state.update_for(&message);
    let (revision, catalog) = state.view.held_versions();
    let is_newer = message.revision > revision || message.catalog > catalog;
    let both_grouped = role.is_grouped_member() && message.grouped;
    if both_grouped && message.scope == Some(UsageScope::Host) && !message.own.leaving {
        state.record_report(&peer, now);
    }
    let is_leader = both_grouped && !state.is_leaving() && state.acts_as_leader(&role);
    let is_mesh = !role.layout.is_grouped() && !message.grouped;
    let scope = match message.scope {
        Some(UsageScope::Host) if is_mesh => Some(UsageScope::Host),
        Some(UsageScope::Host) if is_leader => Some(UsageScope::Fleet),
        Some(UsageScope::Group) if is_leader => Some(UsageScope::Group),
        _ => None,
    };
    match scope {
        Some(_) => merge_message(state, message),
        None => merge_members(state, &message),
    }
    let (mut own, version) = state.build_message(MessageOptions {
        peer_hosts,
        receiver: &peer,
        scope,
        with_loads,
        is_new,
        since,
    });
    own.update = update;
    let mut schedule = state.gossip_schedule();
    schedule.record_answered_call(&peer, version, now);
    if is_newer && scope == Some(UsageScope::Group) {
        schedule.expedite(&peer);
    }
    own
}

/// Merges a peer's message, including usage and loads.
pub(super) fn merge_message(state: &Arc<EdgeState>, message: GossipMessage) {
    merge_members(state, &message);
    let Some(scope) = message.scope else {
        return;
    };
    let now = boot_now();
    let host = message.own.host;
    if let Some(demands) = message.slot_demands {
        state.slot_grants().update_demands(&host, demands, now);
    }
    if let Some(report) = message.shard_report {
        state.shard_weights().merge(report, now);
    }
    if scope == UsageScope::Fleet {
        let mut table = state.queue.lock_table();
        if state.weights_shards() {
            table.set_shard_spans(&message.shard_spans, now);
        }
        table.set_grants(message.slot_grants, now);
    }
    let report = UsageReport {
        incarnation: message.own.incarnation,
        basis: message.usage_basis,
        scope,
        hosts: match scope {
            UsageScope::Host => 1,
            UsageScope::Group => usize::from(message.usage_basis.hosts),
            UsageScope::Fleet => usize::from(message.usage_basis.hosts).saturating_sub(1),
        },
        covered: match scope {
            UsageScope::Host => vec![crate::members::hash_host(&host)],
            UsageScope::Group => host_hashes(&message.heartbeats),
            UsageScope::Fleet => Vec::new(),
        },
        accounts: message.usage,
        former: message.former_usage,
        unresponsive: message.unresponsive,
    };
    let mut limiter = state.quota_limiter();
    limiter.apply_report(host.clone(), report, now);
    if message.own.leaving {
        limiter.mark_departed(&host);
    }
    drop(limiter);
    if let Some(loads) = message.loads {
        state
            .queue
            .lock_table()
            .update_peer_loads(host, loads, scope, now);
        state.queue.assign_waiting();
    }
}

/// Merges what a peer knows about hosts, target limits, leaving targets and poison requests.
pub(super) fn merge_members(state: &EdgeState, message: &GossipMessage) {
    let now = boot_now();
    let mut members = state.members();
    members.apply_record(&message.own, now);
    for record in &message.members {
        members.apply_record(record, now);
    }
    for heartbeat in &message.heartbeats {
        members.apply_heartbeat(*heartbeat, now);
    }
    if let Some(digest) = &message.digest {
        members.apply_digest(digest, now);
    }
    drop(members);
    state.update_host_count(&message.own.host, usize::from(message.hosts));
    state.poison.merge(&message.poison);
    if state.parts.merge(&message.parts) && state.acts_as_leader(&state.role()) {
        // Crashes go on until all groups know of them.
        state.gossip_now();
    }
    merge_limits(state, message);
    if !message.paces.is_empty() {
        let mut table = state.queue.lock_table();
        table.merge_paces(&message.paces, now);
    }
    merge_brittle(state, message);
    if !message.streams.is_empty() {
        state.streams().merge(message.streams.clone(), now);
    }
    if !message.rejections.is_empty() {
        let mut table = state.queue.lock_table();
        table.merge_rejections(&message.rejections, now);
    }
    merge_leaving(state, message);
    state.merge_paths(message.own.host.clone(), message.reach.clone());
    if !message.returning_targets.is_empty() {
        let mut table = state.queue.lock_table();
        table.merge_returning(&message.returning_targets, now);
    }
    state.update_fleet_size(usize::from(message.hosts), message.grouped, now);
}

/// Merges the target limits that a peer knows.
fn merge_limits(state: &EdgeState, message: &GossipMessage) {
    if message.limits.is_empty() {
        return;
    }
    let limits = message.limits.clone();
    let changed = state.queue.lock_table().merge_limits(limits, boot_now());
    for limit in changed {
        state.log.write(&DecisionLine::TargetLimited {
            target: limit.subject.name,
            per_second: limit.per_second,
            peer: Some(message.own.host.clone()),
        });
    }
}

/// Merges the brittle pools that a peer knows.
fn merge_brittle(state: &EdgeState, message: &GossipMessage) {
    if message.brittle.is_empty() {
        return;
    }
    let brittle = message.brittle.clone();
    let changed = state.queue.lock_table().merge_brittle(brittle, boot_now());
    for limit in changed {
        state.log.write(&DecisionLine::PoolBrittle {
            pool: limit.subject,
            per_second: limit.per_second,
            peer: Some(message.own.host.clone()),
        });
    }
}

/// Merges the leaving targets that a peer knows.
fn merge_leaving(state: &EdgeState, message: &GossipMessage) {
    if message.leaving_targets.is_empty() {
        return;
    }
    let leaving = message.leaving_targets.clone();
    let new = state.queue.lock_table().merge_leaving(leaving, boot_now());
    for leaving in new {
        state.log.write(&DecisionLine::TargetLeaving {
            target: leaving.target.name,
            request: None,
            status: None,
            peer: Some(message.own.host.clone()),
        });
    }
}

fn host_hashes(heartbeats: &[HeartbeatAge]) -> Vec<u32> {
    heartbeats.iter().map(|heartbeat| heartbeat.host).collect()
}
