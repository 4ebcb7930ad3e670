//! What operators are told when a host's own state changes.

use crate::ids::RosterNumber;
use crate::logs::StateChange;

/// How a host stands at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostSnapshot {
    /// Why the host takes no requests; nothing when it does.
    pub unready: Option<String>,
    /// Whether a majority of seats with a voice is connected.
    pub majority: bool,
    /// The newest roster that is known to be active.
    pub roster: Option<RosterNumber>,
}

/// How a host stood at the last look.
#[derive(Debug, Default)]
pub struct HostTracker {
    last: Option<HostSnapshot>,
}

impl HostTracker {
    /// Takes how the host stands now and returns what changed. A host that starts
    /// has lost no majority yet: until it first has one, only its readiness is told.
    pub fn update(&mut self, now: HostSnapshot) -> Vec<StateChange> {
        let last = self.last.as_ref();
        let mut changes = Vec::new();
        let majority = last.map(|last| last.majority);
        match (majority, now.majority) {
            (Some(true), false) => changes.push(StateChange::MajorityLost),
            (Some(false), true) => changes.push(StateChange::MajorityBack),
            _ => {}
        }
        if let Some(number) = now.roster
            && last.is_none_or(|last| last.roster != now.roster)
        {
            changes.push(StateChange::RosterActive { number });
        }
        if last.is_none_or(|last| last.unready != now.unready) {
            changes.push(readiness_change(now.unready.clone()));
        }
        self.last = Some(now);
        changes
    }
}

fn readiness_change(unready: Option<String>) -> StateChange {
    match unready {
        Some(reason) => StateChange::NotReady { reason },
        None => StateChange::Ready,
    }
}
