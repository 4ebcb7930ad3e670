//! What a round that claims and one that releases or bars have in common.

use std::marker::PhantomData;
use std::sync::Arc;

use super::ClaimCall;
use super::ClaimOperation;
use super::ClaimReply;
use super::ClaimTicket;
use super::quorum_tally::QuorumTally;
use super::quorum_tally::TallyState;
use crate::ids::HostName;
use crate::ids::RequestId;
use crate::roster::RosterTag;
use crate::roster::RosterView;

/// One round of calls to the seats; `A` tells what is asked of them.
///
/// See [`ClaimRound`](super::ClaimRound) and [`BarRound`](super::BarRound). Messages
/// are values: send what [`SeatRound::calls`] returns, hand each reply to
/// [`SeatRound::accept`] and each failure to [`SeatRound::fail`], until the round is
/// no longer pending.
#[derive(Debug)]
pub struct SeatRound<A> {
    pub(super) tally: QuorumTally,
    asked: PhantomData<A>,
}

impl<A> SeatRound<A> {
    pub(super) fn open(
        id: RequestId,
        operation: ClaimOperation,
        ticket: ClaimTicket,
        view: Arc<RosterView>,
    ) -> Self {
        Self {
            tally: QuorumTally::new(id, operation, ticket, view),
            asked: PhantomData,
        }
    }

    /// Returns the calls to send now; look again after each reply.
    pub fn calls(&mut self) -> Vec<(HostName, ClaimCall)> {
        self.tally.calls()
    }

    /// Makes [`SeatRound::calls`] return the calls to all seats that did not say yes
    /// again.
    pub fn resend(&mut self) {
        self.tally.resend();
    }

    /// Makes [`SeatRound::calls`] return the calls to all seats that gave no answer
    /// again, also after the round is decided.
    pub fn resend_unanswered(&mut self) {
        self.tally.resend_unanswered();
    }

    /// Goes on under another roster.
    pub fn renew(&mut self, view: Arc<RosterView>) {
        self.tally.renew(view);
    }

    /// Takes a seat's reply; replies to other calls are ignored.
    pub fn accept(&mut self, from: &HostName, reply: ClaimReply) {
        self.tally.accept(from, reply);
    }

    /// Notes that a seat could not be reached.
    pub fn fail(&mut self, host: &HostName) {
        self.tally.fail(host);
    }

    /// Tells whether more answers are needed.
    pub fn is_pending(&self) -> bool {
        self.tally.state() == TallyState::Open
    }

    /// Returns the newer roster that the round must learn before it can go on with
    /// [`SeatRound::renew`]; `None` while it is pending, and where it succeeded.
    pub fn newer_roster(&self) -> Option<RosterTag> {
        match self.tally.state() {
            TallyState::OutOfReach => self.tally.newer_roster(),
            TallyState::Open | TallyState::Reached => None,
        }
    }
}
