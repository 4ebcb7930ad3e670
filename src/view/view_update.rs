//! What a source shows of the fleet, and what that changed.

use serde::Deserialize;
use serde::Serialize;

use super::TargetRecord;
use super::ZoneEvacuation;
use crate::catalog::CatalogParts;
use crate::ids::CatalogVersion;
use crate::ids::StoreRevision;
use crate::ids::TargetName;

/// A target that is registered no more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRemoval {
    /// The target.
    pub name: TargetName,
    /// The revision at which it was removed.
    pub revision: StoreRevision,
}

/// What a source shows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewUpdate {
    /// The revision up to which the source has shown everything.
    pub revision: StoreRevision,
    /// Whether `targets` holds every target: one that is absent is gone.
    pub full: bool,
    /// The catalog, where the source has another than before.
    pub catalog: Option<CatalogParts>,
    /// Targets as they were written.
    pub targets: Vec<TargetRecord>,
    /// Targets that are registered no more.
    pub removals: Vec<TargetRemoval>,
    /// Availability zones that are evacuated, or no longer are.
    pub evacuations: Vec<ZoneEvacuation>,
}

/// What an update changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewChange {
    /// The version of the catalog that came into force.
    pub catalog: Option<CatalogVersion>,
    /// Targets that are new or differ.
    pub changed: Vec<TargetName>,
    /// Targets that are gone.
    pub removed: Vec<TargetName>,
    /// Availability zones whose evacuation started or ended.
    pub evacuations: Vec<ZoneEvacuation>,
}

impl ViewChange {
    /// Tells whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.catalog.is_none()
            && self.changed.is_empty()
            && self.removed.is_empty()
            && self.evacuations.is_empty()
    }
}
