//! What hosts state about the versions that a pool had, and for which period.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostName;
use crate::ids::SoftwareVersion;

/// A host's statement on the versions of a pool, as of the time at which it is made.
///
/// It covers the period from the time since which the host has applied all changes of the targets to
/// the time at which its view was last known to match the store. Versions that came and went outside
/// of that period are not known to the host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionClaim {
    /// The host.
    pub host: HostName,
    /// The versions that the pool has or had within the asked time, sorted.
    pub possible: Vec<SoftwareVersion>,
    /// For how long the host has applied all changes of the targets, in milliseconds.
    pub known_for_ms: u64,
    /// Age of its view of the targets, in milliseconds; `None` if it has none.
    pub view_age_ms: Option<u64>,
}

/// A claim with the period that it covers, on this host's clock.
#[derive(Clone, Debug)]
pub struct PeriodClaim {
    /// The claim.
    pub claim: VersionClaim,
    /// Start of the period.
    pub from: Duration,
    /// End of the period.
    pub until: Duration,
}

/// What all claims together show.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionFinding {
    /// The pool had only this version for all of the period.
    Sole(SoftwareVersion),
    /// The pool had several versions.
    Several,
    /// A part of the period is not covered by any claim, or no version is known.
    Incomplete,
}

impl VersionClaim {
    /// Returns the claim with the period that it covers, where it was asked for at `asked_at` and
    /// received at `received_at`. The period is the shortest that both times allow.
    pub fn with_period(self, asked_at: Duration, received_at: Duration) -> PeriodClaim {
        let from = received_at.saturating_sub(Duration::from_millis(self.known_for_ms));
        let until = self.view_age_ms.map_or(Duration::ZERO, |age| {
            asked_at.saturating_sub(Duration::from_millis(age))
        });
        PeriodClaim {
            claim: self,
            from,
            until,
        }
    }
}

/// Returns what the claims show for the period from `from` to `until`.
pub fn find_sole_version(
    claims: &[PeriodClaim],
    from: Duration,
    until: Duration,
) -> VersionFinding {
    let possible = claims.iter().flat_map(|held| &held.claim.possible);
    let mut possible: Vec<&SoftwareVersion> = possible.collect();
    possible.sort();
    possible.dedup();
    match possible.as_slice() {
        [version] if is_covered(claims, from, until) => VersionFinding::Sole((*version).clone()),
        [] | [_] => VersionFinding::Incomplete,
        _ => VersionFinding::Several,
    }
}

/// Returns whether the periods of the claims join up from `from` to `until`.
fn is_covered(claims: &[PeriodClaim], from: Duration, until: Duration) -> bool {
    let mut periods: Vec<(Duration, Duration)> =
        claims.iter().map(|held| (held.from, held.until)).collect();
    periods.sort_unstable();
    let mut reached = from;
    for (start, end) in periods {
        if start <= reached {
            reached = reached.max(end);
        }
    }
    reached >= until && reached > from
}
