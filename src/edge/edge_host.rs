//! Puts one host together and runs it until it is told to leave.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::stream::StreamExt;
use async_std::task;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;

use super::caller_session::serve_caller;
use super::edge_settings::EdgeSettings;
use super::edge_settings::SettingsLoader;
use super::edge_state::EdgeState;
use super::gossip_controller::run_gossip;
use super::gossip_service::GossipService;
use super::header_names::HeaderNames;
use super::operator_endpoints::serve_metrics;
use super::operator_endpoints::serve_readiness;
use super::settings_controller::follow_settings;
use super::shutdown_controller::leave;
use super::watch_controller::expire_stale;
use super::watch_controller::follow_store;
use super::watch_controller::refresh_evidence;
use crate::logs::DecisionLine;
use crate::logs::DecisionLog;
use crate::metrics::RequestMetrics;
use crate::peers::PeerIdentity;
use crate::peers::PeerListener;
use crate::peers::PeerMesh;
use crate::view::FleetSource;

/// The key that hosts prove to each other. The platform hands out no secret, and
/// only hosts reach the peers' address, so it keeps out mistakes and no attacker.
const PEER_KEY: &[u8] = b"cardamomgw edge hosts";
/// The share of the descriptors that callers' connections may take; the rest is for
/// targets, peers and files.
const CALLER_DESCRIPTOR_RATIO: f64 = 0.6;
/// How long to wait when no connection can be accepted: descriptors are gone, and
/// asking again at once would only burn the processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What an adapter gives.
pub(crate) struct EdgeDependencies {
    /// The settings.
    pub(crate) settings: EdgeSettings,
    /// The names of headers.
    pub(crate) header_names: HeaderNames,
    /// The store.
    pub(crate) source: Arc<dyn FleetSource>,
    /// Reads the settings again.
    pub(crate) loader: Arc<dyn SettingsLoader>,
}

/// Where a host listens, by the ports that it got where its settings name none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EdgeAddresses {
    /// For callers.
    pub(crate) caller: SocketAddr,
    /// For the balancer's question.
    pub(crate) ready: SocketAddr,
    /// For metrics.
    pub(crate) metrics: Option<SocketAddr>,
}

/// The signals that a host obeys.
pub(crate) struct EdgeSignals(Signals);

impl EdgeSignals {
    /// Takes the signals; those that come before [`EdgeHost::run`] wait for it.
    ///
    /// # Errors
    ///
    /// The signals can't be taken.
    pub(crate) fn register() -> io::Result<Self> {
        Ok(Self(Signals::new([SIGHUP, SIGINT, SIGTERM])?))
    }
}

/// One running host.
pub(crate) struct EdgeHost {
    state: Arc<EdgeState>,
    reload: Sender<()>,
    pub(super) addresses: EdgeAddresses,
    _peers: PeerListener,
    _mesh: Arc<PeerMesh>,
}

impl EdgeHost {
    /// Binds all addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the log can't be opened.
    pub(crate) async fn start(parts: EdgeDependencies) -> io::Result<Self> {
        let log = DecisionLog::open().map_err(io::Error::other)?;
        Self::start_with_log(parts, log).await
    }

    /// As [`EdgeHost::start`], with a log of the caller's.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub(crate) async fn start_with_log(
        parts: EdgeDependencies,
        log: DecisionLog,
    ) -> io::Result<Self> {
        let settings = parts.settings;
        let requests = RequestMetrics::open().map_err(io::Error::other)?;
        let state = EdgeState::new(settings.clone(), parts.header_names, log, requests);
        let identity = PeerIdentity {
            host: settings.host.clone(),
            key: PEER_KEY.to_vec(),
        };
        let service = Arc::new(GossipService::new(Arc::clone(&state)));
        let peers = PeerListener::bind(settings.peer_address, identity.clone(), service).await?;
        let seeds = settings.seeds.iter().copied();
        let seeds = seeds.filter(|seed| *seed != settings.peer_address);
        let mesh = PeerMesh::spawn(identity, seeds.collect());
        let most = (settings.max_descriptors as f64 * CALLER_DESCRIPTOR_RATIO) as usize;
        let addresses = EdgeAddresses {
            caller: listen(&state, settings.caller_address, most, serve_caller).await?,
            ready: listen(&state, settings.ready_address, most, serve_readiness).await?,
            metrics: match settings.metrics_address {
                Some(address) => Some(listen(&state, address, most, serve_metrics).await?),
                None => None,
            },
        };
        let (reload, asked) = async_channel::bounded(1);
        task::spawn(refresh_evidence(
            Arc::clone(&state),
            Arc::clone(&parts.source),
        ));
        task::spawn(follow_store(Arc::clone(&state), parts.source));
        task::spawn(run_gossip(Arc::clone(&state), Arc::clone(&mesh)));
        task::spawn(follow_settings(Arc::clone(&state), parts.loader, asked));
        task::spawn(expire_stale(Arc::clone(&state)));
        Ok(Self {
            state,
            reload,
            addresses,
            _peers: peers,
            _mesh: mesh,
        })
    }

    /// Serves until SIGTERM or SIGINT and the leaving that follows; SIGHUP reads
    /// the settings again.
    pub(crate) async fn run(self, mut signals: EdgeSignals) {
        self.state.log.write(&DecisionLine::Started {
            host: self.state.settings.load().host.clone(),
            program: env!("CARGO_PKG_VERSION"),
            caller_address: self.addresses.caller,
            ready_address: self.addresses.ready,
            metrics_address: self.addresses.metrics,
        });
        while let Some(signal) = signals.0.next().await {
            if signal != SIGHUP {
                break;
            }
            // A look that is already asked for serves this signal as well.
            self.reload.try_send(()).ok();
        }
        leave(&self.state).await;
    }
}

/// Serves each connection at `address` in a task of its own, up to `most` at once.
async fn listen<F, S>(
    state: &Arc<EdgeState>,
    address: SocketAddr,
    most: usize,
    serve: F,
) -> io::Result<SocketAddr>
where
    F: Fn(Arc<EdgeState>, TcpStream) -> S + Send + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let state = Arc::clone(state);
    let open = Arc::new(AtomicUsize::new(0));
    task::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Closed before anything was read: the caller knows that nothing ran.
            if open.load(Ordering::Relaxed) >= most {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let served = serve(Arc::clone(&state), stream);
            let open = Arc::clone(&open);
            task::spawn(async move {
                served.await;
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    Ok(address)
}
