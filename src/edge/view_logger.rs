//! Logs changes in this host's view of peers and targets.

use super::edge_state::EdgeState;
use crate::clock::boot_now;
use crate::ids::HostName;
use crate::ids::TargetName;
use crate::logs::DecisionLine;
use crate::members::MemberState;

/// The view that was logged last.
#[derive(Debug, Default)]
pub(super) struct ViewLogger {
    connected: Vec<HostName>,
    members: Vec<(HostName, MemberState)>,
    suspected: Vec<TargetName>,
    ejected: Vec<TargetName>,
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
        self.log_members(state);
        self.log_targets(state);
        self.log_ejections(state);
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
