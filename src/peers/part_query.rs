//! Searches for the targets that hold a part of a prompt, which hosts share.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::SoftwareVersion;

/// Section of a pool's targets, by a hash of their names. Hosts share a search by sections, which
/// are much shorter than lists of targets.
pub type TargetSection = u8;

/// Asks which targets of a pool hold a part of a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartQuery {
    /// The pool.
    pub pool: PoolName,
    /// Id of the part.
    pub part: String,
    /// The targets to search.
    pub scope: PartScope,
    /// Time until the calling host needs the answer, in milliseconds.
    pub time_left_ms: u64,
}

/// The targets that a called host searches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PartScope {
    /// All of them, which the called host shares with its own peers. A member of a group asks its
    /// leader.
    Pool,
    /// Those of some sections, whose parts the called host lists itself.
    Sections(Vec<TargetSection>),
}

/// What a host found among the targets of a query.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartHolders {
    /// Versions of the targets that hold the part.
    pub versions: Vec<SoftwareVersion>,
    /// Number of targets.
    pub targets: u64,
    /// Number of targets that listed their parts.
    pub answered: u64,
}
