//! The messages between a caller of claims and the seats.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptNumber;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::RequestId;
use crate::ids::UnixMillis;
use crate::roster::RosterTag;

/// Numbers a process's rounds; each round of one incarnation has its own.
pub type RoundNumber = u64;

/// Who claims: one round of one process, for one attempt.
///
/// The round is part of it, since two resends may land on the same process: a
/// grant to the first must not count for the second, which outlives its release.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimTicket {
    /// The host that claims.
    pub host: HostName,
    /// The life of the host's process.
    pub incarnation: IncarnationId,
    /// The round within that life.
    pub round: RoundNumber,
    /// The request's attempt.
    pub attempt: AttemptNumber,
}

/// What a call asks of a seat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimOperation {
    /// Grant the id to the ticket.
    Claim,
    /// Clear the ticket's grant and bar its attempt: the ticket will not dispatch.
    Release,
    /// Bar the ticket's attempt where nothing is granted.
    Bar,
}

/// A call to one seat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimCall {
    /// The request.
    pub id: RequestId,
    /// The roster that the caller knows to be active.
    pub roster: RosterTag,
    /// What is asked.
    pub operation: ClaimOperation,
    /// Who asks.
    pub ticket: ClaimTicket,
}

/// A seat's reply; it repeats what tells it from the reply to another call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimReply {
    /// The request.
    pub id: RequestId,
    /// The call's roster.
    pub roster: RosterTag,
    /// What was asked.
    pub operation: ClaimOperation,
    /// The asking process's life.
    pub incarnation: IncarnationId,
    /// The asking round.
    pub round: RoundNumber,
    /// What the seat says.
    pub answer: SeatAnswer,
}

/// What a seat says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SeatAnswer {
    /// The id is granted to the ticket.
    Granted {
        /// Whether a majority of the former roster is needed as well.
        needs_former: bool,
    },
    /// Nothing is granted, and attempts up to `through` never will be.
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
    /// The seat does not speak for this id, or has no voice yet.
    NotVoting,
    /// The seat took up a newer roster than the call's.
    RosterOld {
        /// The newest roster that the seat knows.
        newest: RosterTag,
    },
    /// The seat does not know the call's roster to be active yet.
    RosterUnknown,
    /// The id is older than the window or lies in the future.
    OutOfWindow {
        /// The seat's time.
        now: UnixMillis,
    },
}
