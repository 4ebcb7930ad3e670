//! The outcome of a roster offered by a document.

use derive_more::Display;
use derive_more::Error;

use crate::ids::RosterNumber;

/// The outcome of a roster that was not refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RosterDecision {
    /// The process already has this roster.
    Unchanged,
    /// The roster replaces the active or the adopted one, or may be offered here because
    /// this process knows no active roster or may not vote.
    Accepted,
    /// The replaced roster is not known here yet. Nothing of the document may be put in
    /// force; offer it again when peers have reported more.
    Waiting,
}

/// The reason that a document's roster is refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RosterRefusal {
    /// The roster has no seats.
    #[display("the roster has no seats")]
    NoSeats,
    /// The document bootstraps a fleet (or says that the former roster is lost), but
    /// this process already knows an active roster.
    #[display(
        "the document founds a fleet, but roster {active} is active here; \
         if that roster is lost, stop this host"
    )]
    AlreadyBootstrapped {
        /// The active roster's number.
        active: RosterNumber,
    },
    /// The roster's number is too low.
    #[display("roster {offered} is known to be replaced; the number must be at least {lowest}")]
    NotNewer {
        /// The offered number.
        offered: RosterNumber,
        /// The lowest number that could be accepted.
        lowest: RosterNumber,
    },
    /// The roster replaces neither the active nor the adopted one.
    #[display("the document replaces roster {former}, but roster {active} is active")]
    NotSuccessor {
        /// The roster that the document replaces.
        former: RosterNumber,
        /// The active roster.
        active: RosterNumber,
    },
    /// Too few of the new roster's seats are in the former one: the new seats could
    /// never learn what they need before they may vote.
    #[display(
        "only {continuing} of {seats} seats also stand in the former roster; a majority must"
    )]
    TooManyNewSeats {
        /// Seats that are in both rosters.
        continuing: usize,
        /// Seats of the new roster.
        seats: usize,
    },
    /// The process already adopted another successor of the same roster.
    #[display("roster {adopted} already replaces the active roster")]
    OtherSuccessor {
        /// The number of the adopted successor.
        adopted: RosterNumber,
    },
}
