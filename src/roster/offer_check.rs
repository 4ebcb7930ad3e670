//! Checks whether a document's roster may follow those that a process knows.

use super::RosterDecision;
use super::RosterPlan;
use super::RosterRefusal;
use super::known_rosters::KnownRosters;
use super::quorum_check::majority;
use crate::ids::RosterNumber;

/// Checks the roster of a document; `voting` states whether this process may vote.
///
/// # Errors
///
/// The reason to refuse it, if the roster can't follow the one that is active here.
pub(super) fn check_offer(
    rosters: &KnownRosters,
    plan: &RosterPlan,
    voting: bool,
) -> Result<RosterDecision, RosterRefusal> {
    let seats = plan.seats.len();
    if seats == 0 {
        return Err(RosterRefusal::NoSeats);
    }
    let tag = Some(plan.tag);
    if rosters.active_tag() == tag || rosters.adopted_tag() == tag {
        return Ok(RosterDecision::Unchanged);
    }
    let continuing = plan.continuing();
    if plan.former.is_some() && continuing < majority(seats) {
        return Err(RosterRefusal::TooManyNewSeats { continuing, seats });
    }
    match &rosters.active {
        Some(active) => check_successor(rosters, active.tag.number, plan, voting),
        None => check_first(rosters, plan),
    }
}

fn check_first(rosters: &KnownRosters, plan: &RosterPlan) -> Result<RosterDecision, RosterRefusal> {
    let lowest = rosters.offered.as_ref().map_or(0, |known| known.tag.number);
    check_number(plan, lowest)?;
    Ok(RosterDecision::Accepted)
}

fn check_successor(
    rosters: &KnownRosters,
    active: RosterNumber,
    plan: &RosterPlan,
    voting: bool,
) -> Result<RosterDecision, RosterRefusal> {
    let binding = rosters.binding_tag().map_or(0, |tag| tag.number);
    check_number(plan, binding + 1)?;
    let Some(former) = plan.former_tag() else {
        // A process that may not vote accepts the operators' statement: it contradicts
        // no voting seat, and the roster is bootstrapped only if none of its seats
        // votes.
        return match voting {
            true => Err(RosterRefusal::AlreadyBootstrapped { active }),
            false => Ok(RosterDecision::Accepted),
        };
    };
    if Some(former) == rosters.adopted_tag() {
        return Ok(RosterDecision::Accepted);
    }
    if Some(former) == rosters.active_tag() {
        return match rosters.adopted_tag() {
            None => Ok(RosterDecision::Accepted),
            Some(tag) => Err(RosterRefusal::OtherSuccessor {
                adopted: tag.number,
            }),
        };
    }
    let former = former.number;
    match former > active {
        true => Ok(RosterDecision::Waiting),
        false => Err(RosterRefusal::NotSuccessor { former, active }),
    }
}

const fn check_number(plan: &RosterPlan, lowest: RosterNumber) -> Result<(), RosterRefusal> {
    let offered = plan.tag.number;
    match offered < lowest {
        true => Err(RosterRefusal::NotNewer { offered, lowest }),
        false => Ok(()),
    }
}
