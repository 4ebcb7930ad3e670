//! A granted claim. It is either dispatched once or released, never both.

use std::marker::PhantomData;
use std::sync::Arc;

use super::BarRound;
use super::ClaimTicket;
use crate::ids::RequestId;
use crate::roster::RosterView;

/// The state of a claim while no byte has been sent to a target.
#[derive(Debug)]
pub enum UnsentStage {}

/// The state of a claim once the first byte may have been sent to a target.
#[derive(Debug)]
pub enum SentStage {}

/// A claim granted by a majority of the seats.
///
/// Neither state can be copied, so a claim gives at most one dispatch. This prevents a
/// release after the dispatch, after which the seats would grant the id again.
#[derive(Debug)]
pub struct HeldClaim<S> {
    id: RequestId,
    ticket: ClaimTicket,
    state: PhantomData<S>,
}

impl<S> HeldClaim<S> {
    /// Returns the request's id.
    pub const fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the ticket that holds the claim.
    pub const fn ticket(&self) -> &ClaimTicket {
        &self.ticket
    }
}

impl HeldClaim<UnsentStage> {
    pub(super) const fn new(id: RequestId, ticket: ClaimTicket) -> Self {
        Self {
            id,
            ticket,
            state: PhantomData,
        }
    }

    /// Consumes the releasable claim; must be called before the first byte is sent to a
    /// target.
    pub fn dispatch(self) -> HeldClaim<SentStage> {
        HeldClaim {
            id: self.id,
            ticket: self.ticket,
            state: PhantomData,
        }
    }

    /// Releases the claim: nothing was dispatched under it, and nothing will be.
    pub fn release(self, view: Arc<RosterView>) -> BarRound {
        BarRound::release(self.id, self.ticket, view)
    }
}
