//! Puts one host together and runs it until it is told to leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;

use async_std::io;
use async_std::stream::StreamExt;
use async_std::task;
use futures_lite::future::or;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;

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
use crate::controllers::ConfigParts;
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
use crate::logs::StateChange;
use crate::logs::StateLog;
use crate::metrics::RequestMetrics;
use crate::operators::OperatorService;
use crate::peers::PeerIdentity;
use crate::peers::PeerListener;
use crate::peers::PeerMesh;
use crate::poison::PoisonGuard;
use crate::policy::PolicySettings;
use crate::recorder::TraceRecorder;
use crate::roster::RosterDecision;
use crate::roster::RosterPlan;
use crate::roster::SeatIncarnation;
use crate::settings::HostSettings;

/// What the bodies of all waiting and running requests may take together: 32 MiB,
/// a quarter of the 128 MB that a daemon may use for everything.
const MAX_BODY_BYTES: usize = 32 << 20;
/// How often kept answers are looked through.
const TRIM_PERIOD: Duration = Duration::from_secs(1);
/// How often the host looks whether its own state changed; a change that lasts
/// shorter is for the counters.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// How long a leaving host goes on taking connections, so that the balancer
/// sees `/ready` say no before connections are refused.
const LEAVE_NOTICE: Duration = Duration::from_secs(2);

/// Runs one host until it is told to leave.
///
/// # Errors
///
/// An address can't be bound, or a part of the process can't be set up.
pub async fn serve_host(settings: &HostSettings) -> io::Result<()> {
    HostServer::open(settings).await?.run().await
}

/// One running host; several may run in one process.
///
/// Dropping it closes its listeners and cuts every connection, as the end of the
/// process does; [`HostServer::stop`] leaves without cutting anything.
pub struct HostServer {
    state: Arc<HostState>,
    callers: CallerService,
    operators: OperatorService,
    peers: PeerListener,
    _digests: Arc<DigestController>,
    _peer_watch: PeerWatch,
}

impl HostServer {
    /// Opens every part of a host and begins to serve.
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
        let claims = open_claims(settings, incarnation, &mesh);
        let limits = PolicySettings {
            incarnation,
            ..PolicySettings::default()
        };
        let work = WorkController::spawn(settings.host.clone(), limits);
        let limiter = Arc::new(AccountLimiter::default());
        let kept_bytes = FleetLimits::default().kept_answer_bytes;
        let answers = Arc::new(AnswerCache::new(kept_bytes as usize));
        // The targets follow the configuration and are made after it.
        let targets_cell = Arc::new(OnceLock::new());
        let config = ConfigController::spawn(ConfigParts {
            host: settings.host.clone(),
            mesh: mesh.clone(),
            platform: Arc::new(open_platform(settings)),
            log: log.clone(),
            metrics: metrics.clone(),
            admit_roster: admit_rosters(claims.clone()),
            accepted: follow_views(
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
            targets.follow(&view);
        }
        let suspects = Arc::new(PoisonGuard::default());
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
            bodies: ByteBudget::new(MAX_BODY_BYTES),
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
        let callers = CallerService::bind(settings.caller_address, state.clone()).await?;
        let operators = OperatorService::bind(settings.operator_address, state.clone()).await?;
        let peer_watch = PeerWatch::spawn(
            &state.mesh,
            peers.counters().clone(),
            state.log.clone(),
            state.metrics.clone(),
        );
        task::spawn(trim_forever(state.clone()));
        state.log.write(&StateChange::Started {
            host: settings.host.clone(),
            program: env!("CARGO_PKG_VERSION"),
            caller_address: callers.address(),
        });
        task::spawn(tell_changes_forever(state.clone()));
        Ok(Self {
            state,
            callers,
            operators,
            peers,
            _digests: digests,
            _peer_watch: peer_watch,
        })
    }

    /// Returns where callers connect, with the port that was bound.
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns where peers connect, with the port that was bound.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns where operators connect, with the port that was bound.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Tells why the host takes no requests; `None` when it does.
    pub fn unready_reason(&self) -> Option<String> {
        self.state.unready_reason()
    }

    /// Returns the version of the fleet document in force, once there is one.
    pub fn version_in_force(&self) -> Option<FleetVersion> {
        self.state.view().map(|view| view.document().version)
    }

    /// Leaves: takes no new requests and returns once none is left.
    pub async fn stop(self) {
        self.drain().await;
    }

    /// Serves until SIGTERM or SIGINT, then drains; a second signal ends at once.
    ///
    /// # Errors
    ///
    /// The signals can't be caught.
    pub async fn run(self) -> io::Result<()> {
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        signals.next().await;
        let second = async {
            signals.next().await;
        };
        or(second, self.drain()).await;
        Ok(())
    }

    /// Leaves without cutting anything: waiting requests go to peers or are
    /// answered with proof, running ones end here.
    async fn drain(&self) {
        let state = &self.state;
        let (waiting, running) = state.work.counts();
        state.drain.leave();
        state.log.write(&StateChange::DrainBegan {
            waiting: waiting.values().sum::<u32>() as usize,
            running: running.values().sum::<u32>() as usize,
        });
        state.work.drain();
        task::sleep(LEAVE_NOTICE).await;
        state.drain.wait_idle().await;
        state.log.write(&StateChange::DrainEnded);
    }
}

fn open_claims(
    settings: &HostSettings,
    incarnation: IncarnationId,
    mesh: &Arc<PeerMesh>,
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
    ClaimCoordinator::open(settings.host.clone(), incarnation, seat, mesh.clone())
}

async fn trim_forever(state: Arc<HostState>) {
    loop {
        task::sleep(TRIM_PERIOD).await;
        state.answers.evict(boot_now());
    }
}

/// Writes a line for each change of the host's own state.
async fn tell_changes_forever(state: Arc<HostState>) {
    let mut roll = HostTracker::default();
    loop {
        for change in roll.update(state.look()) {
            state.log.write(&change);
        }
        task::sleep(LOOK_PERIOD).await;
    }
}

fn open_platform(settings: &HostSettings) -> DocumentClient {
    DocumentClient::new(settings.platform_addresses.clone(), settings.scope.clone())
}

/// Lets the seat judge the roster of each document.
fn admit_rosters(claims: Arc<ClaimCoordinator>) -> Box<RosterValidator> {
    Box::new(move |document| {
        let plan = RosterPlan::of_document(document);
        let mut register = claims.register();
        let limits = &document.limits;
        let former = register.set_limits(limits.claim_window_ms, limits.clock_skew_ms);
        let verdict = register.roster_mut().offer(plan, unix_now());
        if !matches!(
            verdict,
            Ok(RosterDecision::Accepted | RosterDecision::Unchanged)
        ) {
            // A document is refused whole: its limits go with it.
            let (window_ms, skew_ms) = former;
            register.set_limits(window_ms, skew_ms);
        }
        match verdict {
            Ok(RosterDecision::Accepted | RosterDecision::Unchanged) => RosterAdmission::Admitted,
            Ok(RosterDecision::Waiting) => RosterAdmission::Waiting,
            Err(refusal) => RosterAdmission::Refused {
                reason: refusal.to_string(),
            },
        }
    })
}

/// Puts each new document in force in the parts that follow it.
///
/// A host that lost its seat gives up what waits: it has no share of any slot.
fn follow_views(
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
            targets.follow(view);
        }
    })
}
