//! Division of an account's quota among priority classes when demand exceeds it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TierRank;

/// Fraction of an equal split that each priority class is guaranteed regardless of demand
/// in more urgent classes. Lower tiers keep being served when an account requests several
/// times its quota, at the cost of rejecting a few of its most urgent requests.
const GUARANTEED_SHARE: f64 = 0.5;

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
/// A class with little demand gets all of it. The other classes are guaranteed an equal
/// minimum, and the remainder is assigned by tier. Within a class, each request has the
/// same probability of admission on every host, independent of its size.
pub(super) fn share_by_priority(available: f64, demands: &[ClassDemand]) -> Vec<f64> {
    let total: f64 = demands.iter().map(|demand| demand.per_second).sum();
    if total <= available {
        return vec![1.0; demands.len()];
    }
    let guaranteed = available.max(0.0) * GUARANTEED_SHARE / demands.len() as f64;
    let mut granted: Vec<f64> = demands
        .iter()
        .map(|demand| demand.per_second.min(guaranteed))
        .collect();
    let mut remainder = available - granted.iter().sum::<f64>();
    for (share, demand) in granted.iter_mut().zip(demands) {
        let extra = (demand.per_second - *share).min(remainder).max(0.0);
        *share += extra;
        remainder -= extra;
    }
    let shares = granted.iter().zip(demands);
    shares
        .map(|(share, demand)| share / demand.per_second.max(f64::MIN_POSITIVE))
        .collect()
}
