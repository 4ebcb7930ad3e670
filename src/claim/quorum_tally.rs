//! Counts the seats' answers to one call, over one roster or two.

use std::sync::Arc;

use super::ClaimCall;
use super::ClaimOperation;
use super::ClaimReply;
use super::ClaimTicket;
use super::SeatAnswer;
use crate::ids::AttemptNumber;
use crate::ids::HostName;
use crate::ids::RequestId;
use crate::ids::UnixMillis;
use crate::roster::RosterTag;
use crate::roster::RosterView;
use crate::roster::majority;
use crate::sorted::SortedMap;

/// What became of one seat.
#[derive(Clone, Debug)]
enum SeatState {
    /// No answer came yet.
    Waiting,
    /// The seat could not be reached.
    Failed,
    /// The seat answered.
    Answered(SeatAnswer),
}

/// How a tally stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TallyState {
    /// Neither reached nor out of reach.
    Open,
    /// The needed majorities said yes.
    Reached,
    /// Too many seats said no or failed.
    OutOfReach,
}

/// One call to the seats and their answers.
#[derive(Clone, Debug)]
pub(super) struct QuorumTally {
    pub(super) id: RequestId,
    pub(super) ticket: ClaimTicket,
    operation: ClaimOperation,
    view: Arc<RosterView>,
    needs_former: bool,
    seats: SortedMap<HostName, SeatState>,
    unsent: Vec<HostName>,
}

impl QuorumTally {
    pub(super) fn new(
        id: RequestId,
        operation: ClaimOperation,
        ticket: ClaimTicket,
        view: Arc<RosterView>,
    ) -> Self {
        let mut tally = Self {
            id,
            ticket,
            operation,
            view: view.clone(),
            needs_former: false,
            seats: SortedMap::new(),
            unsent: Vec::new(),
        };
        tally.renew(view);
        tally
    }

    /// Starts again under another roster; answers under the old one count no more.
    pub(super) fn renew(&mut self, view: Arc<RosterView>) {
        self.needs_former = !view.former.is_empty() && self.id.time() <= view.former_until;
        self.view = view;
        self.seats = SortedMap::new();
        self.unsent = Vec::new();
        self.add_seats(self.view.clone().seats.as_slice());
        if self.needs_former {
            self.add_seats(self.view.clone().former.as_slice());
        }
    }

    /// Returns the calls that were not handed out yet.
    pub(super) fn calls(&mut self) -> Vec<(HostName, ClaimCall)> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.into_iter().map(|host| (host, self.call())).collect()
    }

    /// Hands out the calls again to the seats whose answer may change.
    pub(super) fn resend(&mut self) {
        let unsure = self.seats.iter().filter(|(_, state)| !self.says_yes(state));
        self.unsent = unsure.map(|(host, _)| host.clone()).collect();
        for host in &self.unsent {
            self.seats.insert(host.clone(), SeatState::Waiting);
        }
    }

    /// Hands out the calls again to the seats that gave no answer.
    pub(super) fn resend_unanswered(&mut self) {
        for (host, state) in self.seats.iter_mut() {
            if matches!(state, SeatState::Waiting | SeatState::Failed) {
                *state = SeatState::Waiting;
                self.unsent.push(host.clone());
            }
        }
    }

    pub(super) fn fail(&mut self, host: &HostName) {
        if let Some(state @ SeatState::Waiting) = self.seats.get_mut(host) {
            *state = SeatState::Failed;
        }
    }

    pub(super) fn accept(&mut self, host: &HostName, reply: ClaimReply) {
        if !self.is_mine(&reply) {
            return;
        }
        let Some(state) = self.seats.get(host) else {
            return;
        };
        // A yes stands for good; a late no that was said before it changes nothing.
        if self.says_yes(state) {
            return;
        }
        self.note_former(&reply.answer);
        self.seats
            .insert(host.clone(), SeatState::Answered(reply.answer));
    }

    pub(super) fn state(&self) -> TallyState {
        let current = self.reach(&self.view.seats);
        if !self.needs_former {
            return current;
        }
        match (current, self.reach(&self.view.former)) {
            (TallyState::Reached, TallyState::Reached) => TallyState::Reached,
            (TallyState::OutOfReach, _) | (_, TallyState::OutOfReach) => TallyState::OutOfReach,
            _ => TallyState::Open,
        }
    }

    /// Returns the ticket that most seats name as holder, and whether it can hold a
    /// majority of the roster as far as the answers show.
    pub(super) fn holder(&self) -> Option<(ClaimTicket, bool)> {
        let held: Vec<&ClaimTicket> = self.answers().filter_map(holder_in).collect();
        let count = |ticket: &ClaimTicket| held.iter().filter(|other| **other == ticket).count();
        let holder = held.iter().copied().max_by_key(|ticket| count(ticket))?;
        let decided = self.answers().filter(|answer| is_decided(answer)).count();
        let open = self.seats.len() - decided;
        let enough = count(holder) + open >= majority(self.view.seats.len());
        Some((holder.clone(), enough))
    }

    pub(super) fn barred_through(&self) -> Option<AttemptNumber> {
        self.answers()
            .filter_map(|answer| match answer {
                SeatAnswer::Barred { through, .. } if *through >= self.ticket.attempt => {
                    Some(*through)
                }
                _ => None,
            })
            .max()
    }

    pub(super) fn newer_roster(&self) -> Option<RosterTag> {
        self.answers()
            .filter_map(|answer| match answer {
                SeatAnswer::RosterOld { newest } => Some(*newest),
                _ => None,
            })
            .max()
    }

    pub(super) fn out_of_window(&self) -> Option<UnixMillis> {
        self.answers().find_map(|answer| match answer {
            SeatAnswer::OutOfWindow { now } => Some(*now),
            _ => None,
        })
    }

    fn add_seats(&mut self, hosts: &[HostName]) {
        for host in hosts {
            if !self.seats.contains_key(host) {
                self.seats.insert(host.clone(), SeatState::Waiting);
                self.unsent.push(host.clone());
            }
        }
    }

    fn call(&self) -> ClaimCall {
        ClaimCall {
            id: self.id,
            roster: self.view.tag,
            operation: self.operation,
            ticket: self.ticket.clone(),
        }
    }

    fn is_mine(&self, reply: &ClaimReply) -> bool {
        reply.id == self.id
            && reply.roster == self.view.tag
            && reply.operation == self.operation
            && reply.incarnation == self.ticket.incarnation
            && reply.round == self.ticket.round
    }

    /// Widens the quorum once any seat of it says that the id is older than the
    /// roster. Guards against a caller that learned the activation earlier than
    /// the seat, and would take the new roster alone for an id that the former
    /// roster may have granted.
    fn note_former(&mut self, answer: &SeatAnswer) {
        let asked = matches!(
            answer,
            SeatAnswer::Granted {
                needs_former: true,
                ..
            } | SeatAnswer::Barred {
                needs_former: true,
                ..
            }
        );
        if asked && !self.needs_former {
            self.needs_former = true;
            self.add_seats(self.view.clone().former.as_slice());
        }
    }

    fn reach(&self, hosts: &[HostName]) -> TallyState {
        let needed = majority(hosts.len());
        let states = || hosts.iter().filter_map(|host| self.seats.get(host));
        let yes = states().filter(|state| self.says_yes(state)).count();
        let waiting = states()
            .filter(|state| matches!(state, SeatState::Waiting))
            .count();
        if yes >= needed {
            TallyState::Reached
        } else if yes + waiting < needed {
            TallyState::OutOfReach
        } else {
            TallyState::Open
        }
    }

    fn says_yes(&self, state: &SeatState) -> bool {
        match (state, self.operation) {
            (SeatState::Answered(SeatAnswer::Granted { .. }), ClaimOperation::Claim) => true,
            (
                SeatState::Answered(SeatAnswer::Barred { through, .. }),
                ClaimOperation::Release | ClaimOperation::Bar,
            ) => *through >= self.ticket.attempt,
            _ => false,
        }
    }

    fn answers(&self) -> impl Iterator<Item = &SeatAnswer> {
        self.seats.values().filter_map(|state| match state {
            SeatState::Answered(answer) => Some(answer),
            _ => None,
        })
    }
}

const fn holder_in(answer: &SeatAnswer) -> Option<&ClaimTicket> {
    match answer {
        SeatAnswer::Held { holder } => Some(holder),
        _ => None,
    }
}

/// Tells whether the answer shows what the seat's register holds.
const fn is_decided(answer: &SeatAnswer) -> bool {
    matches!(
        answer,
        SeatAnswer::Granted { .. } | SeatAnswer::Barred { .. } | SeatAnswer::Held { .. }
    )
}
