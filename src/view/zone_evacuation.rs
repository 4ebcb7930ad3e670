//! Evacuations of availability zones.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::StoreRevision;
use crate::ids::ZoneName;

/// The operator's latest evacuation setting for an availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEvacuation {
    /// The availability zone.
    pub availability_zone: ZoneName,
    /// Store revision at which it was written or removed.
    pub revision: StoreRevision,
    /// Whether the zone's targets must get no new requests.
    pub active: bool,
}
