//! Grace period for registrations that expired during a store outage.

use std::time::Duration;

/// Shortest store outage that can cause registrations to expire. Targets renew theirs every
/// 1.2 s and lose it after three missed renewals, one of which may have been due just before
/// the outage. In normal operation the last contact with the store is less than 2 s old.
const MIN_OUTAGE: Duration = Duration::from_millis(2900);
/// How long after an outage targets with expired registrations may still serve. Running
/// targets are registered again within about 2 s. A target that really left must get no new
/// requests 2 s after its removal, so the grace period ends before that.
const RETURN_GRACE: Duration = Duration::from_millis(1500);

/// Grace period after a store outage, as observed by this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseGrace {
    ends_at: Option<Duration>,
}

impl LeaseGrace {
    /// Records a contact with the store after a time of `outage` without one.
    ///
    /// A contact is an answer of the store or a peer's confirmation of one. If only this host
    /// was cut off, the others kept reading and confirm it. No registration expired in that
    /// case, so removed targets have really left.
    pub fn record_contact(&mut self, outage: Duration, now: Duration) {
        if outage >= MIN_OUTAGE {
            self.ends_at = Some(now + RETURN_GRACE);
        }
    }

    /// Records that the store went back to an older copy of itself. Targets that registered since
    /// the copy was made are missing from it, and are registered again like after an outage.
    pub fn record_rewind(&mut self, now: Duration) {
        self.ends_at = Some(now + RETURN_GRACE);
    }

    /// Returns until when a target removed now may still serve, because its registration may
    /// have expired only due to the outage.
    pub fn removal_deadline(&self, now: Duration) -> Option<Duration> {
        self.ends_at.filter(|end| *end > now)
    }
}
