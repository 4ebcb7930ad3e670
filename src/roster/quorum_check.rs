//! What digests prove together: an election, a way to join, a deserted roster.

use super::RosterDigest;
use super::RosterPlan;
use super::SeatIncarnation;
use super::peer_table::PeerTable;
use crate::claim::ClaimRules;
use crate::ids::HostName;
use crate::sorted::SortedMap;

/// Digests with their senders.
type SentDigest<'a> = (&'a HostName, &'a RosterDigest);

/// Returns how many of `seats` are a majority.
pub(crate) const fn majority(seats: usize) -> usize {
    seats / 2 + 1
}

/// Tells whether a majority of the former roster took up `plan`.
///
/// Each vote is of a seat that has a voice and knew the former roster active.
/// Guards against a skipped roster: seats that jump over one which became active
/// elsewhere would elect beside it.
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
        let took_up = digest.voting && digest.adopted == Some(plan.tag);
        took_up && (digest.active == Some(*former) || !rules.knew_former_active)
    };
    let votes: Vec<SentDigest> = digests_of(seats, peers, own)
        .filter(|(_, digest)| is_vote(digest))
        .collect();
    let counted = match rules.crash_vector {
        true => agreeing(&votes),
        false => votes.len(),
    };
    counted >= majority(seats.len())
}

/// Returns the lives that a majority of the other seats told to this voiceless
/// process, when they noted its life and none of them took up a newer roster.
///
/// Guards against a restarted seat that a stale document sends back to an old
/// roster, while its earlier life voted for a newer one. Where any seat already
/// took up a newer roster, the process waits and joins that one.
pub(super) fn incarnations_to_join(
    plan: &RosterPlan,
    peers: &PeerTable,
    rules: ClaimRules,
) -> Option<Vec<SortedMap<HostName, SeatIncarnation>>> {
    let others = plan.seats.iter().filter(|seat| **seat != peers.host);
    let told: Vec<SentDigest> = others
        .filter_map(|seat| Some((seat, peers.get(seat)?)))
        .filter(|(_, digest)| digest.voting && digest.active == Some(plan.tag))
        .filter(|(_, digest)| digest.incarnations.get(&peers.host) == Some(&peers.incarnation))
        .collect();
    let needed = majority(plan.seats.len()).min(plan.seats.len() - 1);
    let is_clean = !rules.join_waits || told.iter().all(|(_, digest)| digest.adopted.is_none());
    let joins = needed > 0 && is_clean && agreeing(&told) >= needed;
    joins.then(|| {
        told.iter()
            .map(|(_, told)| told.incarnations.clone())
            .collect()
    })
}

/// Tells whether all seats of `plan` are voiceless at once and know nothing newer.
///
/// Each digest must name exactly the lives of all the others, so they were all
/// running, and voiceless, at one moment.
pub(super) fn is_deserted(plan: &RosterPlan, peers: &PeerTable, own: &RosterDigest) -> bool {
    let silent: Vec<SentDigest> = digests_of(&plan.seats, peers, own)
        .filter(|(_, digest)| !digest.voting && digest.adopted == Some(plan.tag))
        .collect();
    let knows_all = |incarnations: &SortedMap<HostName, SeatIncarnation>| {
        silent
            .iter()
            .all(|(host, digest)| incarnations.get(*host) == Some(&digest.incarnation))
    };
    silent.len() == plan.seats.len()
        && silent
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

/// Returns how many of `digests` are of a life that no other one knows to be over.
///
/// Guards against counting a vote that its sender forgot: a seat votes, restarts
/// with empty memory, regains a voice from a majority that noted its new life, and
/// speaks for the old roster while the late vote completes a majority for the new.
/// A member of both majorities then names the new life, and the vote is left out.
fn agreeing(digests: &[SentDigest]) -> usize {
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
