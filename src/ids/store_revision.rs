//! Positions in the history of the configuration store.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The era of the store; rises when the store continues from an older copy of itself.
pub type StoreEra = u64;

/// A revision of the store. The era is compared before the number, because a store that went
/// back gives out numbers again.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{era}:{number}")]
pub struct StoreRevision {
    /// The era in which it was given out.
    pub era: StoreEra,
    /// Its number; 0 stands for no revision.
    pub number: u64,
}

impl StoreRevision {
    /// Returns the revision of the given era and number.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether this is a revision that the store gave out.
    pub const fn is_known(self) -> bool {
        self.number > 0
    }
}

/// A revision of a store that states no era.
impl From<u64> for StoreRevision {
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}
