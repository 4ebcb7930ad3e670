//! A roster as named by a document, and the tag that identifies it in messages.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::fleet::FleetDocument;
use crate::fleet::SeatRoster;
use crate::ids::HostName;
use crate::ids::RosterNumber;

/// A roster's number and a digest of its seats.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RosterTag {
    /// The roster's number.
    pub number: RosterNumber,
    /// The first bytes of the SHA-256 of the sorted host names. It distinguishes the
    /// rosters of two operators who give the same number to different seats.
    pub digest: u32,
}

/// A roster and the one that it replaces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterPlan {
    /// Identifies the roster.
    pub tag: RosterTag,
    /// The hosts that hold seats, sorted.
    pub seats: Vec<HostName>,
    /// The replaced roster's tag and hosts; absent when nothing is replaced.
    pub former: Option<(RosterTag, Vec<HostName>)>,
    /// Whether a document states that nothing is replaced, or that the former roster is
    /// lost: the operators' assertion that no older roster is in use.
    pub bootstraps: bool,
}

impl RosterPlan {
    /// Creates the plan of `roster` after `former`. With `former_lost`, the operators
    /// assert that nothing is left of `former`, which then counts as absent.
    pub fn new(roster: &SeatRoster, former: Option<&SeatRoster>, former_lost: bool) -> Self {
        let (tag, seats) = tag_of(roster);
        let former = former.filter(|_| !former_lost).map(tag_of);
        let bootstraps = former.is_none();
        Self {
            tag,
            seats,
            former,
            bootstraps,
        }
    }

    /// Creates the plan named by a document.
    pub fn of_document(document: &FleetDocument) -> Self {
        Self::new(
            &document.roster,
            document.former.as_ref(),
            document.former_lost,
        )
    }

    /// Returns whether `host` holds a seat.
    pub fn has_seat(&self, host: &str) -> bool {
        holds(&self.seats, host)
    }

    /// Returns whether `host` holds a seat in the replaced roster.
    pub fn had_seat(&self, host: &str) -> bool {
        self.former
            .as_ref()
            .is_some_and(|(_, seats)| holds(seats, host))
    }

    /// Returns the replaced roster's tag.
    pub fn former_tag(&self) -> Option<RosterTag> {
        self.former.as_ref().map(|(tag, _)| *tag)
    }

    /// Returns the number of seats that are also in the replaced roster.
    pub fn continuing(&self) -> usize {
        self.seats.iter().filter(|host| self.had_seat(host)).count()
    }

    /// Returns the replaced roster as a plan without a known predecessor.
    pub(crate) fn former_plan(&self) -> Option<Self> {
        let (tag, seats) = self.former.clone()?;
        Some(Self {
            tag,
            seats,
            former: None,
            bootstraps: false,
        })
    }
}

fn holds(seats: &[HostName], host: &str) -> bool {
    seats
        .binary_search_by(|seat| seat.as_str().cmp(host))
        .is_ok()
}

fn tag_of(roster: &SeatRoster) -> (RosterTag, Vec<HostName>) {
    let mut seats: Vec<HostName> = roster.seats.iter().map(|seat| seat.host.clone()).collect();
    seats.sort();
    seats.dedup();
    let mut hasher = Sha256::new();
    for seat in &seats {
        hasher.update(seat.as_bytes());
        hasher.update([0]);
    }
    let hash = hasher.finalize();
    let digest = u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]);
    let number = roster.number;
    (RosterTag { number, digest }, seats)
}
