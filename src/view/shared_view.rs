//! The view as the whole process shares it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use super::LeaseGrace;
use super::PlatformView;
use super::TargetRecord;
use super::ViewChange;
use super::ViewUpdate;
use crate::catalog::RouteCatalog;
use crate::ids::CatalogVersion;
use crate::ids::StoreRevision;
use crate::ids::ZoneName;

/// The view behind a lock, the catalog behind an atomic pointer for the requests'
/// path, and the age of what is believed.
#[derive(Debug, Default)]
pub struct SharedView {
    state: Mutex<ViewState>,
    catalog: ArcSwapOption<RouteCatalog>,
    /// Boot time in milliseconds at which the call was begun whose answer last
    /// showed what the store held; 0 before the first.
    evidence_ms: AtomicU64,
    /// The same for the whole view, with all targets.
    view_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct ViewState {
    view: PlatformView,
    outage: LeaseGrace,
}

impl SharedView {
    /// Takes in what the store answered, whole or the catalog alone, to a call that was
    /// begun at `begun`.
    pub fn apply_store_response(
        &self,
        update: ViewUpdate,
        begun: Duration,
        now: Duration,
    ) -> ViewChange {
        let mut state = self.lock();
        self.note_sign(&mut state, begun, now);
        // A read of the catalog alone names no revision.
        let revision = update.revision;
        let all = revision > 0;
        let change = self.apply(&mut state, update, now);
        let version = state.view.catalog_version();
        state.view.record_catalog_revision(version, revision);
        drop(state);
        raise(&self.evidence_ms, begun);
        if all {
            raise(&self.view_ms, begun);
        }
        change
    }

    /// Takes in what the store answered to a call that was begun at `begun` and that asked for
    /// changes of the targets alone. It proves nothing about the catalog.
    pub fn apply_store_targets(
        &self,
        update: ViewUpdate,
        begun: Duration,
        now: Duration,
    ) -> ViewChange {
        let mut state = self.lock();
        let change = self.apply(&mut state, update, now);
        drop(state);
        raise(&self.view_ms, begun);
        change
    }

    /// Takes in what a peer believes. Its view proves nothing about its age; see
    /// [`SharedView::confirm_catalog`].
    pub fn apply_peer_view(&self, update: ViewUpdate, now: Duration) -> ViewChange {
        let mut state = self.lock();
        self.apply(&mut state, update, now)
    }

    /// Takes a peer's word that the catalog of this version was the store's at
    /// `shown`; it counts only if this host holds that catalog or a newer one.
    pub fn confirm_catalog(&self, version: CatalogVersion, shown: Duration, now: Duration) {
        let mut state = self.lock();
        if version == 0 || state.view.catalog_version() < version {
            return;
        }
        self.note_sign(&mut state, shown, now);
        drop(state);
        raise(&self.evidence_ms, shown);
    }

    /// Notes that the catalog of this version was the newest one at `revision`, by a peer; it
    /// counts only if this host holds that catalog or a newer one.
    pub fn record_catalog_revision(&self, version: CatalogVersion, revision: StoreRevision) {
        self.lock().view.record_catalog_revision(version, revision);
    }

    /// Takes a peer's word that its view, whose last change is `revision`, was the store's
    /// at `shown`; it counts only if this host holds that change.
    pub fn confirm_view(&self, revision: StoreRevision, shown: Duration) {
        if revision > 0 && self.held_versions().0 >= revision {
            raise(&self.view_ms, shown);
        }
    }

    /// Lets go of lapsed targets that did not come back in time.
    pub fn remove_lapsed(&self, now: Duration) -> ViewChange {
        self.lock().view.remove_lapsed(now)
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<Arc<RouteCatalog>> {
        self.catalog.load_full()
    }

    /// Returns how long ago the view was known to be the store's; `None` before
    /// the first answer.
    pub fn evidence_age(&self, now: Duration) -> Option<Duration> {
        age_of(&self.evidence_ms, now)
    }

    /// Returns how long ago all targets were known to be the store's; `None` before the
    /// first answer.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        age_of(&self.view_ms, now)
    }

    /// Returns the revision of the last change that is held, and the catalog's version.
    pub fn held_versions(&self) -> (StoreRevision, CatalogVersion) {
        let state = self.lock();
        (state.view.changed_at(), state.view.catalog_version())
    }

    /// Returns the revision up to which the targets and evacuations are complete.
    pub fn revision(&self) -> StoreRevision {
        self.lock().view.revision()
    }

    /// Returns the revision up to which the catalog is the newest one.
    pub fn catalog_revision(&self) -> StoreRevision {
        self.lock().view.catalog_revision()
    }

    /// Returns the revision up to which all of the view is complete.
    pub fn complete_revision(&self) -> StoreRevision {
        let state = self.lock();
        let targets = state.view.revision();
        targets.min(state.view.catalog_revision())
    }

    /// Returns all targets.
    pub fn targets(&self) -> Vec<TargetRecord> {
        self.lock().view.targets().cloned().collect()
    }

    /// Returns the availability zones whose targets are to get no new work.
    pub fn evacuated_zones(&self) -> Vec<ZoneName> {
        self.lock().view.evacuated_zones()
    }

    /// Returns all targets and evacuations for a peer.
    pub fn full_update(&self) -> ViewUpdate {
        self.lock().view.full_update()
    }

    /// Returns the targets and evacuations that a peer lacks whose view is complete up to
    /// `complete`; `None` where it lacks nothing.
    pub fn update_since(&self, complete: StoreRevision) -> Option<ViewUpdate> {
        self.lock().view.update_since(complete)
    }

    fn apply(&self, state: &mut ViewState, update: ViewUpdate, now: Duration) -> ViewChange {
        let outage = state.outage;
        let change = state.view.apply(update, &outage, now);
        if change.catalog.is_some() {
            self.catalog.store(state.view.catalog().cloned());
        }
        change
    }

    /// Notes a sign of the store before it counts as evidence: how long there was
    /// none says whether registrations may have lapsed.
    fn note_sign(&self, state: &mut ViewState, shown: Duration, now: Duration) {
        let last = self.evidence_ms.load(Ordering::Acquire);
        if last > 0 {
            let without = shown.saturating_sub(Duration::from_millis(last));
            state.outage.note_sign(without, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn age_of(shown_ms: &AtomicU64, now: Duration) -> Option<Duration> {
    match shown_ms.load(Ordering::Acquire) {
        0 => None,
        shown => Some(now.saturating_sub(Duration::from_millis(shown))),
    }
}

fn raise(shown_ms: &AtomicU64, shown: Duration) {
    // The clock's first millisecond is not worth telling from "never".
    let shown = (shown.as_millis() as u64).max(1);
    shown_ms.fetch_max(shown, Ordering::AcqRel);
}
