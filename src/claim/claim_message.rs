//! Messages between claimants, the processes that claim ids, and the seats.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptNumber;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::RequestId;
use crate::ids::UnixMillis;
use crate::roster::RosterTag;

/// Number of a round; unique within one incarnation of a process.
pub type RoundNumber = u64;

/// Identifies a claimant: one round of one process, for one attempt.
///
/// The round number is included because two resends may reach the same process. A grant
/// to the first round must not count for the second, which may outlive the first one's
/// release.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimTicket {
    /// The claiming host.
    pub host: HostName,
    /// The incarnation of the host's process.
    pub incarnation: IncarnationId,
    /// The round within that incarnation.
    pub round: RoundNumber,
    /// The request's attempt.
    pub attempt: AttemptNumber,
}

/// The operation requested from a seat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOperation {
    /// Grant the id to the ticket.
    Claim,
    /// Clear the ticket's grant and bar its attempt: the ticket will not be dispatched.
    Release,
    /// Bar the ticket's attempt if nothing is granted.
    Bar,
}

/// A call to one seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimCall {
    /// The request.
    pub id: RequestId,
    /// The roster that the claimant considers active.
    pub roster: RosterTag,
    /// The requested operation.
    pub operation: ClaimOperation,
    /// The claimant.
    pub ticket: ClaimTicket,
}

/// A seat's reply. It repeats the fields that distinguish it from replies to other
/// calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimReply {
    /// The request.
    pub id: RequestId,
    /// The call's roster.
    pub roster: RosterTag,
    /// The operation of the call.
    pub operation: ClaimOperation,
    /// The calling process's incarnation.
    pub incarnation: IncarnationId,
    /// The calling round.
    pub round: RoundNumber,
    /// The seat's answer.
    pub answer: SeatAnswer,
}

/// A seat's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SeatAnswer {
    /// The id is granted to the ticket.
    Granted {
        /// Whether a majority of the former roster is needed as well.
        needs_former: bool,
    },
    /// Nothing is granted, and attempts up to `through` will never be granted.
    Barred {
        /// The highest barred attempt.
        through: AttemptNumber,
        /// Whether a majority of the former roster is needed as well.
        needs_former: bool,
    },
    /// The id is granted to another ticket.
    Held {
        /// The ticket that holds the grant.
        holder: ClaimTicket,
    },
    /// The seat may not vote on this id, or may not vote at all yet.
    NotVoting,
    /// The seat has adopted a newer roster than the call's.
    RosterOld {
        /// The newest roster known to the seat.
        newest: RosterTag,
    },
    /// The seat does not know yet that the call's roster is active.
    RosterUnknown,
    /// The id is older than the claim window or lies in the future.
    OutOfWindow {
        /// The seat's clock reading.
        now: UnixMillis,
    },
}
