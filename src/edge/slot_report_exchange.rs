//! Reports to the leader of a group at once when the slots that it granted don't fit this host's
//! requests.
//!
//! Regular gossip reports demand up to ten times a second. Between two of its reports, slots stay
//! idle at hosts without waiting requests while requests are refused at others. The report here
//! holds only demands and loads, and its answer only grants.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use super::edge_metrics::count;
use super::edge_state::EdgeState;
use super::fleet_role::FleetRole;
use super::gossip_controller::LEADER_SKIP_TIME;
use crate::clock::boot_now;
use crate::dispatch::PoolGrants;
use crate::dispatch::SlotReport;
use crate::ids::HostName;
use crate::peers::PeerCall;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::quota::UsageScope;

/// Period at which a host with engine requests compares its grants with them; a report is sent at
/// most once in it.
const CHECK_PERIOD: Duration = Duration::from_millis(20);
/// The same period while it has no engine requests.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for the leader's answer. Slots are to be in full use within two seconds after the
/// leader stops answering.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reports to the leader whenever that is due, until the process ends.
pub(crate) async fn run_slot_reports(state: Arc<EdgeState>, mesh: Arc<PeerMesh>) {
    loop {
        let period = match state.queue.lock_table().has_engine_requests() {
            true => CHECK_PERIOD,
            false => IDLE_CHECK_PERIOD,
        };
        task::sleep(period).await;
        let role = state.role();
        let enabled = state.runtime.load().load_control.divides_slots_fast
            && role.is_grouped_member()
            && !state.is_leaving();
        state.slot_grants().set_fast(enabled);
        let report = {
            let mut table = state.queue.lock_table();
            table.set_fast_reports(enabled);
            table.take_slot_report(boot_now())
        };
        let Some(report) = report else {
            continue;
        };
        if state.acts_as_leader(&role) {
            state.grant_own_slots(boot_now());
            state.queue.assign_waiting();
            continue;
        }
        let connected = mesh.connected_peers();
        match state.usable_leader(&role, &connected) {
            Some(leader) => send_report(&state, &mesh, leader, report).await,
            None => state.queue.lock_table().forget_slot_report(),
        }
    }
}

async fn send_report(
    state: &Arc<EdgeState>,
    mesh: &PeerMesh,
    leader: HostName,
    report: SlotReport,
) {
    let call = PeerCall::SlotReport(Box::new(report));
    let reply = mesh.call(&leader, call, REPORT_TIMEOUT).await;
    let Ok(PeerReply::SlotGrants(grants)) = reply else {
        // It is silent, or has another view of the members.
        state.skip_leader(&leader, boot_now() + LEADER_SKIP_TIME);
        state.queue.lock_table().forget_slot_report();
        return;
    };
    count(&state.metrics.slot_reports);
    let queue = &state.queue;
    queue.lock_table().set_grants(grants, boot_now());
    queue.assign_waiting();
}

impl EdgeState {
    /// Returns the leader to which a member of a group reports: the first connected candidate that
    /// has not failed to answer lately.
    pub(super) fn usable_leader(
        &self,
        role: &FleetRole,
        connected: &[HostName],
    ) -> Option<HostName> {
        let candidates = role.layout.leader_candidates(role.layout.own_group());
        let mut usable = candidates.into_iter().filter(|host| {
            connected.binary_search(host).is_ok() && !self.is_skipped_leader(host, boot_now())
        });
        usable.next().cloned()
    }

    /// Grants this host its part of the shard's slots, like the hosts that report to it.
    pub(super) fn grant_own_slots(&self, now: Duration) {
        let host = &self.startup.host;
        let demands = self.queue.lock_table().slot_demands(now);
        self.slot_grants().update_demands(host, demands, now);
        let grants = self.grant_slots(host, now);
        self.queue.lock_table().set_grants(grants, now);
    }

    /// Applies the report of a member; returns its new grants, or `None` if this host is not a
    /// leader.
    pub(super) fn answer_slot_report(
        &self,
        member: &HostName,
        report: SlotReport,
    ) -> Option<Vec<PoolGrants>> {
        let now = boot_now();
        let role = self.role();
        if !role.is_grouped_member() || self.is_leaving() {
            return None;
        }
        // A member whose first leader does not answer makes this host a leader by its report.
        self.record_report(member, now);
        self.slot_grants()
            .update_demands(member, report.demands, now);
        let mut table = self.queue.lock_table();
        table.update_peer_loads(member.clone(), report.loads, UsageScope::Host, now);
        drop(table);
        Some(self.grant_slots(member, now))
    }
}
