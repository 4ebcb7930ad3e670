//! Detects changes of a host's own state for the log.

use crate::ids::RosterNumber;
use crate::logs::StateChange;

/// The state of a host at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostSnapshot {
    /// The reason that the host accepts no requests; `None` if it accepts them.
    pub unready_reason: Option<String>,
    /// Whether a majority of voting seats is connected.
    pub majority: bool,
    /// The newest roster known to be active.
    pub roster: Option<RosterNumber>,
}

/// Remembers the last snapshot of a host.
#[derive(Debug, Default)]
pub struct HostTracker {
    last: Option<HostSnapshot>,
}

impl HostTracker {
    /// Records a snapshot and returns the changes since the last one. A starting host
    /// has not lost a majority yet: until it first has one, only its readiness is
    /// reported.
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
        if last.is_none_or(|last| last.unready_reason != now.unready_reason) {
            changes.push(readiness_change(now.unready_reason.clone()));
        }
        self.last = Some(now);
        changes
    }
}

fn readiness_change(unready_reason: Option<String>) -> StateChange {
    match unready_reason {
        Some(reason) => StateChange::NotReady { reason },
        None => StateChange::Ready,
    }
}
