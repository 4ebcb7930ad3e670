//! Thread-safe access to the view.

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
use crate::ids::SoftwareVersion;
use crate::ids::StoreRevision;
use crate::ids::ZoneName;

/// Longest time between two confirmations of the view after which a full update shows all that
/// happened in between: a target is registered for longer before it is removed.
const MAX_UPDATE_GAP: Duration = Duration::from_secs(3);

/// View shared by the whole process: the view behind a lock, the catalog behind an atomic
/// pointer for the request path, and the age of both.
#[derive(Debug, Default)]
pub struct SharedView {
    state: Mutex<ViewState>,
    catalog: ArcSwapOption<RouteCatalog>,
    /// Boot time in milliseconds at which the catalog was last known to match the store; 0
    /// before the first answer. The time of an answer is the start of its call.
    evidence_ms: AtomicU64,
    /// The same for the whole view, including all targets.
    view_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct ViewState {
    view: PlatformView,
    grace: LeaseGrace,
    /// Time since which all changes of the targets were applied; `None` before the first view.
    complete_since: Option<Duration>,
}

impl SharedView {
    /// Applies an answer of the store with the whole view or only the catalog, to a call that
    /// started at `called_at`.
    pub fn apply_store_response(
        &self,
        update: ViewUpdate,
        called_at: Duration,
        now: Duration,
    ) -> ViewChange {
        let mut state = self.lock();
        if state.view.is_of_past_era(&update) {
            return ViewChange::default();
        }
        self.record_contact(&mut state, called_at, now);
        // A read of only the catalog has no revision.
        let revision = update.revision;
        let is_full = revision.is_known();
        let change = self.apply(&mut state, update, now);
        let version = state.view.catalog_version();
        state.view.update_catalog_revision(version, revision);
        drop(state);
        raise(&self.evidence_ms, called_at);
        if is_full {
            raise(&self.view_ms, called_at);
        }
        change
    }

    /// Applies an answer of the store with only changes of targets, to a call that started at
    /// `called_at`. It does not confirm the catalog.
    pub fn apply_store_targets(
        &self,
        update: ViewUpdate,
        called_at: Duration,
        now: Duration,
    ) -> ViewChange {
        let mut state = self.lock();
        if state.view.is_of_past_era(&update) {
            return ViewChange::default();
        }
        let change = self.apply(&mut state, update, now);
        drop(state);
        raise(&self.view_ms, called_at);
        change
    }

    /// Applies the view of a peer. This does not affect the age of the local view; see
    /// [`SharedView::confirm_catalog`].
    pub fn apply_peer_view(&self, update: ViewUpdate, now: Duration) -> ViewChange {
        let mut state = self.lock();
        self.apply(&mut state, update, now)
    }

    /// Records a peer's confirmation that the catalog of this version matched the store at
    /// `confirmed_at`. It is ignored unless this host holds that catalog or a newer one.
    pub fn confirm_catalog(&self, version: CatalogVersion, confirmed_at: Duration, now: Duration) {
        let mut state = self.lock();
        if version == 0 || state.view.catalog_version() < version {
            return;
        }
        self.record_contact(&mut state, confirmed_at, now);
        drop(state);
        raise(&self.evidence_ms, confirmed_at);
    }

    /// Records a peer's statement that the catalog of this version was the newest at `revision`.
    /// It is ignored unless this host holds that catalog or a newer one.
    pub fn update_catalog_revision(&self, version: CatalogVersion, revision: StoreRevision) {
        self.lock().view.update_catalog_revision(version, revision);
    }

    /// Records a peer's confirmation that its view, whose last change is `revision`, matched
    /// the store at `confirmed_at`. It is ignored unless this host holds that change.
    pub fn confirm_view(&self, revision: StoreRevision, confirmed_at: Duration) {
        if revision.is_known() && self.held_versions().0 >= revision {
            raise(&self.view_ms, confirmed_at);
        }
    }

    /// Removes targets with expired registrations that were not renewed in time.
    pub fn remove_expired(&self, now: Duration) -> ViewChange {
        self.lock().view.remove_expired(now)
    }

    /// Returns the catalog in use.
    pub fn catalog(&self) -> Option<Arc<RouteCatalog>> {
        self.catalog.load_full()
    }

    /// Returns the time since the catalog was known to match the store; `None` before the first
    /// answer.
    pub fn evidence_age(&self, now: Duration) -> Option<Duration> {
        age_of(&self.evidence_ms, now)
    }

    /// Returns the time since the whole view was known to match the store; `None` before the
    /// first answer.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        age_of(&self.view_ms, now)
    }

    /// Returns for how long all changes of the targets were applied; `None` before the first view.
    ///
    /// A full update shows the targets at its time. Those that were registered and removed since the
    /// view before it are in neither.
    pub fn known_for(&self, now: Duration) -> Option<Duration> {
        let since = self.lock().complete_since?;
        Some(now.saturating_sub(since))
    }

    /// Returns the software versions of a pool's targets, sorted.
    pub fn versions_of(&self, pool: &str) -> Vec<SoftwareVersion> {
        let state = self.lock();
        let targets = state.view.targets().filter(|target| target.pool == pool);
        let mut versions: Vec<SoftwareVersion> = targets
            .map(|target| target.software_version.clone())
            .collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Returns the revision of the last applied change and the version of the catalog.
    pub fn held_versions(&self) -> (StoreRevision, CatalogVersion) {
        let state = self.lock();
        (state.view.changed_at(), state.view.catalog_version())
    }

    /// Returns the revision up to which the targets and evacuations are complete.
    pub fn revision(&self) -> StoreRevision {
        self.lock().view.revision()
    }

    /// Returns the revision up to which the catalog is known to be the newest.
    pub fn catalog_revision(&self) -> StoreRevision {
        self.lock().view.catalog_revision()
    }

    /// Returns the revision up to which the whole view is complete.
    pub fn complete_revision(&self) -> StoreRevision {
        let state = self.lock();
        let targets = state.view.revision();
        targets.min(state.view.catalog_revision())
    }

    /// Returns all targets.
    pub fn targets(&self) -> Vec<TargetRecord> {
        self.lock().view.targets().cloned().collect()
    }

    /// Calls `visit` for each target, without a copy of thousands of them.
    pub fn visit_targets(&self, visit: impl FnMut(&TargetRecord)) {
        self.lock().view.targets().for_each(visit);
    }

    /// Returns the availability zones whose targets must get no new requests.
    pub fn evacuated_zones(&self) -> Vec<ZoneName> {
        self.lock().view.evacuated_zones()
    }

    /// Returns all targets and evacuations for a peer.
    pub fn full_update(&self) -> ViewUpdate {
        self.lock().view.full_update()
    }

    /// Returns the targets and evacuations that changed after `complete`, for a peer whose view
    /// is complete up to there; `None` if there are none.
    pub fn update_since(&self, complete: StoreRevision) -> Option<ViewUpdate> {
        self.lock().view.update_since(complete)
    }

    fn apply(&self, state: &mut ViewState, update: ViewUpdate, now: Duration) -> ViewChange {
        if state.view.is_rewind(&update) {
            state.grace.record_rewind(now);
        }
        self.track_completeness(state, &update, now);
        let grace = state.grace;
        let change = state.view.apply(update, &grace, now);
        if change.catalog.is_some() {
            self.catalog.store(state.view.catalog().cloned());
        }
        change
    }

    /// Restarts the time since which all changes were applied where the update may leave some out.
    fn track_completeness(&self, state: &mut ViewState, update: &ViewUpdate, now: Duration) {
        if !update.revision.is_known() || state.view.is_of_past_era(update) {
            return;
        }
        let has_gap = || age_of(&self.view_ms, now).is_none_or(|age| age > MAX_UPDATE_GAP);
        let is_first = !state.view.revision().is_known();
        if is_first || state.view.is_rewind(update) || update.full && has_gap() {
            state.complete_since = Some(now);
        }
    }

    /// Records a contact with the store at `contact_at`. This must be called before the age is
    /// updated: the time without contact determines whether registrations may have expired.
    fn record_contact(&self, state: &mut ViewState, contact_at: Duration, now: Duration) {
        let last = self.evidence_ms.load(Ordering::Acquire);
        if last > 0 {
            let outage = contact_at.saturating_sub(Duration::from_millis(last));
            state.grace.record_contact(outage, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn age_of(time_ms: &AtomicU64, now: Duration) -> Option<Duration> {
    match time_ms.load(Ordering::Acquire) {
        0 => None,
        time => Some(now.saturating_sub(Duration::from_millis(time))),
    }
}

fn raise(time_ms: &AtomicU64, time: Duration) {
    // 0 means "never", so the first millisecond of the clock counts as 1.
    let time = (time.as_millis() as u64).max(1);
    time_ms.fetch_max(time, Ordering::AcqRel);
}
