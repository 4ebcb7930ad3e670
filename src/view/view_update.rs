//! Updates of the view and the changes that they cause.

use serde::Deserialize;
use serde::Serialize;

use super::TargetIncarnation;
use super::TargetRecord;
use super::ZoneEvacuation;
use crate::catalog::CatalogParts;
use crate::ids::CatalogVersion;
use crate::ids::StoreRevision;
use crate::ids::TargetName;

/// Removal of a target's registration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRemoval {
    /// Name of the target.
    pub name: TargetName,
    /// Revision at which it was removed.
    pub revision: StoreRevision,
}

/// Update of the view from the store or a peer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewUpdate {
    /// Revision up to which the update is complete.
    pub revision: StoreRevision,
    /// Whether `targets` contains every target; absent ones have been removed.
    pub full: bool,
    /// The catalog, if the source has a different one than before.
    pub catalog: Option<CatalogParts>,
    /// Written registrations.
    pub targets: Vec<TargetRecord>,
    /// Removed registrations.
    pub removals: Vec<TargetRemoval>,
    /// Started and ended evacuations of availability zones.
    pub evacuations: Vec<ZoneEvacuation>,
}

impl ViewUpdate {
    /// Turns the registrations that name no usable target into removals of the targets whose place
    /// they took.
    pub(super) fn remove_unusable(&mut self) {
        let removed = self.targets.extract_if(.., |target| !target.is_usable());
        let removed = removed.filter(TargetRecord::has_valid_name);
        self.removals.extend(removed.map(|target| TargetRemoval {
            name: target.name,
            revision: target.revision,
        }));
    }
}

/// Changes caused by an update.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewChange {
    /// Version of the newly applied catalog.
    pub catalog: Option<CatalogVersion>,
    /// Targets that are new or changed.
    pub changed: Vec<TargetName>,
    /// Removed targets.
    pub removed: Vec<TargetName>,
    /// Availability zones whose evacuation started or ended.
    pub evacuations: Vec<ZoneEvacuation>,
    /// Set if the store went back to an older copy of itself.
    pub rewind: Option<StoreRewind>,
    /// Targets that were leaving when the store went back.
    pub leaving: Vec<TargetIncarnation>,
    /// Targets that were removed before the store went back, and that its copy may contain.
    pub returning: Vec<TargetIncarnation>,
}

/// Continuation of the store from an older copy of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreRewind {
    /// The revision up to which the view was complete.
    pub from: StoreRevision,
    /// The revision of the first view of the new era.
    pub to: StoreRevision,
}

impl ViewChange {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.catalog.is_none()
            && self.changed.is_empty()
            && self.removed.is_empty()
            && self.evacuations.is_empty()
            && self.rewind.is_none()
    }
}
