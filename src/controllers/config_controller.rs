//! Keeps the fleet document in force up to date from the platform and the peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_channel::Sender;
use async_std::future;
use async_std::task;

use super::CompiledCopy;
use super::ConfigEntry;
use super::ConfigRefusal;
use super::ConfigSource;
use super::ConfigTracker;
use super::OfferOutcome;
use super::UnreadyReason;
use super::ViewFreshness;
use super::platform_watch;
use crate::clock::boot_now;
use crate::documents::DocumentClient;
use crate::fleet::FleetDocument;
use crate::fleet::FleetView;
use crate::fleet::parse_document;
use crate::ids::FleetVersion;
use crate::ids::HostName;
use crate::logs::StateChange;
use crate::logs::StateLog;
use crate::metrics::RequestMetrics;
use crate::peers::ConfigDigest;
use crate::peers::PeerCall;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::peers::RawDocument;

/// Time limit for fetching a peer's document, which has 1 MiB at most.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of concurrent fetches: a peer may pause right after it announced its
/// version and must not delay the fetch from another one.
const MAX_FETCHES: usize = 3;
/// How long a request waits for a fresh view; enough for two exchanges.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of checking a document's roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterAdmission {
    /// The roster was adopted or is already known.
    Admitted,
    /// The roster can't be checked before peers have reported more.
    Waiting,
    /// The roster can't follow the active one.
    Refused {
        /// The reason.
        reason: String,
    },
}

/// Checks the roster of a document that is otherwise valid.
pub type RosterValidator = dyn Fn(&FleetDocument) -> RosterAdmission + Send + Sync;
/// Called with each view that is put in force.
pub type ViewListener = dyn Fn(&Arc<FleetView>) + Send + Sync;
/// Makes the host exchange digests with its peers immediately.
pub type ExchangeHook = dyn Fn() + Send + Sync;

/// The dependencies of a [`ConfigController`].
pub struct ConfigDependencies {
    /// This host's name.
    pub host: HostName,
    /// The connections to the peers; the controller updates their list of seats.
    pub mesh: Arc<PeerMesh>,
    /// The platform client.
    pub platform: Arc<DocumentClient>,
    /// The log for state changes.
    pub log: Arc<StateLog>,
    /// The metrics registry.
    pub metrics: Arc<RequestMetrics>,
    /// Checks rosters; called while a document is processed, so it must not block.
    pub admit_roster: Box<RosterValidator>,
    /// Called with each view put in force, in order. It must not block, and may call
    /// only [`ConfigController::view`] on the controller.
    pub view_listener: Box<ViewListener>,
}

/// Holds the fleet document in force. Dropping it stops its watch on the platform.
pub struct ConfigController {
    dependencies: ConfigDependencies,
    current: ArcSwapOption<ConfigEntry<FleetView>>,
    tracker: Mutex<ConfigTracker<FleetView>>,
    freshness: Mutex<ViewFreshness>,
    /// The time until which the view is fresh, in milliseconds of the boot clock; read
    /// on the request path.
    fresh_until_ms: AtomicU64,
    /// Closed when the freshness changes; each waiting request holds a receiver.
    fresh_waiters: Mutex<Vec<Sender<()>>>,
    fetches: AtomicUsize,
    exchange: OnceLock<Box<ExchangeHook>>,
    stop: Sender<()>,
}

impl ConfigController {
    /// Starts to follow the platform. Peers are followed through calls to
    /// [`ConfigController::peer_announced`] and [`ConfigController::peer_replied`].
    pub fn spawn(dependencies: ConfigDependencies) -> Arc<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let platform = Arc::clone(&dependencies.platform);
        let controller = Arc::new(Self {
            dependencies,
            current: ArcSwapOption::empty(),
            tracker: Mutex::default(),
            freshness: Mutex::new(ViewFreshness::new(boot_now())),
            fresh_until_ms: AtomicU64::new(0),
            fresh_waiters: Mutex::default(),
            fetches: AtomicUsize::new(0),
            exchange: OnceLock::new(),
            stop,
        });
        let watch = platform_watch::follow(Arc::downgrade(&controller), platform);
        task::spawn(futures_lite::future::or(
            async move {
                stopped.recv().await.ok();
            },
            watch,
        ));
        controller
    }

    /// Sets the function that makes the host exchange digests immediately; only the
    /// first call has an effect.
    pub fn set_exchange_trigger(&self, exchange: Box<ExchangeHook>) {
        self.exchange.set(exchange).ok();
    }

    /// Returns the view in force.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        let current = self.current.load();
        current.as_ref().map(|entry| Arc::clone(&entry.view))
    }

    /// Returns the document in force as it was received.
    pub fn copy(&self) -> Option<RawDocument> {
        let current = self.current.load();
        current.as_ref().map(|entry| entry.copy.clone())
    }

    /// Returns the version and digest in force; zeros if there is none.
    pub fn version_digest(&self) -> (FleetVersion, ConfigDigest) {
        let current = self.current.load();
        current
            .as_ref()
            .map_or((0, [0; 32]), |entry| (entry.copy.version, entry.digest))
    }

    /// Returns the source of the document in force.
    pub fn source(&self) -> Option<ConfigSource> {
        let current = self.current.load();
        current.as_ref().map(|entry| entry.source.clone())
    }

    /// Returns why the last refused document was refused; `None` once a newer one is in
    /// force.
    pub fn last_refusal(&self) -> Option<String> {
        self.tracker().last_refusal().map(ToString::to_string)
    }

    /// Returns the number of refused documents.
    pub fn refusals(&self) -> u64 {
        self.tracker().refusals()
    }

    /// Returns the time since the view was last confirmed.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        self.freshness().age(now)
    }

    /// Returns whether the view is fresh enough for dispatching; `now` is a boot clock
    /// reading.
    pub fn is_fresh(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.fresh_until_ms.load(Ordering::Acquire)
    }

    /// Asks the peers and waits, for a limited time, until the view is fresh; returns
    /// whether it is.
    pub async fn refresh(&self) -> bool {
        let wait = async {
            while !self.is_fresh(boot_now()) {
                let (waiter, changed) = async_channel::bounded::<()>(1);
                lock(&self.fresh_waiters).push(waiter);
                self.trigger_exchange();
                // The channel is only ever closed.
                changed.recv().await.ok();
            }
        };
        future::timeout(REFRESH_TIMEOUT, wait).await.is_ok()
    }

    /// Checks whether the state of the configuration allows the host to serve.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn readiness(&self, now: Duration) -> Result<(), UnreadyReason> {
        self.freshness().readiness(now)
    }

    /// Processes an unsolicited announcement by a peer. It may have waited in a socket
    /// while this process was paused, so it can announce a newer version but confirms
    /// nothing.
    pub fn peer_announced(
        self: &Arc<Self>,
        from: &HostName,
        version: FleetVersion,
        digest: ConfigDigest,
    ) {
        self.compare_peer(from, version, digest);
    }

    /// Processes a peer's reply to a question sent at `asked` (boot clock).
    pub fn peer_replied(
        self: &Arc<Self>,
        from: &HostName,
        version: FleetVersion,
        digest: ConfigDigest,
        asked: Duration,
    ) {
        self.compare_peer(from, version, digest);
        let confirms = {
            let tracker = self.tracker();
            version <= tracker.version() || tracker.has_refused(version)
        };
        if confirms {
            self.freshness().record_peer_confirmation(from, asked);
            self.publish_freshness();
        }
    }

    fn compare_peer(
        self: &Arc<Self>,
        from: &HostName,
        version: FleetVersion,
        digest: ConfigDigest,
    ) {
        let (conflict, wanted) = {
            let mut tracker = self.tracker();
            (
                tracker.compare_peer(version, &digest),
                tracker.wants(version),
            )
        };
        if conflict {
            self.report_refusal(&ConfigRefusal::Conflict { version });
        }
        if wanted {
            self.fetch_from(from.clone(), version);
        }
        self.retry_waiting();
    }

    /// Fetches a peer's document in a separate task.
    fn fetch_from(self: &Arc<Self>, host: HostName, version: FleetVersion) {
        if self.fetches.fetch_add(1, Ordering::AcqRel) >= MAX_FETCHES {
            self.fetches.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        let controller = Arc::downgrade(self);
        let mesh = Arc::clone(&self.dependencies.mesh);
        task::spawn(async move {
            let reply = mesh.call(&host, PeerCall::Document, FETCH_TIMEOUT).await;
            let Some(controller) = controller.upgrade() else {
                return;
            };
            controller.fetches.fetch_sub(1, Ordering::AcqRel);
            if let Ok(PeerReply::Document(Some(copy))) = reply
                && copy.version >= version
            {
                controller.offer(copy, ConfigSource::Peer(host));
            }
        });
    }

    /// Checks a document from any source and puts it in force if it is valid.
    pub fn offer(&self, copy: RawDocument, source: ConfigSource) -> OfferOutcome<FleetView> {
        let mut tracker = self.tracker();
        let before = tracker.refusals();
        let outcome = tracker.offer(copy, source, compile_copy, |view| self.admit(view));
        self.publish_outcome(tracker, before, &outcome);
        outcome
    }

    fn retry_waiting(&self) {
        let mut tracker = self.tracker();
        let before = tracker.refusals();
        if let Some(outcome) = tracker.retry_waiting(|view| self.admit(view)) {
            self.publish_outcome(tracker, before, &outcome);
        }
    }

    fn admit(&self, view: &FleetView) -> RosterAdmission {
        (self.dependencies.admit_roster)(view.document())
    }

    /// Publishes an outcome. The tracker stays locked until the new view is stored and
    /// its listeners were called, so that concurrent offers are stored in the right
    /// order.
    fn publish_outcome(
        &self,
        tracker: MutexGuard<'_, ConfigTracker<FleetView>>,
        refusals_before: u64,
        outcome: &OfferOutcome<FleetView>,
    ) {
        match outcome {
            OfferOutcome::Accepted(entry) => {
                self.put_in_force(entry);
                drop(tracker);
                self.report_accepted(entry);
            }
            OfferOutcome::Refused(refusal) if tracker.refusals() > refusals_before => {
                drop(tracker);
                self.report_refusal(refusal);
            }
            OfferOutcome::Refused(_) | OfferOutcome::InForce | OfferOutcome::Waiting => {}
        }
    }

    fn put_in_force(&self, entry: &Arc<ConfigEntry<FleetView>>) {
        let seats = &entry.view.document().roster.seats;
        let names: Vec<HostName> = seats.iter().map(|seat| seat.host.clone()).collect();
        self.current.store(Some(Arc::clone(entry)));
        self.freshness().set_seats(&self.dependencies.host, &names);
        self.publish_freshness();
        self.dependencies
            .mesh
            .set_peers(&known_peers(entry.view.document()));
        (self.dependencies.view_listener)(&entry.view);
    }

    /// Publishes the new version: peers that are disconnected from the platform follow
    /// within two round trips instead of at their next exchange.
    fn report_accepted(&self, entry: &ConfigEntry<FleetView>) {
        self.trigger_exchange();
        self.dependencies
            .metrics
            .set_fleet_version(entry.copy.version);
        self.dependencies
            .log
            .write(&StateChange::ConfigurationAccepted {
                version: entry.copy.version,
                digest: entry.digest.iter().map(|b| format!("{b:02x}")).collect(),
                peer: match &entry.source {
                    ConfigSource::Platform => None,
                    ConfigSource::Peer(host) => Some(host.clone()),
                },
            });
    }

    fn report_refusal(&self, refusal: &ConfigRefusal) {
        self.dependencies.metrics.count_refused_configuration();
        let (version, faults) = match refusal {
            ConfigRefusal::Conflict { version } => {
                let version = *version;
                let change = StateChange::ConfigurationConflict { version };
                return self.dependencies.log.write(&change);
            }
            ConfigRefusal::Invalid { version, faults } => (*version, faults.len()),
            ConfigRefusal::Older { offered, .. } => (*offered, 1),
            ConfigRefusal::VersionMismatch { declared, .. } => (*declared, 1),
            ConfigRefusal::Roster { version, .. } => (*version, 1),
        };
        self.dependencies
            .log
            .write(&StateChange::ConfigurationRefused {
                version: Some(version),
                faults,
                first_fault: refusal.first_fault(),
            });
    }

    /// Records the result of a read of the platform that began at `asked`.
    pub(super) fn record_platform(&self, asked: Duration, answered: bool) {
        self.freshness().record_platform_request(asked, answered);
        self.publish_freshness();
    }

    /// Logs a change of state.
    pub(super) fn log_state_change(&self, change: &StateChange) {
        self.dependencies.log.write(change);
    }

    /// Publishes the time until which the view is fresh and wakes waiting requests.
    fn publish_freshness(&self) {
        let until = self.freshness().fresh_until();
        self.fresh_until_ms
            .store(until.as_millis() as u64, Ordering::Release);
        lock(&self.fresh_waiters).clear();
    }

    /// Triggers an immediate digest exchange after a change that peers wait for.
    fn trigger_exchange(&self) {
        if let Some(exchange) = self.exchange.get() {
            exchange();
        }
    }

    fn tracker(&self) -> MutexGuard<'_, ConfigTracker<FleetView>> {
        lock(&self.tracker)
    }

    fn freshness(&self) -> MutexGuard<'_, ViewFreshness> {
        lock(&self.freshness)
    }

    /// Stops the watch on the platform.
    pub fn stop(&self) {
        self.stop.close();
    }
}

impl Drop for ConfigController {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A weak reference with which a running task does not keep the controller alive.
pub(super) type WeakController = Weak<ConfigController>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks and compiles a complete document.
fn compile_copy(body: &[u8]) -> Result<CompiledCopy<FleetView>, Vec<String>> {
    let text = std::str::from_utf8(body).map_err(|_| vec!["not UTF-8".to_owned()])?;
    let view = parse_document(text)
        .and_then(FleetView::compile)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    Ok(CompiledCopy {
        version: view.document().version,
        digest: *view.digest(),
        view: Arc::new(view),
    })
}

/// Returns the seats of the roster and of the one that it replaces: during the change,
/// claims need majorities of both.
fn known_peers(document: &FleetDocument) -> Vec<(HostName, SocketAddr)> {
    let former = document.former.iter().flat_map(|former| &former.seats);
    let seats = document.roster.seats.iter().chain(former);
    let mut peers: Vec<(HostName, SocketAddr)> = seats
        .map(|seat| (seat.host.clone(), seat.address))
        .collect();
    peers.sort();
    peers.dedup_by(|later, earlier| later.0 == earlier.0);
    peers
}
