//! The claimant's side of claiming an attempt.

use std::sync::Arc;

use super::BarRound;
use super::ClaimOperation;
use super::ClaimTicket;
use super::HeldClaim;
use super::SeatRound;
use super::UnsentStage;
use super::quorum_tally::TallyState;
use crate::ids::AttemptNumber;
use crate::ids::RequestId;
use crate::ids::UnixMillis;
use crate::roster::RosterTag;
use crate::roster::RosterView;

/// The state of a claim round.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// More answers are needed.
    Pending,
    /// The claim is won; take it with [`ClaimRound::win`].
    Granted,
    /// Another ticket holds the id or may still obtain it: join its holder.
    HeldByAnother(ClaimTicket),
    /// Several tickets split the seats and none can reach a majority: abandon the
    /// round.
    Contested,
    /// The attempt is barred.
    Barred {
        /// The highest barred attempt.
        through: AttemptNumber,
    },
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

/// Marks a [`SeatRound`] that requests a grant.
#[derive(Debug)]
pub enum ClaimingKind {}

/// Requests a claim on one attempt of one id from the seats.
///
/// Dropping a round leaves its grants at the seats; end it with [`ClaimRound::win`] or
/// [`ClaimRound::abandon`].
pub type ClaimRound = SeatRound<ClaimingKind>;

impl SeatRound<ClaimingKind> {
    /// Starts a round; the ticket must belong to this process and its round number must
    /// be unused.
    pub fn begin(id: RequestId, ticket: ClaimTicket, view: Arc<RosterView>) -> Self {
        Self::open(id, ClaimOperation::Claim, ticket, view)
    }

    /// Returns the state of the round.
    pub fn status(&self) -> ClaimStatus {
        match self.tally.state() {
            TallyState::Open => ClaimStatus::Pending,
            TallyState::Reached => ClaimStatus::Granted,
            TallyState::Failed => self.failure(),
        }
    }

    /// Returns the claim if it was granted, and the round itself otherwise.
    pub fn win(self) -> Result<HeldClaim<UnsentStage>, Box<Self>> {
        match self.tally.state() {
            TallyState::Reached => Ok(HeldClaim::new(self.tally.id, self.tally.ticket)),
            TallyState::Open | TallyState::Failed => Err(Box::new(self)),
        }
    }

    /// Ends the round without a claim: releases every grant that seats made or will
    /// still make for it.
    pub fn abandon(self, view: Arc<RosterView>) -> BarRound {
        BarRound::release(self.tally.id, self.tally.ticket, view)
    }

    fn failure(&self) -> ClaimStatus {
        if let Some(newest) = self.tally.newer_roster() {
            return ClaimStatus::RosterOld { newest };
        }
        if let Some((holder, enough)) = self.tally.holder() {
            return match enough {
                true => ClaimStatus::HeldByAnother(holder),
                false => ClaimStatus::Contested,
            };
        }
        if let Some(through) = self.tally.barred_through() {
            return ClaimStatus::Barred { through };
        }
        match self.tally.out_of_window() {
            Some(now) => ClaimStatus::OutOfWindow { now },
            None => ClaimStatus::NoMajority,
        }
    }
}
