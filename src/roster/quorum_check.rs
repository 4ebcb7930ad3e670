//! Conclusions from several digests: elections, rejoining, and rosters without a voting
//! seat.

use super::RosterDigest;
use super::RosterPlan;
use super::SeatIncarnation;
use super::peer_table::PeerTable;
use crate::claim::ClaimRules;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// A digest with its sender.
type SentDigest<'a> = (&'a HostName, &'a RosterDigest);

/// Returns the size of a majority of `seats`.
pub(crate) const fn majority(seats: usize) -> usize {
    seats / 2 + 1
}

/// Returns whether a majority of the former roster adopted `plan`.
///
/// Only seats that may vote and knew the former roster active are counted. Otherwise
/// seats that skip a roster which became active elsewhere would elect another one
/// beside it.
pub(super) fn is_elected(
    plan: &RosterPlan,
    peers: &PeerTable,
    own: &RosterDigest,
    rules: ClaimRules,
) -> bool {
    let Some((former, seats)) = &plan.former else {
        return false;
    };
    let is_vote = |digest: &RosterDigest| {
        let adopted = digest.voting && digest.adopted == Some(plan.tag);
        adopted && (digest.active == Some(*former) || !rules.knew_former_active)
    };
    let votes: Vec<SentDigest> = digests_of(seats, peers, own)
        .filter(|(_, digest)| is_vote(digest))
        .collect();
    let counted = match rules.crash_vector {
        true => count_agreeing(&votes),
        false => votes.len(),
    };
    counted >= majority(seats.len())
}

/// Returns the incarnations reported to this non-voting process by a majority of the
/// other seats, if they have recorded its own incarnation and none of them adopted a
/// newer roster.
///
/// A stale document may send a restarted seat back to an old roster although its
/// earlier incarnation voted for a newer one. If any seat has adopted a newer roster,
/// the process waits and joins that one.
pub(super) fn incarnations_to_join(
    plan: &RosterPlan,
    peers: &PeerTable,
    rules: ClaimRules,
) -> Option<Vec<SortedMap<HostName, SeatIncarnation>>> {
    let others = plan.seats.iter().filter(|seat| **seat != peers.host);
    let reported: Vec<SentDigest> = others
        .filter_map(|seat| Some((seat, peers.get(seat)?)))
        .filter(|(_, digest)| digest.voting && digest.active == Some(plan.tag))
        .filter(|(_, digest)| digest.incarnations.get(&peers.host) == Some(&peers.incarnation))
        .collect();
    let needed = majority(plan.seats.len()).min(plan.seats.len() - 1);
    let none_adopted =
        !rules.join_waits || reported.iter().all(|(_, digest)| digest.adopted.is_none());
    let joins = needed > 0 && none_adopted && count_agreeing(&reported) >= needed;
    joins.then(|| {
        reported
            .iter()
            .map(|(_, reported)| reported.incarnations.clone())
            .collect()
    })
}

/// Returns whether no seat of `plan` votes at one moment and none knows a newer roster.
///
/// Each digest must name exactly the incarnations of all others, which shows that all
/// seats ran, without a vote, at the same time.
pub(super) fn none_voting(plan: &RosterPlan, peers: &PeerTable, own: &RosterDigest) -> bool {
    let non_voting: Vec<SentDigest> = digests_of(&plan.seats, peers, own)
        .filter(|(_, digest)| !digest.voting && digest.adopted == Some(plan.tag))
        .collect();
    let knows_all = |incarnations: &SortedMap<HostName, SeatIncarnation>| {
        non_voting
            .iter()
            .all(|(host, digest)| incarnations.get(*host) == Some(&digest.incarnation))
    };
    non_voting.len() == plan.seats.len()
        && non_voting
            .iter()
            .all(|(_, digest)| knows_all(&digest.incarnations))
}

fn digests_of<'a>(
    seats: &'a [HostName],
    peers: &'a PeerTable,
    own: &'a RosterDigest,
) -> impl Iterator<Item = SentDigest<'a>> {
    seats
        .iter()
        .filter_map(move |seat| match *seat == peers.host {
            true => Some((seat, own)),
            false => Some((seat, peers.get(seat)?)),
        })
}

/// Returns how many of `digests` are from an incarnation that no other digest knows to
/// have ended.
///
/// This excludes votes that their sender has forgotten: a seat votes, restarts with
/// empty memory, may vote again after a majority recorded its new incarnation, and
/// answers for the old roster while the late vote completes a majority for the new one.
/// A member of both majorities then names the new incarnation, and the late vote is not
/// counted.
fn count_agreeing(digests: &[SentDigest]) -> usize {
    let is_over = |host: &HostName, digest: &RosterDigest| {
        digests.iter().any(|(_, other)| {
            let known = other.incarnations.get(host);
            known.is_some_and(|incarnation| *incarnation > digest.incarnation)
        })
    };
    digests
        .iter()
        .filter(|(host, digest)| !is_over(host, digest))
        .count()
}
