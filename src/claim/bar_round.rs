//! The claimant's side of releasing a claim or barring an attempt, and the proof that a
//! request did not run.

use std::sync::Arc;

use super::ClaimOperation;
use super::ClaimTicket;
use super::SeatRound;
use super::quorum_tally::TallyState;
use crate::ids::AttemptNumber;
use crate::ids::RequestId;
use crate::ids::UnixMillis;
use crate::roster::RosterTag;
use crate::roster::RosterView;

/// The state of a round that releases a claim or bars an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BarStatus {
    /// More answers are needed.
    Pending,
    /// The attempt was not dispatched and never will be; see [`BarRound::proof`].
    Barred,
    /// Another ticket holds the id; only its holder knows whether the request ran.
    HeldByAnother(ClaimTicket),
    /// Some seats use a newer roster: learn it, then call [`SeatRound::renew`].
    RosterOld {
        /// The newest roster reported by a seat.
        newest: RosterTag,
    },
    /// The id is older than the claim window or lies in the future.
    OutOfWindow {
        /// A seat's clock reading.
        now: UnixMillis,
    },
    /// Too many seats are unreachable or may not vote on the id.
    NoMajority,
}

/// Proof that an attempt was not dispatched and never will be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRunProof {
    id: RequestId,
    attempt: AttemptNumber,
}

impl NotRunProof {
    /// Returns the request's id.
    pub const fn id(self) -> RequestId {
        self.id
    }

    /// Returns the attempt; lower attempts did not run either.
    pub const fn attempt(self) -> AttemptNumber {
        self.attempt
    }
}

/// Marks a [`SeatRound`] that releases a claim or bars an attempt.
#[derive(Debug)]
pub enum BarringKind {}

/// Releases a ticket's grants, or bars an attempt, at a majority of the seats.
pub type BarRound = SeatRound<BarringKind>;

impl SeatRound<BarringKind> {
    /// Starts to bar the ticket's attempt; the ticket's round number must be unused.
    pub fn bar(id: RequestId, ticket: ClaimTicket, view: Arc<RosterView>) -> Self {
        Self::open(id, ClaimOperation::Bar, ticket, view)
    }

    pub(super) fn release(id: RequestId, ticket: ClaimTicket, view: Arc<RosterView>) -> Self {
        Self::open(id, ClaimOperation::Release, ticket, view)
    }

    /// Returns the state of the round.
    pub fn status(&self) -> BarStatus {
        match self.tally.state() {
            TallyState::Open => BarStatus::Pending,
            TallyState::Reached => BarStatus::Barred,
            TallyState::Failed => self.failure(),
        }
    }

    /// Returns the proof of `not-run` once a majority has barred the attempt.
    pub fn proof(&self) -> Option<NotRunProof> {
        let id = self.tally.id;
        let attempt = self.tally.ticket.attempt;
        let reached = self.tally.state() == TallyState::Reached;
        reached.then_some(NotRunProof { id, attempt })
    }

    fn failure(&self) -> BarStatus {
        if let Some(newest) = self.tally.newer_roster() {
            return BarStatus::RosterOld { newest };
        }
        if let Some((holder, _)) = self.tally.holder() {
            return BarStatus::HeldByAnother(holder);
        }
        match self.tally.out_of_window() {
            Some(now) => BarStatus::OutOfWindow { now },
            None => BarStatus::NoMajority,
        }
    }
}
