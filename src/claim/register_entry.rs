//! A seat's register entry for one id.

use super::ClaimTicket;
use super::RoundNumber;
use crate::ids::AttemptNumber;
use crate::ids::IncarnationId;

/// The holder of a grant. The host name is stored once for all grants of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct GrantHolder {
    pub(super) incarnation: IncarnationId,
    pub(super) round: RoundNumber,
}

/// A seat's register entry for one id.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RegisterEntry {
    holder: Option<GrantHolder>,
    /// The attempt for which the holder has the grant.
    granted_attempt: AttemptNumber,
    barred_through: AttemptNumber,
}

impl RegisterEntry {
    pub(super) const fn holder(&self) -> Option<GrantHolder> {
        self.holder
    }

    pub(super) const fn granted_attempt(&self) -> AttemptNumber {
        self.granted_attempt
    }

    pub(super) const fn barred_through(&self) -> AttemptNumber {
        self.barred_through
    }

    pub(super) fn is_held_by(&self, ticket: &ClaimTicket) -> bool {
        self.holder == Some(holder_of(ticket)) && self.granted_attempt == ticket.attempt
    }

    /// Grants the id if nothing is granted and the attempt is not barred.
    pub(super) fn claim(&mut self, ticket: &ClaimTicket) {
        if self.holder.is_none() && ticket.attempt > self.barred_through {
            self.holder = Some(holder_of(ticket));
            self.granted_attempt = ticket.attempt;
        }
    }

    /// Clears the ticket's own grant and bars its attempt.
    pub(super) fn release(&mut self, ticket: &ClaimTicket) {
        if self.is_held_by(ticket) {
            self.holder = None;
        }
        self.bar(ticket.attempt);
    }

    /// Bars an attempt. Raising the bar while a grant exists is harmless: it only
    /// prevents later grants, and the seat still answers that the id is held.
    pub(super) fn bar(&mut self, attempt: AttemptNumber) {
        self.barred_through = self.barred_through.max(attempt);
    }
}

const fn holder_of(ticket: &ClaimTicket) -> GrantHolder {
    GrantHolder {
        incarnation: ticket.incarnation,
        round: ticket.round,
    }
}
