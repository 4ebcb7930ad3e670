//! Division of an account's quota among priority classes when demand exceeds it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TierRank;

/// Class of an account's requests that is admitted separately within its quota. Classes are
/// ordered by urgency.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PriorityClass {
    /// Tier of its routes; 0 is the most urgent.
    pub tier: TierRank,
    /// Whether its requests state their token usage. Requests that do not are charged a
    /// small fixed amount.
    pub metered: bool,
}

/// Demand of an account in one priority class.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassDemand {
    /// The priority class.
    pub priority_class: PriorityClass,
    /// Requested tokens per second, including rejected requests.
    pub per_second: f64,
}

/// Returns the fraction of its demand that each class may have, 0 to 1, out of `available`
/// tokens per second for all of them. `demands` is sorted by priority class.
///
/// This applies when an account requests several times its quota. Admission in order of
/// arrival would reject its urgent and its casual requests equally often, and comparing
/// each request with the remaining quota would reject large requests far more often than
/// small ones.
///
/// The classes are served by urgency: a class is rejected only once all less urgent ones are. Within a
/// class, each request has the same probability of admission on every host, independent of its size.
pub(super) fn share_by_priority(available: f64, demands: &[ClassDemand]) -> Vec<f64> {
    let mut left = available.max(0.0);
    let shares = demands.iter().map(|demand| {
        let granted = demand.per_second.min(left);
        left -= granted;
        match granted < demand.per_second {
            true => granted / demand.per_second,
            false => 1.0,
        }
    });
    shares.collect()
}
