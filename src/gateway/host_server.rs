//! Sets up one host and runs it until it is told to leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;

use async_std::io;
use async_std::task;
use futures_lite::future::or;

use super::CallerService;
use super::HostState;
use super::PeerService;
use crate::answers::AnswerCache;
use crate::claim::RegisterSettings;
use crate::claim::SeatRegister;
use crate::clock::boot_now;
use crate::clock::unix_now;
use crate::controllers::ClaimCoordinator;
use crate::controllers::ConfigController;
use crate::controllers::ConfigDependencies;
use crate::controllers::DigestController;
use crate::controllers::DrainState;
use crate::controllers::HostTracker;
use crate::controllers::PeerWatch;
use crate::controllers::RosterAdmission;
use crate::controllers::RosterValidator;
use crate::controllers::TargetController;
use crate::controllers::ViewListener;
use crate::controllers::WorkController;
use crate::documents::DocumentClient;
use crate::fleet::FleetLimits;
use crate::ids::FleetVersion;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::limits::AccountLimiter;
use crate::limits::ByteBudget;
use crate::limits::ConnectionTable;
use crate::limits::request_memory_bytes;
use crate::logs::StateChange;
use crate::logs::StateLog;
use crate::metrics::RequestMetrics;
use crate::operators::OperatorService;
use crate::peers::PeerIdentity;
use crate::peers::PeerListener;
use crate::peers::PeerMesh;
use crate::poison::HistoryGap;
use crate::poison::LOSS_RETENTION;
use crate::poison::PoisonGuard;
use crate::policy::PolicySettings;
use crate::recorder::TraceRecorder;
use crate::roster::RosterDecision;
use crate::roster::RosterPlan;
use crate::roster::SeatIncarnation;
use crate::settings::HostSettings;
use crate::signals::ProcessSignal;
use crate::signals::ProcessSignals;

/// How often expired answers are removed.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// How often the host checks its own state for changes to log; shorter changes show up
/// only in the counters.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a leaving host still accepts connections, so that the load balancer sees
/// `/ready` fail before connections are refused.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Runs one host until it is told to leave.
///
/// # Errors
///
/// An address can't be bound, or a part of the process can't be set up.
pub async fn serve_host(settings: &HostSettings, signals: ProcessSignals) -> io::Result<()> {
    HostServer::open(settings).await?.run(signals).await;
    Ok(())
}

/// One running host; several may run in one process.
///
/// Dropping it closes its listeners and aborts every connection, as the end of the
/// process does; [`HostServer::stop`] shuts down without aborting anything.
pub struct HostServer {
    state: Arc<HostState>,
    callers: CallerService,
    operators: OperatorService,
    peers: PeerListener,
    _digests: Arc<DigestController>,
    _peer_watch: PeerWatch,
}

impl HostServer {
    /// Opens every part of a host and starts serving.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or a part of the process can't be set up.
    pub async fn open(settings: &HostSettings) -> io::Result<Self> {
        let incarnation: IncarnationId = rand::random();
        let metrics = RequestMetrics::open().map_err(io::Error::other)?;
        let log = StateLog::open(settings.log_level, metrics.clone()).map_err(io::Error::other)?;
        let log = Arc::new(log);
        let mesh = PeerMesh::spawn(
            PeerIdentity::from(settings),
            settings.peer_addresses.clone(),
        );
        let claims = open_claims(settings, incarnation, &mesh, &log);
        let policy_settings = PolicySettings {
            incarnation,
            ..PolicySettings::default()
        };
        let work = WorkController::spawn(settings.host.clone(), policy_settings);
        let limiter = Arc::new(AccountLimiter::default());
        let kept_bytes = FleetLimits::default().kept_answer_bytes;
        let answers = Arc::new(AnswerCache::new(kept_bytes as usize));
        // The target controller needs the configuration controller and is created after it.
        let targets_cell = Arc::new(OnceLock::new());
        let config = ConfigController::spawn(ConfigDependencies {
            host: settings.host.clone(),
            mesh: mesh.clone(),
            platform: Arc::new(open_platform(settings)),
            log: log.clone(),
            metrics: metrics.clone(),
            admit_roster: admit_rosters(claims.clone()),
            view_listener: apply_views(
                settings.host.clone(),
                work.clone(),
                limiter.clone(),
                answers.clone(),
                targets_cell.clone(),
            ),
        });
        let targets = TargetController::spawn(
            config.clone(),
            work.clone(),
            Arc::new(open_platform(settings)),
            log.clone(),
        );
        targets_cell.set(Arc::downgrade(&targets)).ok();
        if let Some(view) = config.view() {
            targets.apply_view(&view);
        }
        let gap_length = match settings.first_start {
            true => Duration::ZERO,
            false => LOSS_RETENTION,
        };
        let gap = HistoryGap::open(gap_length, boot_now());
        let suspects = Arc::new(PoisonGuard::new(gap));
        let digests = DigestController::spawn(
            mesh.clone(),
            config.clone(),
            claims.clone(),
            work.clone(),
            suspects.clone(),
        );
        let recorder = match &settings.trace_file {
            Some(path) => Some(TraceRecorder::open(path, settings.host.clone()).await?),
            None => None,
        };
        let state = Arc::new(HostState {
            host: settings.host.clone(),
            incarnation,
            config,
            limiter,
            work,
            claims,
            targets,
            suspects,
            digests: digests.clone(),
            callers: ConnectionTable::new(),
            memory: ByteBudget::new(request_memory_bytes(settings.memory_bytes())),
            answers,
            mesh,
            recorder,
            metrics,
            log,
            drain: DrainState::default(),
        });
        Self::bind(settings, state, digests).await
    }

    async fn bind(
        settings: &HostSettings,
        state: Arc<HostState>,
        digests: Arc<DigestController>,
    ) -> io::Result<Self> {
        let service = Arc::new(PeerService::new(state.clone(), digests.clone()));
        let identity = PeerIdentity::from(settings);
        let peers = PeerListener::bind(settings.peer_address, identity, service).await?;
        let callers = CallerService::bind(
            settings.caller_address,
            settings.memory_bytes(),
            state.clone(),
        )
        .await?;
        let operators = OperatorService::bind(settings.operator_address, state.clone()).await?;
        let peer_watch = PeerWatch::spawn(
            &state.mesh,
            peers.counters().clone(),
            state.log.clone(),
            state.metrics.clone(),
        );
        task::spawn(evict_answers(state.clone()));
        state.log.write(&StateChange::Started {
            host: settings.host.clone(),
            program: env!("CARGO_PKG_VERSION"),
            caller_address: callers.address(),
        });
        task::spawn(log_state_changes(state.clone()));
        Ok(Self {
            state,
            callers,
            operators,
            peers,
            _digests: digests,
            _peer_watch: peer_watch,
        })
    }

    /// Returns the address for callers, with the bound port.
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for peers, with the bound port.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address for operators, with the bound port.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns why the host accepts no requests; `None` if it does.
    pub fn unready_reason(&self) -> Option<String> {
        self.state.unready_reason()
    }

    /// Returns the version of the fleet document in force, if there is one.
    pub fn version_in_force(&self) -> Option<FleetVersion> {
        self.state.view().map(|view| view.document().version)
    }

    /// Drains the host: accepts no new requests and returns once none is left.
    pub async fn stop(self) {
        self.drain().await;
    }

    /// Serves until SIGTERM or SIGINT, then drains; a second one aborts the drain. SIGHUP is
    /// logged and has no other effect, since none of the settings can change at run time.
    pub async fn run(self, mut signals: ProcessSignals) {
        self.wait_for_shutdown(&mut signals).await;
        or(self.wait_for_shutdown(&mut signals), self.drain()).await;
    }

    async fn wait_for_shutdown(&self, signals: &mut ProcessSignals) {
        while signals.next().await == ProcessSignal::HangUp {
            self.state.log.write(&StateChange::HangUpIgnored);
        }
    }

    /// Drains the host: waiting requests are forwarded to peers or refused with a proof
    /// that they did not run; running ones complete here.
    async fn drain(&self) {
        let state = &self.state;
        let (waiting, running) = state.work.counts();
        state.drain.leave();
        state.log.write(&StateChange::DrainBegan {
            waiting: waiting.values().sum::<u32>() as usize,
            running: running.values().sum::<u32>() as usize,
        });
        state.work.drain();
        task::sleep(DRAIN_NOTICE).await;
        state.drain.wait_idle().await;
        state.log.write(&StateChange::DrainEnded);
    }
}

fn open_claims(
    settings: &HostSettings,
    incarnation: IncarnationId,
    mesh: &Arc<PeerMesh>,
    log: &Arc<StateLog>,
) -> Arc<ClaimCoordinator> {
    let seat_incarnation = SeatIncarnation {
        started: unix_now(),
        id: incarnation,
    };
    let limits = FleetLimits::default();
    let register = RegisterSettings {
        window_ms: limits.claim_window_ms,
        skew_ms: limits.clock_skew_ms,
        ..RegisterSettings::default()
    };
    let seat = SeatRegister::open(settings.host.clone(), seat_incarnation, register);
    ClaimCoordinator::open(
        settings.host.clone(),
        incarnation,
        seat,
        mesh.clone(),
        log.clone(),
    )
}

async fn evict_answers(state: Arc<HostState>) {
    loop {
        task::sleep(EVICTION_INTERVAL).await;
        state.answers.evict(boot_now());
    }
}

/// Logs each change of the host's own state.
async fn log_state_changes(state: Arc<HostState>) {
    let mut tracker = HostTracker::default();
    loop {
        for change in tracker.update(state.snapshot()) {
            state.log.write(&change);
        }
        task::sleep(STATE_POLL_INTERVAL).await;
    }
}

fn open_platform(settings: &HostSettings) -> DocumentClient {
    DocumentClient::new(settings.platform_addresses.clone(), settings.scope.clone())
}

/// Returns a callback by which this host's seat admits or refuses a document's roster.
fn admit_rosters(claims: Arc<ClaimCoordinator>) -> Box<RosterValidator> {
    Box::new(move |document| {
        let plan = RosterPlan::of_document(document);
        let mut register = claims.register();
        let limits = &document.limits;
        let former = register.set_limits(limits.claim_window_ms, limits.clock_skew_ms);
        let decision = register.roster_mut().offer(plan, unix_now());
        if !matches!(
            decision,
            Ok(RosterDecision::Accepted | RosterDecision::Unchanged)
        ) {
            // A document is refused as a whole, including its limits.
            let (window_ms, skew_ms) = former;
            register.set_limits(window_ms, skew_ms);
        }
        match decision {
            Ok(RosterDecision::Accepted | RosterDecision::Unchanged) => RosterAdmission::Admitted,
            Ok(RosterDecision::Waiting) => RosterAdmission::Waiting,
            Err(refusal) => RosterAdmission::Refused {
                reason: refusal.to_string(),
            },
        }
    })
}

/// Returns a callback that applies each new document to the parts that depend on it.
///
/// A host that lost its seat drains its queue, since it has no share of any slot.
fn apply_views(
    host: HostName,
    work: Arc<WorkController>,
    limiter: Arc<AccountLimiter>,
    answers: Arc<AnswerCache>,
    targets: Arc<OnceLock<Weak<TargetController>>>,
) -> Box<ViewListener> {
    Box::new(move |view| {
        let document = view.document();
        limiter.apply(document);
        let limits = &document.limits;
        work.set_max_waiting(limits.max_waiting);
        answers.set_max_kept_bytes(usize::try_from(limits.kept_answer_bytes).unwrap_or(usize::MAX));
        let seats = &document.roster.seats;
        work.set_hosts(seats.iter().map(|seat| seat.host.clone()).collect());
        if !view.has_seat(&host) {
            work.drain();
        }
        if let Some(targets) = targets.get().and_then(Weak::upgrade) {
            targets.apply_view(view);
        }
    })
}
