//! The part common to rounds that claim, release or bar.

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

/// One round of calls to the seats; `A` marks the requested operation.
///
/// See [`ClaimRound`](super::ClaimRound) and [`BarRound`](super::BarRound). The round
/// performs no I/O: send what [`SeatRound::calls`] returns, pass each reply to
/// [`SeatRound::accept`] and each failure to [`SeatRound::fail`], until the round is no
/// longer pending.
#[derive(Debug)]
pub struct SeatRound<A> {
    pub(super) tally: QuorumTally,
    operation: PhantomData<A>,
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
            operation: PhantomData,
        }
    }

    /// Returns the calls to send now; call it again after each reply.
    pub fn calls(&mut self) -> Vec<(HostName, ClaimCall)> {
        self.tally.calls()
    }

    /// Makes [`SeatRound::calls`] return the calls again for all seats without a
    /// positive answer.
    pub fn resend(&mut self) {
        self.tally.resend();
    }

    /// Makes [`SeatRound::calls`] return the calls again for all seats that did not
    /// answer, even if the round is already decided.
    pub fn resend_unanswered(&mut self) {
        self.tally.resend_unanswered();
    }

    /// Continues under another roster.
    pub fn renew(&mut self, view: Arc<RosterView>) {
        self.tally.renew(view);
    }

    /// Processes a seat's reply; replies to other calls are ignored.
    pub fn accept(&mut self, from: &HostName, reply: ClaimReply) {
        self.tally.accept(from, reply);
    }

    /// Records that a seat could not be reached.
    pub fn fail(&mut self, host: &HostName) {
        self.tally.fail(host);
    }

    /// Returns whether more answers are needed.
    pub fn is_pending(&self) -> bool {
        self.tally.state() == TallyState::Open
    }

    /// Returns the newer roster that must be learned before the round can continue with
    /// [`SeatRound::renew`]; `None` while it is pending or after it succeeded.
    pub fn newer_roster(&self) -> Option<RosterTag> {
        match self.tally.state() {
            TallyState::Failed => self.tally.newer_roster(),
            TallyState::Open | TallyState::Reached => None,
        }
    }
}
