//! State shared by all requests and controllers of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use futures_lite::future::or;

use super::connection_pool::ConnectionPool;
use super::edge_metrics::EdgeMetrics;
use super::edge_settings::EdgeSettings;
use super::edge_settings::RuntimeSettings;
use super::edge_settings::StartupSettings;
use super::fleet_role::FleetRole;
use super::fleet_role::PeerFleetSize;
use super::forward_table::ForwardTable;
use super::gossip_builder::GossipCursors;
use super::header_names::HeaderNames;
use super::part_list::PartListFormat;
use super::part_list_schedule::PartListSchedule;
use crate::clock::boot_now;
use crate::dispatch::DispatchQueue;
use crate::dispatch::PoolMember;
use crate::dispatch::ShardWeights;
use crate::dispatch::SlotGrants;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::ids::TargetName;
use crate::limits::ByteBudget;
use crate::limits::ConnectionTable;
use crate::limits::request_memory_bytes;
use crate::logs::DecisionLine;
use crate::logs::DecisionLog;
use crate::members::GossipSchedule;
use crate::members::MemberTable;
use crate::metrics::RequestMetrics;
use crate::peers::PeerMesh;
use crate::poison::HistoryGap;
use crate::poison::LOSS_RETENTION;
use crate::poison::PartGuard;
use crate::poison::PoisonGuard;
use crate::quota::QuotaLimiter;
use crate::quota::RetryBudget;
use crate::sorted::SortedMap;
use crate::streams::StreamDirectory;
use crate::view::FleetSource;
use crate::view::SharedView;
use crate::view::TargetIncarnation;
use crate::view::ViewChange;

/// Safety margin on the maximum age of key data. It covers the time a request was in
/// transit and the difference between the clock readings of two hosts.
const EVIDENCE_MARGIN: Duration = Duration::from_millis(500);

/// How long a target gets no requests that was removed before the store went back, and that its
/// copy may contain. If the target is gone, its registration expires within that time: targets
/// renew theirs every 1.2 s and lose it after three missed renewals.
const RETURN_PAUSE: Duration = Duration::from_secs(6);

/// Time after the first start of a fleet for which a host rejects a request after one crash instead
/// of two, unless a peer has answered that does not: its peers may know of another crash, and be
/// paused or cut off.
const INFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its start for which requests wait for the first link to a peer, and for a connected
/// peer's answer, which takes a few milliseconds.
const CONNECT_WAIT: Duration = Duration::from_millis(80);
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Shortest time between two rounds of gossip, so that many changes are sent together.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by all requests and controllers of a host.
///
/// A guard returned by an accessor must not be held across an await.
pub(crate) struct EdgeState {
    pub(crate) startup: StartupSettings,
    pub(crate) runtime: ArcSwap<RuntimeSettings>,
    pub(crate) header_names: HeaderNames,
    pub(crate) part_list: PartListFormat,
    pub(crate) incarnation: IncarnationId,
    /// Start of the process, on the boot clock.
    pub(crate) started: Duration,
    pub(crate) view: SharedView,
    pub(crate) queue: Arc<DispatchQueue>,
    /// Whether a peer has answered, with all that it knows.
    has_answer: AtomicBool,
    /// Held while the dispatch table is filled from the view: of two concurrent changes, the
    /// one with the older targets could otherwise replace the newer ones.
    table_refresh: Mutex<()>,
    /// Whether the dispatch table was filled with the pools of a catalog.
    is_table_filled: AtomicBool,
    pub(crate) connections: ConnectionPool,
    /// The connections of callers.
    pub(crate) callers: Arc<ConnectionTable>,
    /// Memory for the bodies of all requests, and for parts of responses that can't be forwarded
    /// yet.
    pub(crate) memory: Arc<ByteBudget>,
    pub(crate) poison: PoisonGuard,
    pub(crate) parts: PartGuard,
    streams: Mutex<StreamDirectory>,
    pub(super) part_lists: PartListSchedule,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: EdgeMetrics,
    /// Latency histograms and response counts by tier, class and account.
    pub(crate) request_metrics: Arc<RequestMetrics>,
    members: Mutex<MemberTable>,
    gossip_schedule: Mutex<GossipSchedule>,
    role: ArcSwap<FleetRole>,
    peer_fleet_size: Mutex<PeerFleetSize>,
    /// Hosts that report to this one, with the time of their last report.
    reporting_hosts: Mutex<SortedMap<HostName, Duration>>,
    /// Number of hosts that each peer knows.
    peer_host_count: Mutex<SortedMap<HostName, usize>>,
    /// Leader candidates that did not respond as leaders, and until when they are
    /// skipped.
    skipped_leaders: Mutex<SortedMap<HostName, Duration>>,
    gossip_cursors: Mutex<GossipCursors>,
    /// Slots granted to the hosts that report to this one.
    slot_grants: Mutex<SlotGrants>,
    /// Ranges of targets of this host's group, while it acts as the leader.
    shard_weights: Mutex<ShardWeights>,
    quota_limiter: Mutex<QuotaLimiter>,
    retry_budget: Mutex<RetryBudget>,
    /// Number of views that are being fetched from peers.
    view_fetches: AtomicUsize,
    /// Time of the stop signal in milliseconds on the boot clock; 0 before it.
    leaving_since: AtomicU64,
    /// Whether new requests are refused because the host is about to exit.
    is_rejecting: AtomicBool,
    active_requests: AtomicUsize,
    /// Wakes the gossip, which would otherwise wait for its next period.
    gossip_wake: (Sender<()>, Receiver<()>),
    /// The links to peers; absent until they are opened.
    mesh: OnceLock<Arc<PeerMesh>>,
    /// The store; absent until the host starts.
    source: OnceLock<Arc<dyn FleetSource>>,
    /// Held while the store is read for a request.
    pub(crate) view_refresh: async_std::sync::Mutex<()>,
    /// Requests that this host forwards to peers.
    pub(crate) forwards: Arc<ForwardTable>,
    /// Requests that peers forward to this host.
    pub(crate) forwarded: Arc<ForwardTable>,
}

/// Counts a request as active until it is dropped.
pub(crate) struct RequestGuard(Arc<EdgeState>);

/// Counts a fetch of a peer's view as in progress until it is dropped.
pub(crate) struct ViewFetchGuard(Arc<EdgeState>);

impl EdgeState {
    /// Creates the state of a host that knows no peers or targets yet.
    pub(crate) fn new(
        settings: EdgeSettings,
        header_names: HeaderNames,
        part_list: PartListFormat,
        log: DecisionLog,
        request_metrics: Arc<RequestMetrics>,
    ) -> Arc<Self> {
        let EdgeSettings { startup, runtime } = settings;
        let tolerance = runtime.bounds.quota_tolerance;
        let started = boot_now();
        let hosts = assumed_hosts(&startup, &runtime);
        let queue = DispatchQueue::new(startup.availability_zone.clone());
        let adapts = runtime.load_control.adapts_to_targets;
        queue.lock_table().set_adapts_to_targets(adapts);
        let incarnation = rand::random();
        let limiter = QuotaLimiter::new(tolerance, hosts, started);
        let memory = ByteBudget::new(request_memory_bytes(startup.memory_bytes));
        let retry_budget = match startup.is_first_start {
            true => RetryBudget::default(),
            false => RetryBudget::restarted(started),
        };
        let gap = HistoryGap::open(gap_length(&startup, &runtime), started);
        Arc::new(Self {
            queue,
            has_answer: AtomicBool::new(false),
            table_refresh: Mutex::default(),
            is_table_filled: AtomicBool::new(false),
            members: Mutex::new(MemberTable::new(startup.host.clone())),
            gossip_schedule: Mutex::new(GossipSchedule::new(startup.host.clone())),
            role: ArcSwap::default(),
            peer_fleet_size: Mutex::default(),
            reporting_hosts: Mutex::default(),
            peer_host_count: Mutex::default(),
            skipped_leaders: Mutex::default(),
            slot_grants: Mutex::default(),
            shard_weights: Mutex::default(),
            gossip_cursors: Mutex::default(),
            startup,
            runtime: ArcSwap::from_pointee(runtime),
            header_names,
            part_list,
            part_lists: PartListSchedule::default(),
            incarnation,
            started,
            view: SharedView::default(),
            connections: ConnectionPool::default(),
            callers: ConnectionTable::new(),
            memory: Arc::clone(&memory),
            poison: PoisonGuard::new(gap),
            parts: PartGuard::default(),
            streams: Mutex::default(),
            log,
            metrics: EdgeMetrics::default(),
            request_metrics,
            quota_limiter: Mutex::new(limiter.with_incarnation(incarnation)),
            retry_budget: Mutex::new(retry_budget),
            view_fetches: AtomicUsize::new(0),
            leaving_since: AtomicU64::new(0),
            is_rejecting: AtomicBool::new(false),
            active_requests: AtomicUsize::new(0),
            gossip_wake: async_channel::bounded(1),
            mesh: OnceLock::new(),
            source: OnceLock::new(),
            view_refresh: async_std::sync::Mutex::new(()),
            forwards: ForwardTable::new(&memory),
            forwarded: ForwardTable::new(&memory),
        })
    }

    /// Returns the addresses at which other hosts may be found.
    pub(crate) fn other_seeds(&self) -> Vec<SocketAddr> {
        other_seeds(&self.startup, &self.runtime.load())
    }

    /// Puts reloaded settings in force.
    pub(crate) fn apply_settings(&self, settings: RuntimeSettings) {
        let tolerance = settings.bounds.quota_tolerance;
        let adapts = settings.load_control.adapts_to_targets;
        self.runtime.store(Arc::new(settings));
        self.queue.lock_table().set_adapts_to_targets(adapts);
        let hosts = assumed_hosts(&self.startup, &self.runtime.load());
        let mut limiter = self.quota_limiter();
        limiter.set_tolerance(tolerance, boot_now());
        limiter.assume_hosts(hosts, boot_now());
    }

    /// Sets the links to peers; they are set once.
    pub(crate) fn set_mesh(&self, mesh: Arc<PeerMesh>) {
        self.mesh.set(mesh).ok();
    }

    /// Sets the store; it is set once.
    pub(crate) fn set_source(&self, source: Arc<dyn FleetSource>) {
        self.source.set(source).ok();
    }

    pub(crate) fn source(&self) -> Option<&Arc<dyn FleetSource>> {
        self.source.get()
    }

    pub(crate) fn mesh(&self) -> Option<&Arc<PeerMesh>> {
        self.mesh.get()
    }

    /// Records a peer's answer to a first call, which lists all losses that it knows; `history_gap` is
    /// what is left of its own gap.
    pub(crate) fn record_answer(&self, history_gap: Duration) {
        self.has_answer.store(true, Ordering::Release);
        self.poison.gap.merge(history_gap, boot_now());
    }

    /// Returns whether this host knows of all crashes that still count. A host that has met no peer
    /// may be one of many that have not.
    pub(crate) fn is_informed(&self) -> bool {
        let has_peers = self.has_met_peer() || self.other_seeds().is_empty();
        has_peers && self.poison.gap.is_closed(boot_now())
    }

    /// Returns the number of hosts among which bounds are divided, where `known` are known: those
    /// behind the seeds at least, until one was met.
    pub(crate) fn least_hosts(&self, known: usize) -> usize {
        match self.has_met_peer() {
            true => known,
            false => known.max(assumed_hosts(&self.startup, &self.runtime.load())),
        }
    }

    /// Returns whether this host has learned of another one since its start.
    fn has_met_peer(&self) -> bool {
        self.has_answer.load(Ordering::Acquire) || self.members().size() > 1
    }

    /// Returns whether requests wait for the answer of a connected peer before the first is sent.
    pub(crate) fn awaits_peers(&self) -> bool {
        let is_soon = || match self.connected_peers().is_empty() {
            true => self.uptime() < CONNECT_WAIT,
            false => self.uptime() < ANSWER_WAIT,
        };
        !self.has_answer.load(Ordering::Acquire) && is_soon() && !self.other_seeds().is_empty()
    }

    fn uptime(&self) -> Duration {
        boot_now().saturating_sub(self.started)
    }

    /// Returns the connected peers, sorted.
    pub(crate) fn connected_peers(&self) -> Vec<HostName> {
        self.mesh()
            .map_or_else(Vec::new, |mesh| mesh.connected_peers())
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.members)
    }

    pub(crate) fn gossip_schedule(&self) -> MutexGuard<'_, GossipSchedule> {
        lock(&self.gossip_schedule)
    }

    pub(crate) fn reporting_hosts(&self) -> MutexGuard<'_, SortedMap<HostName, Duration>> {
        lock(&self.reporting_hosts)
    }

    pub(crate) fn slot_grants(&self) -> MutexGuard<'_, SlotGrants> {
        lock(&self.slot_grants)
    }

    pub(crate) fn shard_weights(&self) -> MutexGuard<'_, ShardWeights> {
        lock(&self.shard_weights)
    }

    /// Sends what has changed to all peers at once.
    pub(crate) fn gossip_now(&self) {
        self.gossip_schedule().expedite_all();
        // A full channel has woken the gossip already.
        self.gossip_wake.0.try_send(()).ok();
    }

    /// Waits for the next period of gossip, or until changes are to be sent at once.
    pub(crate) async fn wait_for_gossip(&self, period: Duration) {
        let woken = async {
            self.gossip_wake.1.recv().await.ok();
            task::sleep(MIN_GOSSIP_INTERVAL).await;
        };
        or(task::sleep(period), woken).await;
    }

    pub(crate) fn streams(&self) -> MutexGuard<'_, StreamDirectory> {
        lock(&self.streams)
    }

    pub(crate) fn role(&self) -> Arc<FleetRole> {
        self.role.load_full()
    }

    pub(crate) fn set_role(&self, role: Arc<FleetRole>) {
        self.role.store(role);
    }

    /// Returns the largest fleet size that peers reported recently.
    pub(crate) fn peer_fleet_size(&self) -> PeerFleetSize {
        *lock(&self.peer_fleet_size)
    }

    /// Updates the fleet size from the report of a peer.
    pub(crate) fn update_fleet_size(&self, hosts: usize, grouped: bool, now: Duration) {
        lock(&self.peer_fleet_size).update(hosts, grouped, now);
    }

    /// Returns the number of hosts that a peer knows, by its last report.
    pub(crate) fn peer_host_count(&self, host: &str) -> usize {
        lock(&self.peer_host_count).get(host).copied().unwrap_or(0)
    }

    /// Updates the number of hosts that a peer knows.
    pub(crate) fn update_host_count(&self, host: &HostName, hosts: usize) {
        lock(&self.peer_host_count).insert(host.clone(), hosts);
    }

    /// Returns the number of hosts by recent reports of peers; 0 if there are none.
    pub(crate) fn reported_fleet_size(&self) -> usize {
        self.peer_fleet_size().get(boot_now()).0
    }

    /// Records that a view is being fetched from a peer, until the guard is dropped.
    pub(crate) fn track_view_fetch(self: &Arc<Self>) -> ViewFetchGuard {
        self.view_fetches.fetch_add(1, Ordering::AcqRel);
        ViewFetchGuard(Arc::clone(self))
    }

    /// Returns whether a view is being fetched from a peer.
    pub(crate) fn is_fetching_view(&self) -> bool {
        self.view_fetches.load(Ordering::Acquire) > 0
    }

    /// Skips a leader candidate until the given time.
    pub(crate) fn skip_leader(&self, host: &HostName, until: Duration) {
        lock(&self.skipped_leaders).insert(host.clone(), until);
    }

    pub(crate) fn is_skipped_leader(&self, host: &HostName, now: Duration) -> bool {
        let mut skipped = lock(&self.skipped_leaders);
        skipped.retain(|_, until| *until > now);
        skipped.contains_key(host)
    }

    /// Returns the loads that were sent last and the positions of the next messages.
    pub(crate) fn gossip_cursors(&self) -> MutexGuard<'_, GossipCursors> {
        lock(&self.gossip_cursors)
    }

    pub(crate) fn quota_limiter(&self) -> MutexGuard<'_, QuotaLimiter> {
        lock(&self.quota_limiter)
    }

    /// Takes a retry from the retry budget of all hosts; returns whether one was left.
    pub(crate) fn try_retry(&self, pool: &str) -> bool {
        let bounds = self.runtime.load().bounds.retry_bounds();
        let known = self.members().size();
        let hosts = self.least_hosts(known);
        lock(&self.retry_budget).try_retry(pool, bounds, hosts, boot_now())
    }

    /// Returns whether the retry budget of all hosts permits another retry.
    pub(crate) fn can_retry(&self, pool: &str) -> bool {
        let bounds = self.runtime.load().bounds.retry_bounds();
        let known = self.members().size();
        let hosts = self.least_hosts(known);
        lock(&self.retry_budget).can_retry(pool, bounds, hosts, boot_now())
    }

    /// Counts a request towards the retry budget of its pool.
    pub(crate) fn record_request(&self, pool: &str) {
        let bounds = self.runtime.load().bounds.retry_bounds();
        lock(&self.retry_budget).record_request(pool, bounds, boot_now());
    }

    /// Returns the age of the last confirmation that the configuration, and so the keys,
    /// are current.
    pub(crate) fn evidence_age(&self) -> Option<Duration> {
        self.view.evidence_age(boot_now())
    }

    /// Returns the age of the view of the targets, in milliseconds.
    pub(crate) fn view_age_ms(&self) -> Option<u64> {
        let age = self.view.view_age(boot_now())?;
        Some(age.as_millis() as u64)
    }

    /// Returns whether the key data is recent enough to admit a request with a key.
    ///
    /// A host that was cut off from the store or suspended would otherwise admit keys
    /// that have been revoked since. The age is measured on the boot clock, which also
    /// advances during a suspension.
    pub(crate) fn has_fresh_keys(&self) -> bool {
        let bound = self.runtime.load().bounds.max_key_age;
        match (bound, self.evidence_age()) {
            (None, age) => age.is_some(),
            (Some(bound), Some(age)) => age + EVIDENCE_MARGIN < bound,
            (Some(_), None) => false,
        }
    }

    /// Returns whether the view is recent enough to report a route or key as unknown.
    pub(crate) fn can_confirm_absence(&self) -> bool {
        let bound = self.runtime.load().bounds.max_configuration_delay;
        self.evidence_age().is_some_and(|age| age < bound * 2)
    }

    /// Returns whether the load balancer should send new connections to this host. The dispatch
    /// table is filled a moment after the view; a request in between would find no target.
    pub(crate) fn is_ready(&self) -> bool {
        let has_targets = self.is_table_filled.load(Ordering::Acquire);
        !self.is_leaving() && has_targets && self.has_fresh_keys() && !self.awaits_peers()
    }

    /// Starts the graceful shutdown.
    pub(crate) fn begin_leaving(&self) {
        let now = boot_now().as_millis() as u64;
        self.leaving_since
            .compare_exchange(0, now.max(1), Ordering::AcqRel, Ordering::Acquire)
            .ok();
    }

    /// Returns whether the host is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_for().is_some()
    }

    /// Returns the time since the shutdown started.
    pub(crate) fn leaving_for(&self) -> Option<Duration> {
        match self.leaving_since.load(Ordering::Acquire) {
            0 => None,
            since => Some(boot_now().saturating_sub(Duration::from_millis(since))),
        }
    }

    /// Returns the number of live hosts, including this one.
    pub(crate) fn live_host_count(&self) -> usize {
        self.members().live_count(boot_now()) + 1
    }

    /// Returns the number of live hosts whose names sort before this one's.
    pub(crate) fn own_rank(&self) -> usize {
        let names = self.members().live_names(boot_now());
        names.partition_point(|name| *name < self.startup.host)
    }

    /// Refuses all requests from now on.
    pub(crate) fn stop_accepting(&self) {
        self.is_rejecting.store(true, Ordering::Release);
    }

    /// Returns whether new requests are admitted.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.is_rejecting.load(Ordering::Acquire)
    }

    /// Counts a request as active until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> RequestGuard {
        self.active_requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(Arc::clone(self))
    }

    pub(crate) fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Acquire)
    }

    /// Applies a change of the view to the dispatch table and logs it.
    pub(crate) fn apply_change(&self, change: ViewChange, peer: Option<&HostName>) {
        if change.is_empty() {
            return;
        }
        if let Some(catalog) = change.catalog {
            self.log.write(&DecisionLine::CatalogInForce {
                catalog,
                peer: peer.cloned(),
            });
        }
        if let Some(rewind) = change.rewind {
            self.log.write(&DecisionLine::StoreRewound {
                from: rewind.from,
                to: rewind.to,
                leaving: target_names(&change.leaving),
                returning: target_names(&change.returning),
            });
            self.keep_departed(change.leaving, change.returning);
        }
        self.streams().add_versions(change.versions, boot_now());
        self.refresh_targets();
        for evacuation in change.evacuations {
            self.log.write(&DecisionLine::ZoneEvacuation {
                availability_zone: evacuation.availability_zone,
                revision: evacuation.revision,
                active: evacuation.active,
            });
        }
        if !change.changed.is_empty() || !change.removed.is_empty() {
            self.log.write(&DecisionLine::TargetsChanged {
                revision: self.view.held_versions().0,
                changed: change.changed,
                gone: change.removed,
            });
        }
    }

    /// Keeps targets out of use that were leaving or removed before the store went back to a copy
    /// in which they may be ready. Peers learn of them, since those that start now know only the
    /// copy.
    fn keep_departed(&self, leaving: Vec<TargetIncarnation>, returning: Vec<TargetIncarnation>) {
        let now = boot_now();
        let mut table = self.queue.lock_table();
        for target in leaving {
            table.record_leaving(target, now);
        }
        for target in returning {
            table.record_returning(target, RETURN_PAUSE, now);
        }
    }

    fn refresh_targets(&self) {
        let refresh = lock(&self.table_refresh);
        let catalog = self.view.catalog();
        let evacuated = self.view.evacuated_zones();
        let targets = self.view.targets();
        let versions = targets
            .iter()
            .map(|target| (target.pool.clone(), target.software_version.clone()));
        self.streams().update_versions(versions, boot_now());
        let members = targets.into_iter().map(|record| {
            let catalog = catalog.as_ref();
            let pool = catalog.and_then(|catalog| catalog.find_pool(&record.pool));
            PoolMember {
                engine: pool.is_some_and(|pool| pool.engine),
                cold_limit: pool.and_then(|pool| pool.cold_limit),
                evacuated: evacuated.binary_search(&record.availability_zone).is_ok(),
                record,
            }
        });
        let members = members.collect();
        let mut table = self.queue.lock_table();
        table.set_targets(members, boot_now());
        drop(table);
        if catalog.is_some() {
            self.is_table_filled.store(true, Ordering::Release);
        }
        drop(refresh);
        self.queue.assign_waiting();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for ViewFetchGuard {
    fn drop(&mut self) {
        self.0.view_fetches.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the seeds without this host's own address.
fn other_seeds(startup: &StartupSettings, runtime: &RuntimeSettings) -> Vec<SocketAddr> {
    let seeds = runtime.seeds.iter().copied();
    seeds.filter(|seed| *seed != startup.peer_address).collect()
}

/// Returns the least number of hosts until peers are known.
fn assumed_hosts(startup: &StartupSettings, runtime: &RuntimeSettings) -> usize {
    other_seeds(startup, runtime).len() + 1
}

/// Returns how long losses from before the start of this host may count.
fn gap_length(startup: &StartupSettings, runtime: &RuntimeSettings) -> Duration {
    match startup.is_first_start {
        true if other_seeds(startup, runtime).is_empty() => Duration::ZERO,
        true => INFORM_TIMEOUT,
        false => LOSS_RETENTION,
    }
}

fn target_names(targets: &[TargetIncarnation]) -> Vec<TargetName> {
    targets.iter().map(|target| target.name.clone()).collect()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
