//! The host's view of routes and targets. Revisions and versions only increase.

use std::sync::Arc;
use std::time::Duration;

use super::LeaseGrace;
use super::StoreRewind;
use super::TargetIncarnation;
use super::TargetPhase;
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

/// How long removals are remembered. A peer that misses a removal for longer would bring the
/// target back; peers exchange messages many times per second.
const REMOVAL_RETENTION: Duration = Duration::from_secs(120);

/// How long an evacuation is kept that a store which went back does not have. What it lost is
/// written again within about two seconds; a shorter time could lift an evacuation in force.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Tombstone of a removed target.
#[derive(Clone, Debug)]
struct RemovalTombstone {
    revision: StoreRevision,
    recorded_at: Duration,
    /// The registration that was removed, if it was known.
    target: Option<RemovedTarget>,
}

/// A registration that was removed.
#[derive(Clone, Debug)]
struct RemovedTarget {
    incarnation: TargetIncarnation,
    phase: TargetPhase,
}

/// The host's view of routes and targets.
///
/// Each record carries the revision at which it was written, and the higher revision wins, so
/// updates from several sources may arrive in any order and more than once.
///
/// A store that continues from an older copy of itself starts an era. Its view replaces that of
/// the era before, whatever the numbers of the revisions; only the catalog, whose versions the
/// operator counts, is kept. What was known of leaving targets is reported as a change, since
/// the copy may show them as ready.
#[derive(Debug, Default)]
pub struct PlatformView {
    revision: StoreRevision,
    /// Revision up to which the catalog is known to be the newest.
    catalog_revision: StoreRevision,
    /// Revision of the last applied change.
    changed_at: StoreRevision,
    catalog: Option<Arc<RouteCatalog>>,
    targets: SortedMap<TargetName, TargetRecord>,
    removals: SortedMap<TargetName, RemovalTombstone>,
    /// Highest revision of a removal whose tombstone was dropped.
    dropped_revision: StoreRevision,
    /// Targets whose registrations expired during a store outage, and until when they may
    /// still serve.
    expired: SortedMap<TargetName, Duration>,
    /// When the first update of this era was applied.
    era_started_at: Duration,
    /// Latest evacuation setting of each availability zone that has ever had one.
    evacuations: SortedMap<ZoneName, ZoneEvacuation>,
}

impl PlatformView {
    /// Returns the revision up to which the targets and evacuations are complete.
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the revision up to which the catalog is known to be the newest. Peers send the
    /// catalog separately from the targets, so it may be behind them.
    pub const fn catalog_revision(&self) -> StoreRevision {
        self.catalog_revision
    }

    /// Records that the catalog of this version was the newest at `revision`. It is ignored
    /// unless that catalog or a newer one is held.
    pub fn update_catalog_revision(&mut self, version: CatalogVersion, revision: StoreRevision) {
        if self.catalog_version() >= version {
            self.catalog_revision = self.catalog_revision.max(revision);
        }
    }

    /// Returns the revision of the last applied change. It is the same on two hosts with the
    /// same contents, whenever each of them last read the store.
    pub const fn changed_at(&self) -> StoreRevision {
        self.changed_at
    }

    /// Returns the catalog in use.
    pub const fn catalog(&self) -> Option<&Arc<RouteCatalog>> {
        self.catalog.as_ref()
    }

    /// Returns the version of the catalog in use; 0 if there is none.
    pub fn catalog_version(&self) -> CatalogVersion {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// Returns the availability zones whose targets must get no new requests, sorted.
    pub fn evacuated_zones(&self) -> Vec<ZoneName> {
        let active = self.evacuations.values().filter(|held| held.active);
        active.map(|held| held.availability_zone.clone()).collect()
    }

    /// Returns all targets and evacuations for a peer.
    ///
    /// Targets with expired registrations are omitted. The store removed them before the view's
    /// revision, so a peer that took them as registered would never learn of their removal.
    pub fn full_update(&self) -> ViewUpdate {
        ViewUpdate {
            revision: self.revision,
            full: true,
            catalog: None,
            targets: self.registered_targets().cloned().collect(),
            removals: Vec::new(),
            evacuations: self.evacuations.values().cloned().collect(),
        }
    }

    /// Returns the targets and evacuations that changed after `complete`, for a peer whose view
    /// is complete up to there; `None` if there are none. The catalog is not included, since it
    /// may be too large for a message that must arrive within the time limit for leaving
    /// targets.
    pub fn update_since(&self, complete: StoreRevision) -> Option<ViewUpdate> {
        if complete.era != self.revision.era || complete < self.dropped_revision {
            return Some(self.full_update());
        }
        let targets = self.registered_targets();
        let targets = targets.filter(|target| target.revision > complete);
        let removals = self.removals.iter();
        let evacuations = self.evacuations.values();
        let update = ViewUpdate {
            revision: self.revision,
            full: false,
            catalog: None,
            targets: targets.cloned().collect(),
            removals: removals
                .filter(|(_, tombstone)| tombstone.revision > complete)
                .map(|(name, tombstone)| TargetRemoval {
                    name: name.clone(),
                    revision: tombstone.revision,
                })
                .collect(),
            evacuations: evacuations
                .filter(|evacuation| evacuation.revision > complete)
                .cloned()
                .collect(),
        };
        let has_changes = !update.targets.is_empty()
            || !update.removals.is_empty()
            || !update.evacuations.is_empty();
        has_changes.then_some(update)
    }

    /// Applies an update.
    pub fn apply(
        &mut self,
        mut update: ViewUpdate,
        grace: &LeaseGrace,
        now: Duration,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        if let Some(parts) = update.catalog.take() {
            change.catalog = self.replace_catalog(parts);
        }
        if self.is_of_past_era(&update) {
            return change;
        }
        update.remove_unusable();
        let is_rewind = self.is_rewind(&update);
        if update.revision.era > self.revision.era {
            // A part of a view can't be applied to another era.
            if is_rewind && !update.full {
                return change;
            }
            self.start_era(update.revision, now, &mut change);
        }
        if update.full {
            // Evacuations that the store lost are written again.
            if !is_rewind {
                self.end_absent_evacuations(&update.evacuations, update.revision, &mut change);
            }
            self.remove_absent(&update.targets, update.revision, grace, now, &mut change);
        }
        for record in update.targets {
            self.apply_record(record, &mut change);
        }
        for removal in update.removals {
            self.apply_removal(removal, grace, now, &mut change);
        }
        for evacuation in update.evacuations {
            self.apply_evacuation(evacuation, &mut change);
        }
        self.revision = self.revision.max(update.revision);
        let dropped_revision = &mut self.dropped_revision;
        self.removals.retain(|_, tombstone| {
            let keep = now.saturating_sub(tombstone.recorded_at) < REMOVAL_RETENTION;
            if !keep {
                *dropped_revision = tombstone.revision.max(*dropped_revision);
            }
            keep
        });
        change
    }

    /// Returns whether the update shows that the store continues from an older copy of itself.
    pub fn is_rewind(&self, update: &ViewUpdate) -> bool {
        let is_known = self.revision.is_known() && update.revision.is_known();
        is_known && update.revision.era > self.revision.era
    }

    /// Returns whether the update is of an era before that of this view.
    pub fn is_of_past_era(&self, update: &ViewUpdate) -> bool {
        update.revision.is_known() && update.revision.era < self.revision.era
    }

    /// Starts an era. The changes that the store lost may concern targets: those that were
    /// leaving still do, and those that were removed may be registered in its copy although
    /// they are gone.
    fn start_era(&mut self, revision: StoreRevision, now: Duration, change: &mut ViewChange) {
        if self.revision.is_known() {
            change.rewind = Some(StoreRewind {
                from: self.revision,
                to: revision,
            });
        }
        let draining = self.targets.values();
        let draining = draining.filter(|target| target.phase == TargetPhase::Draining);
        change
            .leaving
            .extend(draining.map(TargetRecord::incarnation));
        for (name, tombstone) in self.removals.iter() {
            let Some(removed) = &tombstone.target else {
                continue;
            };
            if self.targets.contains_key(name) {
                continue;
            }
            let known = match removed.phase {
                TargetPhase::Draining => &mut change.leaving,
                TargetPhase::Ready => &mut change.returning,
            };
            known.push(removed.incarnation.clone());
        }
        self.removals.retain(|_, _| false);
        self.era_started_at = now;
    }

    fn registered_targets(&self) -> impl Iterator<Item = &TargetRecord> {
        let targets = self.targets.values();
        targets.filter(|target| !self.expired.contains_key(&target.name))
    }

    /// Removes targets with expired registrations that were not renewed in time.
    pub fn remove_expired(&mut self, now: Duration) -> ViewChange {
        let mut change = ViewChange::default();
        let overdue: Vec<TargetName> = self
            .expired
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in overdue {
            self.expired.remove(&name);
            self.targets.remove(&name);
            change.removed.push(name);
        }
        self.end_lost_evacuations(now, &mut change);
        change
    }

    /// Ends the evacuations of past eras that were not written again.
    fn end_lost_evacuations(&mut self, now: Duration, change: &mut ViewChange) {
        if now < self.era_started_at + REWRITE_TIME {
            return;
        }
        let revision = self.revision;
        let evacuations = self.evacuations.values();
        let lost = evacuations.filter(|held| held.active && held.revision.era < revision.era);
        let lost: Vec<ZoneEvacuation> = lost.cloned().collect();
        for evacuation in lost {
            let ended = ZoneEvacuation {
                revision,
                active: false,
                ..evacuation
            };
            self.apply_evacuation(ended, change);
        }
    }

    /// Replaces the catalog with a newer one. Older catalogs are ignored, so that a slow source
    /// cannot undo a replacement.
    fn replace_catalog(&mut self, parts: CatalogParts) -> Option<CatalogVersion> {
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
        grace: &LeaseGrace,
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
            self.apply_removal(removal, grace, now, change);
        }
    }

    /// Ends the evacuations that a full update does not contain.
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
            self.apply_evacuation(ended, change);
        }
    }

    fn apply_evacuation(&mut self, evacuation: ZoneEvacuation, change: &mut ViewChange) {
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

    fn apply_record(&mut self, record: TargetRecord, change: &mut ViewChange) {
        if let Some(tombstone) = self.removals.get(&record.name)
            && tombstone.revision >= record.revision
        {
            return;
        }
        if let Some(held) = self.targets.get(&record.name) {
            if held.revision > record.revision {
                return;
            }
            // The target registered again after its registration had expired.
            if held.revision < record.revision {
                self.expired.remove(&record.name);
            }
            if *held == record {
                return;
            }
        }
        self.changed_at = self.changed_at.max(record.revision);
        let held = self.targets.get(&record.name);
        if !held.is_some_and(|held| held.differs_only_in_era(&record)) {
            change.changed.push(record.name.clone());
        }
        self.targets.insert(record.name.clone(), record);
    }

    fn apply_removal(
        &mut self,
        removal: TargetRemoval,
        grace: &LeaseGrace,
        now: Duration,
        change: &mut ViewChange,
    ) {
        let Some(held) = self.targets.get(&removal.name) else {
            self.record_removal(removal, None, now);
            return;
        };
        if held.revision > removal.revision || self.expired.contains_key(&removal.name) {
            return;
        }
        let removed = RemovedTarget {
            incarnation: held.incarnation(),
            phase: held.phase,
        };
        let ready = held.phase == TargetPhase::Ready;
        if ready && let Some(until) = grace.removal_deadline(now) {
            self.expired.insert(removal.name.clone(), until);
        } else {
            self.targets.remove(&removal.name);
            change.removed.push(removal.name.clone());
        }
        self.record_removal(removal, Some(removed), now);
    }

    fn record_removal(
        &mut self,
        removal: TargetRemoval,
        target: Option<RemovedTarget>,
        now: Duration,
    ) {
        self.changed_at = self.changed_at.max(removal.revision);
        let tombstone = RemovalTombstone {
            revision: removal.revision,
            recorded_at: now,
            target,
        };
        match self.removals.get_mut(&removal.name) {
            Some(held) if held.revision >= tombstone.revision => {}
            Some(held) => *held = tombstone,
            None => _ = self.removals.insert(removal.name, tombstone),
        }
    }
}
