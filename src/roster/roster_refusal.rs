//! What becomes of a roster that a document offers.

use derive_more::Display;
use derive_more::Error;

use crate::ids::RosterNumber;

/// What becomes of a roster that was not refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RosterDecision {
    /// The roster is the one that the process already has.
    Unchanged,
    /// The roster replaces the active one or one on the way; it takes its course.
    Accepted,
    /// The replaced roster is not known here yet; offer the document again when
    /// peers told more. Nothing of the document may be put in force.
    Waiting,
}

/// Why a document's roster is refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RosterRefusal {
    /// The roster has no seats.
    #[display("the roster has no seats")]
    NoSeats,
    /// The document founds a fleet (or says that the former roster is lost), but
    /// this process already knows an active roster.
    #[display(
        "the document founds a fleet, but roster {active} is active here; \
         if that roster is lost, stop this host"
    )]
    AlreadyFounded {
        /// The active roster's number.
        active: RosterNumber,
    },
    /// The roster's number does not rise.
    #[display("roster {offered} is known to be replaced; the number must be at least {lowest}")]
    NotNewer {
        /// The offered number.
        offered: RosterNumber,
        /// The lowest number that could be accepted.
        lowest: RosterNumber,
    },
    /// The roster replaces one that is not the active one, nor on the way.
    #[display("the document replaces roster {former}, but roster {active} is active")]
    NotSuccessor {
        /// The roster that the document replaces.
        former: RosterNumber,
        /// The active roster.
        active: RosterNumber,
    },
    /// Too few of the new roster's seats stand in the former one: the new seats
    /// could never learn what they must know before they speak.
    #[display(
        "only {continuing} of {seats} seats also stand in the former roster; a majority must"
    )]
    TooManyNewSeats {
        /// Seats that stand in both rosters.
        continuing: usize,
        /// Seats of the new roster.
        seats: usize,
    },
    /// The process already took up another successor of the same roster.
    #[display("roster {adopted} already replaces the active roster")]
    OtherSuccessor {
        /// The number of the successor that was taken up.
        adopted: RosterNumber,
    },
}
