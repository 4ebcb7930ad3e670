//! Whether the targets of an availability zone take new work.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::StoreRevision;
use crate::ids::ZoneName;

/// What the operator last asked for an availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEvacuation {
    /// The availability zone.
    pub availability_zone: ZoneName,
    /// The revision of the store at which it was written or removed.
    pub revision: StoreRevision,
    /// Whether the zone's targets are to get no new work.
    pub active: bool,
}
