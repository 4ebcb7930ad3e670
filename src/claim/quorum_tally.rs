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

/// The state of the call to one seat.
#[derive(Clone, Debug)]
enum SeatState {
    /// No answer yet.
    Waiting,
    /// The seat could not be reached.
    Unreachable,
    /// The seat answered.
    Answered(SeatAnswer),
}

/// The result of a tally.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TallyState {
    /// More answers are needed.
    Open,
    /// Every required majority answered positively.
    Reached,
    /// Too many seats answered negatively or were unreachable.
    Failed,
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

    /// Restarts under another roster; answers under the old one no longer count.
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

    /// Returns the calls that have not been handed out yet.
    pub(super) fn calls(&mut self) -> Vec<(HostName, ClaimCall)> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent.into_iter().map(|host| (host, self.call())).collect()
    }

    /// Hands out the calls again for seats whose answer may still change.
    pub(super) fn resend(&mut self) {
        let unsure = self
            .seats
            .iter()
            .filter(|(_, state)| !self.is_positive(state));
        self.unsent = unsure.map(|(host, _)| host.clone()).collect();
        for host in &self.unsent {
            self.seats.insert(host.clone(), SeatState::Waiting);
        }
    }

    /// Hands out the calls again for seats that did not answer.
    pub(super) fn resend_unanswered(&mut self) {
        for (host, state) in self.seats.iter_mut() {
            if matches!(state, SeatState::Waiting | SeatState::Unreachable) {
                *state = SeatState::Waiting;
                self.unsent.push(host.clone());
            }
        }
    }

    pub(super) fn fail(&mut self, host: &HostName) {
        if let Some(state @ SeatState::Waiting) = self.seats.get_mut(host) {
            *state = SeatState::Unreachable;
        }
    }

    pub(super) fn accept(&mut self, host: &HostName, reply: ClaimReply) {
        if !self.matches_call(&reply) {
            return;
        }
        let Some(state) = self.seats.get(host) else {
            return;
        };
        // A positive answer is final; a negative one that was sent earlier and arrives
        // later is ignored.
        if self.is_positive(state) {
            return;
        }
        self.include_former(&reply.answer);
        self.seats
            .insert(host.clone(), SeatState::Answered(reply.answer));
    }

    pub(super) fn state(&self) -> TallyState {
        let current = self.majority_state(&self.view.seats);
        if !self.needs_former {
            return current;
        }
        match (current, self.majority_state(&self.view.former)) {
            (TallyState::Reached, TallyState::Reached) => TallyState::Reached,
            (TallyState::Failed, _) | (_, TallyState::Failed) => TallyState::Failed,
            _ => TallyState::Open,
        }
    }

    /// Returns the ticket named as holder by most seats, and whether it can still reach
    /// a majority of the roster according to the answers so far.
    pub(super) fn holder(&self) -> Option<(ClaimTicket, bool)> {
        let held: Vec<&ClaimTicket> = self.answers().filter_map(holder_in).collect();
        let count = |ticket: &ClaimTicket| held.iter().filter(|other| **other == ticket).count();
        let holder = held.iter().copied().max_by_key(|ticket| count(ticket))?;
        let decided = self
            .answers()
            .filter(|answer| shows_register(answer))
            .count();
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

    fn matches_call(&self, reply: &ClaimReply) -> bool {
        reply.id == self.id
            && reply.roster == self.view.tag
            && reply.operation == self.operation
            && reply.incarnation == self.ticket.incarnation
            && reply.round == self.ticket.round
    }

    /// Adds the former roster to the quorum once any seat reports that the id is older
    /// than the roster. The claimant may learn of the activation earlier than that
    /// seat; without this check it would ask the new roster alone about an id that the
    /// former roster may have granted.
    fn include_former(&mut self, answer: &SeatAnswer) {
        let needed = matches!(
            answer,
            SeatAnswer::Granted {
                needs_former: true,
                ..
            } | SeatAnswer::Barred {
                needs_former: true,
                ..
            }
        );
        if needed && !self.needs_former {
            self.needs_former = true;
            self.add_seats(self.view.clone().former.as_slice());
        }
    }

    fn majority_state(&self, hosts: &[HostName]) -> TallyState {
        let needed = majority(hosts.len());
        let states = || hosts.iter().filter_map(|host| self.seats.get(host));
        let yes = states().filter(|state| self.is_positive(state)).count();
        let waiting = states()
            .filter(|state| matches!(state, SeatState::Waiting))
            .count();
        if yes >= needed {
            TallyState::Reached
        } else if yes + waiting < needed {
            TallyState::Failed
        } else {
            TallyState::Open
        }
    }

    fn is_positive(&self, state: &SeatState) -> bool {
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

/// Returns whether the answer reveals the content of the seat's register.
const fn shows_register(answer: &SeatAnswer) -> bool {
    matches!(
        answer,
        SeatAnswer::Granted { .. } | SeatAnswer::Barred { .. } | SeatAnswer::Held { .. }
    )
}
