//! The host's view of routes and targets; revisions and versions only rise.

use std::sync::Arc;
use std::time::Duration;

use super::LeaseGrace;
use super::TargetRecord;
use super::TargetRemoval;
use super::ViewChange;
use super::ViewUpdate;
use super::ZoneEvacuation;
use crate::catalog::CatalogParts;
use crate::catalog::RouteCatalog;
use crate::ids::CatalogVersion;
use crate::ids::StoreRevision;
use crate::ids::TargetName;
use crate::ids::ZoneName;
use crate::sorted::SortedMap;

/// How long removals are remembered. A peer that has not heard of one for as
/// long would bring the target back; peers tell each other many times a second.
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);

/// A removal that is remembered.
#[derive(Clone, Copy, Debug)]
struct RemovalMark {
    revision: StoreRevision,
    at: Duration,
}

/// The host's view of routes and targets.
///
/// Each record bears the revision at which it was written, and the higher one
/// wins, so updates of several sources may come in any order and twice.
#[derive(Debug, Default)]
pub struct PlatformView {
    revision: StoreRevision,
    /// The revision up to which the catalog is the newest one.
    catalog_revision: StoreRevision,
    /// The revision of the last change that is held.
    changed_at: StoreRevision,
    catalog: Option<Arc<RouteCatalog>>,
    targets: SortedMap<TargetName, TargetRecord>,
    removals: SortedMap<TargetName, RemovalMark>,
    /// The highest revision of a removal that is remembered no more.
    forgotten: StoreRevision,
    /// Targets whose registration lapsed while the store was away, and until
    /// when they may still serve.
    lapses: SortedMap<TargetName, Duration>,
    /// What was last asked for each availability zone that was ever evacuated.
    evacuations: SortedMap<ZoneName, ZoneEvacuation>,
}

impl PlatformView {
    /// Returns the revision up to which the targets and evacuations are complete.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the revision up to which the catalog is the newest one. Peers send it apart
    /// from the targets, so it may be behind them.
    pub const fn catalog_revision(&self) -> StoreRevision {
        self.catalog_revision
    }

    /// Notes that a catalog of this version was the newest one at `revision`; it counts only
    /// if that one or a newer one is held.
    pub fn record_catalog_revision(&mut self, version: CatalogVersion, revision: StoreRevision) {
        if self.catalog_version() >= version {
            self.catalog_revision = self.catalog_revision.max(revision);
        }
    }

    /// Returns the revision of the last change that is held. Two hosts that hold the
    /// same have the same one, whenever each last asked the store.
    pub const fn changed_at(&self) -> StoreRevision {
        self.changed_at
    }

    /// Returns the catalog in force.
    pub const fn catalog(&self) -> Option<&Arc<RouteCatalog>> {
        self.catalog.as_ref()
    }

    /// Returns the version of the catalog in force; 0 when there is none.
    pub fn catalog_version(&self) -> CatalogVersion {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// Returns the availability zones whose targets are to get no new work, sorted.
    pub fn evacuated_zones(&self) -> Vec<ZoneName> {
        let active = self.evacuations.values().filter(|held| held.active);
        active.map(|held| held.availability_zone.clone()).collect()
    }

    /// Returns all targets and evacuations for a peer.
    ///
    /// Lapsed targets are left out. The store removed them before the view's revision,
    /// so a peer that took them for standing would never hear of their removal.
    pub fn full_update(&self) -> ViewUpdate {
        ViewUpdate {
            revision: self.revision,
            full: true,
            catalog: None,
            targets: self.standing_targets().cloned().collect(),
            removals: Vec::new(),
            evacuations: self.evacuations.values().cloned().collect(),
        }
    }

    /// Returns the targets and evacuations that a peer lacks whose view is complete up to
    /// `complete`; `None` where it lacks nothing. The catalog is not among them: it may be too
    /// large for a message that must arrive within the bound on leaving targets.
    pub fn update_since(&self, complete: StoreRevision) -> Option<ViewUpdate> {
        if complete < self.forgotten {
            return Some(self.full_update());
        }
        let targets = self.standing_targets();
        let targets = targets.filter(|target| target.revision > complete);
        let removals = self.removals.iter();
        let evacuations = self.evacuations.values();
        let update = ViewUpdate {
            revision: self.revision,
            full: false,
            catalog: None,
            targets: targets.cloned().collect(),
            removals: removals
                .filter(|(_, mark)| mark.revision > complete)
                .map(|(name, mark)| TargetRemoval {
                    name: name.clone(),
                    revision: mark.revision,
                })
                .collect(),
            evacuations: evacuations
                .filter(|evacuation| evacuation.revision > complete)
                .cloned()
                .collect(),
        };
        let lacks = !update.targets.is_empty()
            || !update.removals.is_empty()
            || !update.evacuations.is_empty();
        lacks.then_some(update)
    }

    /// Takes an update in.
    pub fn apply(&mut self, update: ViewUpdate, outage: &LeaseGrace, now: Duration) -> ViewChange {
        let mut change = ViewChange::default();
        if let Some(parts) = update.catalog {
            change.catalog = self.raise_catalog(parts);
        }
        if update.full {
            self.end_absent_evacuations(&update.evacuations, update.revision, &mut change);
            self.remove_absent(&update.targets, update.revision, outage, now, &mut change);
        }
        for record in update.targets {
            self.take_record(record, &mut change);
        }
        for removal in update.removals {
            self.take_removal(removal, outage, now, &mut change);
        }
        for evacuation in update.evacuations {
            self.take_evacuation(evacuation, &mut change);
        }
        self.revision = self.revision.max(update.revision);
        let forgotten = &mut self.forgotten;
        self.removals.retain(|_, mark| {
            let held = now.saturating_sub(mark.at) < REMOVAL_MEMORY;
            if !held {
                *forgotten = mark.revision.max(*forgotten);
            }
            held
        });
        change
    }

    fn standing_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        let targets = self.targets.values();
        targets.filter(|target| !self.lapses.contains_key(&target.name))
    }

    /// Lets go of lapsed targets that did not come back in time.
    pub fn remove_lapsed(&mut self, now: Duration) -> ViewChange {
        let mut change = ViewChange::default();
        let due: Vec<TargetName> = self
            .lapses
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.lapses.remove(&name);
            self.targets.remove(&name);
            change.removed.push(name);
        }
        change
    }

    /// Puts a newer catalog in force. An older one is passed over: a slow source
    /// must not bring back what was replaced.
    fn raise_catalog(&mut self, parts: CatalogParts) -> Option<CatalogVersion> {
        let version = parts.version;
        if self.catalog.is_some() && version <= self.catalog_version() {
            return None;
        }
        self.catalog = Some(Arc::new(RouteCatalog::compile(parts)));
        Some(version)
    }

    fn remove_absent(
        &mut self,
        present: &[TargetRecord],
        revision: StoreRevision,
        outage: &LeaseGrace,
        now: Duration,
        change: &mut ViewChange,
    ) {
        let mut names: Vec<&TargetName> = present.iter().map(|record| &record.name).collect();
        names.sort();
        let absent: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(name, _)| names.binary_search(name).is_err())
            .map(|(name, _)| name.clone())
            .collect();
        for name in absent {
            let removal = TargetRemoval { name, revision };
            self.take_removal(removal, outage, now, change);
        }
    }

    /// Ends the evacuations that a whole update doesn't name.
    fn end_absent_evacuations(
        &mut self,
        present: &[ZoneEvacuation],
        revision: StoreRevision,
        change: &mut ViewChange,
    ) {
        let is_present = |zone: &ZoneName| {
            let mut evacuations = present.iter();
            evacuations.any(|evacuation| evacuation.availability_zone == *zone)
        };
        let active = self.evacuated_zones().into_iter();
        for availability_zone in active.filter(|zone| !is_present(zone)) {
            let ended = ZoneEvacuation {
                availability_zone,
                revision,
                active: false,
            };
            self.take_evacuation(ended, change);
        }
    }

    fn take_evacuation(&mut self, evacuation: ZoneEvacuation, change: &mut ViewChange) {
        let held = self.evacuations.get(&evacuation.availability_zone);
        if held.is_some_and(|held| held.revision >= evacuation.revision) {
            return;
        }
        self.changed_at = self.changed_at.max(evacuation.revision);
        if held.is_some_and(|held| held.active) != evacuation.active {
            change.evacuations.push(evacuation.clone());
        }
        let zone = evacuation.availability_zone.clone();
        self.evacuations.insert(zone, evacuation);
    }

    fn take_record(&mut self, record: TargetRecord, change: &mut ViewChange) {
        if let Some(mark) = self.removals.get(&record.name)
            && mark.revision >= record.revision
        {
            return;
        }
        if let Some(held) = self.targets.get(&record.name) {
            if held.revision > record.revision {
                return;
            }
            // Written again after a lapse: it is back.
            if held.revision < record.revision {
                self.lapses.remove(&record.name);
            }
            if *held == record {
                return;
            }
        }
        self.changed_at = self.changed_at.max(record.revision);
        change.changed.push(record.name.clone());
        self.targets.insert(record.name.clone(), record);
    }

    fn take_removal(
        &mut self,
        removal: TargetRemoval,
        outage: &LeaseGrace,
        now: Duration,
        change: &mut ViewChange,
    ) {
        let Some(held) = self.targets.get(&removal.name) else {
            self.note_removal(removal, now);
            return;
        };
        if held.revision > removal.revision || self.lapses.contains_key(&removal.name) {
            return;
        }
        let ready = held.phase == super::TargetPhase::Ready;
        if ready && let Some(until) = outage.lapse_end(now) {
            self.lapses.insert(removal.name.clone(), until);
        } else {
            self.targets.remove(&removal.name);
            change.removed.push(removal.name.clone());
        }
        self.note_removal(removal, now);
    }

    fn note_removal(&mut self, removal: TargetRemoval, now: Duration) {
        self.changed_at = self.changed_at.max(removal.revision);
        let mark = RemovalMark {
            revision: removal.revision,
            at: now,
        };
        let held = self.removals.get_or_insert_with(removal.name, || mark);
        if held.revision < mark.revision {
            *held = mark;
        }
    }
}
