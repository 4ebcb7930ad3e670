//! The fleet document in force, kept up from the platform and the peers.

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

/// How long a peer may take to send its document, a mebibyte at most.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// How many documents are fetched at once: one peer may be paused just after it
/// told its version, and must not hold up the fetch from another.
const MAX_FETCHES: usize = 3;
/// How long a request waits for a fresh view; two exchanges fit in.
const REFRESH_LIMIT: Duration = Duration::from_secs(1);

/// What the roster rules say to a document's roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RosterAdmission {
    /// The roster was taken up, or is the one that is known already.
    Admitted,
    /// It can't be judged before peers told more.
    Waiting,
    /// It can't follow the roster that is active.
    Refused {
        /// Why.
        reason: String,
    },
}

/// Judges the roster of a document that is sound otherwise.
pub type RosterValidator = dyn Fn(&FleetDocument) -> RosterAdmission + Send + Sync;
/// Is told of each view that is put in force.
pub type ViewListener = dyn Fn(&Arc<FleetView>) + Send + Sync;
/// Makes the host exchange digests with its peers at once.
pub type ExchangeHook = dyn Fn() + Send + Sync;

/// What a controller stands on.
pub struct ConfigParts {
    /// This host's name.
    pub host: HostName,
    /// The connections to the peers; the controller keeps its seats up to date.
    pub mesh: Arc<PeerMesh>,
    /// The platform.
    pub platform: Arc<DocumentClient>,
    /// Takes the changes of state.
    pub log: Arc<StateLog>,
    /// Takes the counters.
    pub metrics: Arc<RequestMetrics>,
    /// Judges rosters; called while a document is judged, so it must not wait.
    pub admit_roster: Box<RosterValidator>,
    /// Is told of each view put in force, in order; must not wait, and of the
    /// controller it may only read the view.
    pub accepted: Box<ViewListener>,
}

/// The fleet document in force. Dropping it ends its watch.
pub struct ConfigController {
    parts: ConfigParts,
    current: ArcSwapOption<ConfigEntry<FleetView>>,
    ledger: Mutex<ConfigTracker<FleetView>>,
    freshness: Mutex<ViewFreshness>,
    /// Until when the view is fresh, in milliseconds of the boot clock; what
    /// the path of a request reads.
    fresh_until_ms: AtomicU64,
    /// Closed when freshness changed; each waiting request holds a receiver.
    fresh_waiters: Mutex<Vec<Sender<()>>>,
    fetches: AtomicUsize,
    exchange: OnceLock<Box<ExchangeHook>>,
    stop: Sender<()>,
}

impl ConfigController {
    /// Follows the platform from now on. Peers are followed by what the caller
    /// tells with [`ConfigController::heard`] and [`ConfigController::answered`].
    pub fn spawn(parts: ConfigParts) -> Arc<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let platform = Arc::clone(&parts.platform);
        let controller = Arc::new(Self {
            parts,
            current: ArcSwapOption::empty(),
            ledger: Mutex::default(),
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

    /// Sets what makes the host exchange digests at once; the first call counts.
    pub fn set_exchange(&self, exchange: Box<ExchangeHook>) {
        self.exchange.set(exchange).ok();
    }

    /// Returns the view in force.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        let current = self.current.load();
        current.as_ref().map(|entry| Arc::clone(&entry.view))
    }

    /// Returns the document in force as it came.
    pub fn copy(&self) -> Option<RawDocument> {
        let current = self.current.load();
        current.as_ref().map(|entry| entry.copy.clone())
    }

    /// Returns the version and digest in force; zeroes when there is none.
    pub fn version_digest(&self) -> (FleetVersion, ConfigDigest) {
        let current = self.current.load();
        current
            .as_ref()
            .map_or((0, [0; 32]), |entry| (entry.copy.version, entry.digest))
    }

    /// Returns where the document in force came from.
    pub fn source(&self) -> Option<ConfigSource> {
        let current = self.current.load();
        current.as_ref().map(|entry| entry.source.clone())
    }

    /// Returns why the last refused document was refused; nothing once a newer
    /// one is in force.
    pub fn last_refusal(&self) -> Option<String> {
        self.ledger().last_refusal().map(ToString::to_string)
    }

    /// Returns how many documents were refused.
    pub fn refusals(&self) -> u64 {
        self.ledger().refusals()
    }

    /// Returns how long ago the view was last confirmed.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        self.freshness().age(now)
    }

    /// Tells whether the view is fresh enough to dispatch by; `now` is of the boot clock.
    pub fn is_fresh(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.fresh_until_ms.load(Ordering::Acquire)
    }

    /// Asks the peers and waits until the view is fresh, for a bounded time;
    /// returns whether it is.
    pub async fn refresh(&self) -> bool {
        let wait = async {
            while !self.is_fresh(boot_now()) {
                let (waiter, changed) = async_channel::bounded::<()>(1);
                lock(&self.fresh_waiters).push(waiter);
                self.exchange_soon();
                // Closed, never sent to.
                changed.recv().await.ok();
            }
        };
        future::timeout(REFRESH_LIMIT, wait).await.is_ok()
    }

    /// Tells whether the host may serve, as far as the configuration goes.
    ///
    /// # Errors
    ///
    /// What is missing.
    pub fn readiness(&self, now: Duration) -> Result<(), UnreadyReason> {
        self.freshness().readiness(now)
    }

    /// Takes what a peer said unasked. It may have waited in a socket while this
    /// process was paused, so it can bring news but confirms nothing.
    pub fn heard(self: &Arc<Self>, from: &HostName, version: FleetVersion, digest: ConfigDigest) {
        self.note_peer(from, version, digest);
    }

    /// Takes what a peer answered to a question that was sent at `asked` (boot clock).
    pub fn answered(
        self: &Arc<Self>,
        from: &HostName,
        version: FleetVersion,
        digest: ConfigDigest,
        asked: Duration,
    ) {
        self.note_peer(from, version, digest);
        let settled = {
            let ledger = self.ledger();
            version <= ledger.version() || ledger.has_refused(version)
        };
        if settled {
            self.freshness().peer_confirmed(from, asked);
            self.show_freshness();
        }
    }

    fn note_peer(self: &Arc<Self>, from: &HostName, version: FleetVersion, digest: ConfigDigest) {
        let (conflict, wanted) = {
            let mut ledger = self.ledger();
            (ledger.note_peer(version, &digest), ledger.wants(version))
        };
        if conflict {
            self.tell_refusal(&ConfigRefusal::Conflict { version });
        }
        if wanted {
            self.fetch_from(from.clone(), version);
        }
        self.retry_waiting();
    }

    /// Fetches a peer's document in a task of its own.
    fn fetch_from(self: &Arc<Self>, host: HostName, version: FleetVersion) {
        if self.fetches.fetch_add(1, Ordering::AcqRel) >= MAX_FETCHES {
            self.fetches.fetch_sub(1, Ordering::AcqRel);
            return;
        }
        let controller = Arc::downgrade(self);
        let mesh = Arc::clone(&self.parts.mesh);
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

    /// Judges a document of any source and puts it in force if it is good.
    pub fn offer(&self, copy: RawDocument, source: ConfigSource) -> OfferOutcome<FleetView> {
        let mut ledger = self.ledger();
        let before = ledger.refusals();
        let outcome = ledger.offer(copy, source, compile_copy, |view| self.admit(view));
        self.settle(ledger, before, &outcome);
        outcome
    }

    fn retry_waiting(&self) {
        let mut ledger = self.ledger();
        let before = ledger.refusals();
        if let Some(outcome) = ledger.retry_waiting(|view| self.admit(view)) {
            self.settle(ledger, before, &outcome);
        }
    }

    fn admit(&self, view: &FleetView) -> RosterAdmission {
        (self.parts.admit_roster)(view.document())
    }

    /// Makes an outcome known. The ledger stays locked until the new view is
    /// stored and told: two offers at once must not be stored in the wrong order.
    fn settle(
        &self,
        ledger: MutexGuard<'_, ConfigTracker<FleetView>>,
        refusals_before: u64,
        outcome: &OfferOutcome<FleetView>,
    ) {
        match outcome {
            OfferOutcome::Accepted(entry) => {
                self.put_in_force(entry);
                drop(ledger);
                self.tell_accepted(entry);
            }
            OfferOutcome::Refused(refusal) if ledger.refusals() > refusals_before => {
                drop(ledger);
                self.tell_refusal(refusal);
            }
            OfferOutcome::Refused(_) | OfferOutcome::InForce | OfferOutcome::Waiting => {}
        }
    }

    fn put_in_force(&self, entry: &Arc<ConfigEntry<FleetView>>) {
        let seats = &entry.view.document().roster.seats;
        let names: Vec<HostName> = seats.iter().map(|seat| seat.host.clone()).collect();
        self.current.store(Some(Arc::clone(entry)));
        self.freshness().set_seats(&self.parts.host, &names);
        self.show_freshness();
        self.parts
            .mesh
            .set_peers(&known_peers(entry.view.document()));
        (self.parts.accepted)(&entry.view);
    }

    /// Pushes the news on: peers that are cut from the platform follow within
    /// two round trips instead of at their next turn.
    fn tell_accepted(&self, entry: &ConfigEntry<FleetView>) {
        self.exchange_soon();
        self.parts.metrics.set_fleet_version(entry.copy.version);
        self.parts.log.write(&StateChange::ConfigurationAccepted {
            version: entry.copy.version,
            digest: entry.digest.iter().map(|b| format!("{b:02x}")).collect(),
            peer: match &entry.source {
                ConfigSource::Platform => None,
                ConfigSource::Peer(host) => Some(host.clone()),
            },
        });
    }

    fn tell_refusal(&self, refusal: &ConfigRefusal) {
        self.parts.metrics.count_refused_configuration();
        let (version, faults) = match refusal {
            ConfigRefusal::Conflict { version } => {
                let version = *version;
                let change = StateChange::ConfigurationConflict { version };
                return self.parts.log.write(&change);
            }
            ConfigRefusal::Invalid { version, faults } => (*version, faults.len()),
            ConfigRefusal::Older { offered, .. } => (*offered, 1),
            ConfigRefusal::VersionMismatch { declared, .. } => (*declared, 1),
            ConfigRefusal::Roster { version, .. } => (*version, 1),
        };
        self.parts.log.write(&StateChange::ConfigurationRefused {
            version: Some(version),
            faults,
            first_fault: refusal.first_fault(),
        });
    }

    /// Notes how a read of the platform that began at `asked` ended.
    pub(super) fn note_platform(&self, asked: Duration, answered: bool) {
        self.freshness().platform_asked(asked, answered);
        self.show_freshness();
    }

    /// Writes a change of state.
    pub(super) fn tell(&self, change: &StateChange) {
        self.parts.log.write(change);
    }

    /// Publishes until when the view is fresh, and wakes the requests that wait.
    fn show_freshness(&self) {
        let until = self.freshness().fresh_until();
        self.fresh_until_ms
            .store(until.as_millis() as u64, Ordering::Release);
        lock(&self.fresh_waiters).clear();
    }

    /// Makes the host exchange digests at once: something changed that peers wait for.
    fn exchange_soon(&self) {
        if let Some(exchange) = self.exchange.get() {
            exchange();
        }
    }

    fn ledger(&self) -> MutexGuard<'_, ConfigTracker<FleetView>> {
        lock(&self.ledger)
    }

    fn freshness(&self) -> MutexGuard<'_, ViewFreshness> {
        lock(&self.freshness)
    }

    /// Ends the watch of the platform.
    pub fn stop(&self) {
        self.stop.close();
    }
}

impl Drop for ConfigController {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A controller that a running task refers to without keeping it alive.
pub(super) type WeakController = Weak<ConfigController>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks a document whole and compiles it.
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

/// The seats of the roster and of the one that it replaces: while the change is
/// under way, claims need a majority of both.
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
