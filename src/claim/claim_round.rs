//! The caller's side of a claim.

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

/// How a round for a claim stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// More answers are needed.
    Pending,
    /// The claim is won; take it with [`ClaimRound::win`].
    Granted,
    /// Another ticket holds the id, or may yet come to hold it: join its holder.
    HeldByAnother(ClaimTicket),
    /// Several tickets split the seats and none can win: abandon the round.
    Contested,
    /// The attempt is barred.
    Barred {
        /// The highest barred attempt.
        through: AttemptNumber,
    },
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

/// What a [`ClaimRound`] asks: a grant.
#[derive(Debug)]
pub enum ClaimingKind {}

/// Asks the seats for a claim on one attempt of one id.
///
/// A round that is dropped leaves its grants behind; end it with
/// [`ClaimRound::win`] or [`ClaimRound::abandon`].
pub type ClaimRound = SeatRound<ClaimingKind>;

impl SeatRound<ClaimingKind> {
    /// Begins a round; the ticket must be of this process and its round fresh.
    pub fn begin(id: RequestId, ticket: ClaimTicket, view: Arc<RosterView>) -> Self {
        Self::open(id, ClaimOperation::Claim, ticket, view)
    }

    /// Tells how the round stands.
    pub fn status(&self) -> ClaimStatus {
        match self.tally.state() {
            TallyState::Open => ClaimStatus::Pending,
            TallyState::Reached => ClaimStatus::Granted,
            TallyState::OutOfReach => self.failure(),
        }
    }

    /// Takes the claim when it is granted; gives the round back otherwise.
    pub fn win(self) -> Result<HeldClaim<UnsentStage>, Box<Self>> {
        match self.tally.state() {
            TallyState::Reached => Ok(HeldClaim::new(self.tally.id, self.tally.ticket)),
            TallyState::Open | TallyState::OutOfReach => Err(Box::new(self)),
        }
    }

    /// Gives up: whatever seats granted, or will grant late, is released.
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
