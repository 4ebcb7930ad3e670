//! What targets state in their answers about new requests.

use std::time::Duration;

use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;

/// How long a target is remembered as leaving after its registration was last seen. During a
/// store outage a registration may expire and return while the target is still leaving.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// The targets that stated that they are leaving, or asked for a pause.
///
/// Statements belong to one incarnation of a target. They outlive its registration, which the
/// store may lose and get back.
#[derive(Debug, Default)]
pub(super) struct NoticeTable {
    /// Leaving targets, and when their registration was last seen.
    leaving: SortedMap<TargetIncarnation, Duration>,
    /// Targets that get no requests until the given time.
    pauses: SortedMap<TargetIncarnation, Duration>,
}

impl NoticeTable {
    /// Records that a target is leaving; returns whether this is new.
    pub(super) fn record_leaving(&mut self, target: TargetIncarnation, now: Duration) -> bool {
        self.leaving.insert(target, now).is_none()
    }

    /// Records that a target asked for no requests during `pause`; returns whether its current
    /// pause gets longer. A shorter one does not end the current pause.
    pub(super) fn record_pause(
        &mut self,
        target: TargetIncarnation,
        pause: Duration,
        now: Duration,
    ) -> bool {
        let until = now + pause;
        let held = self.pauses.get_or_insert_with(target, || Duration::ZERO);
        let extends = *held < until;
        *held = until.max(*held);
        extends
    }

    /// Returns whether a target stated that it is leaving.
    pub(super) fn is_leaving(&self, target: &TargetIncarnation) -> bool {
        self.leaving.contains_key(target)
    }

    /// Returns the end of the pause that a target asked for; zero if it asked for none.
    pub(super) fn paused_until(&self, target: &TargetIncarnation) -> Duration {
        self.pauses.get(target).copied().unwrap_or_default()
    }

    /// Removes the pauses that are over, and the leaving targets that have been gone for long.
    /// `is_registered` tells whether an incarnation is registered now.
    pub(super) fn expire(
        &mut self,
        is_registered: impl Fn(&TargetIncarnation) -> bool,
        now: Duration,
    ) {
        self.pauses.retain(|_, until| *until > now);
        self.leaving.retain(|target, seen_at| {
            if is_registered(target) {
                *seen_at = now;
            }
            now.saturating_sub(*seen_at) < LEAVING_TTL
        });
    }
}
