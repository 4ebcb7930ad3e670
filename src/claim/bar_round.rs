//! The caller's side of a release or a bar, and the proof of `not-run`.

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

/// How a round that releases or bars stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BarStatus {
    /// More answers are needed.
    Pending,
    /// The attempt was not dispatched and never will be; see [`BarRound::proof`].
    Barred,
    /// Another ticket holds the id: whether it ran is for its holder to say.
    HeldByAnother(ClaimTicket),
    /// Seats know a newer roster: learn it and [`SeatRound::renew`].
    RosterOld {
        /// The newest roster that a seat named.
        newest: RosterTag,
    },
    /// The id is older than the window or lies in the future.
    OutOfWindow {
        /// A seat's time.
        now: UnixMillis,
    },
    /// Too many seats can't be reached or have no voice for the id.
    NoMajority,
}

/// Shows that an attempt was not dispatched and never will be.
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

    /// Returns the attempt; the attempts below it did not run either.
    pub const fn attempt(self) -> AttemptNumber {
        self.attempt
    }
}

/// What a [`BarRound`] asks: a release or a bar.
#[derive(Debug)]
pub enum BarringKind {}

/// Releases a ticket's grants or bars an attempt, at a majority.
pub type BarRound = SeatRound<BarringKind>;

impl SeatRound<BarringKind> {
    /// Begins to bar the ticket's attempt; the ticket's round must be fresh.
    pub fn bar(id: RequestId, ticket: ClaimTicket, view: Arc<RosterView>) -> Self {
        Self::open(id, ClaimOperation::Bar, ticket, view)
    }

    pub(super) fn release(id: RequestId, ticket: ClaimTicket, view: Arc<RosterView>) -> Self {
        Self::open(id, ClaimOperation::Release, ticket, view)
    }

    /// Tells how the round stands.
    pub fn status(&self) -> BarStatus {
        match self.tally.state() {
            TallyState::Open => BarStatus::Pending,
            TallyState::Reached => BarStatus::Barred,
            TallyState::OutOfReach => self.failure(),
        }
    }

    /// Returns the proof of `not-run` once a majority barred the attempt.
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
