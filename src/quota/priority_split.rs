//! How an account's allowance is shared out when it asks for more.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TierRank;

/// The share of an even part that every kind of an account's work keeps, however much
/// more urgent work it asks for. It keeps work of lower tiers alive under an account
/// that asks for several times its allowance, at the price of a few of its most
/// urgent requests.
const KEPT_SHARE: f64 = 0.5;

/// A kind of an account's work, as far as its allowance tells them apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PriorityClass {
    /// The tier of its routes.
    pub tier: TierRank,
    /// Whether its requests tell the tokens that they use. Those that don't count a
    /// small fixed amount.
    pub metered: bool,
}

/// How much an account asks of one kind, in tokens a second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassDemand {
    /// The kind.
    pub priority_class: PriorityClass,
    /// Tokens a second, over all tries.
    pub per_second: f64,
}

/// Returns the part of its demand that each lane may have, 0 to 1, where `available`
/// is there for all. `demands` are sorted by lane.
///
/// Load it answers: an account that asks for several times its allowance. In order of
/// arrival its detailed answers are refused as often as its small talk, and where what
/// is left is compared with what a request needs, large requests are refused far
/// more often than small ones.
///
/// A kind that asks for little gets it all; what the others keep is even; the rest
/// goes by tier. Within a kind each request has the same chance, at each host,
/// whatever its size.
pub(super) fn share_by_priority(available: f64, demands: &[ClassDemand]) -> Vec<f64> {
    let total: f64 = demands.iter().map(|demand| demand.per_second).sum();
    if total <= available {
        return vec![1.0; demands.len()];
    }
    let kept = available.max(0.0) * KEPT_SHARE / demands.len() as f64;
    let mut parts: Vec<f64> = demands
        .iter()
        .map(|demand| demand.per_second.min(kept))
        .collect();
    let mut rest = available - parts.iter().sum::<f64>();
    for (part, demand) in parts.iter_mut().zip(demands) {
        let more = (demand.per_second - *part).min(rest).max(0.0);
        *part += more;
        rest -= more;
    }
    let shares = parts.iter().zip(demands);
    shares
        .map(|(part, demand)| part / demand.per_second.max(f64::MIN_POSITIVE))
        .collect()
}
