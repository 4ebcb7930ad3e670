//! Assembles one host and runs it until it is told to stop.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use rustix::net::sockopt::set_socket_recv_buffer_size;

use super::caller_limits::caller_receive_buffer;
use super::caller_limits::max_caller_descriptors;
use super::caller_limits::max_operators;
use super::caller_session::serve_caller;
use super::edge_settings::EdgeSettings;
use super::edge_settings::SettingsLoader;
use super::edge_state::EdgeState;
use super::gossip_controller::run_gossip;
use super::gossip_service::GossipService;
use super::header_names::HeaderNames;
use super::operator_endpoints::serve_metrics;
use super::operator_endpoints::serve_readiness;
use super::part_list::PartListFormat;
use super::settings_controller::follow_settings;
use super::shutdown_controller::shut_down;
use super::slot_report_exchange::run_slot_reports;
use super::watch_controller::expire_stale;
use super::watch_controller::follow_store;
use super::watch_controller::refresh_evidence;
use crate::limits::ConnectionPermit;
use crate::limits::ConnectionTable;
use crate::logs::DecisionLine;
use crate::logs::DecisionLog;
use crate::metrics::RequestMetrics;
use crate::peers::PeerIdentity;
use crate::peers::PeerListener;
use crate::peers::PeerMesh;
use crate::signals::ProcessSignal;
use crate::signals::ProcessSignals;
use crate::view::FleetSource;

/// Shared key of the peer handshake. The platform distributes no secrets and only hosts
/// can reach the peer address, so the key guards against misconfiguration and not against
/// attackers.
pub(super) const PEER_KEY: &[u8] = b"cardamomgw edge hosts";
/// Pause after a failed accept. Accepting fails when no file descriptors are left, and
/// retrying at once would only use processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a platform adapter provides to a host.
pub(crate) struct EdgeDependencies {
    pub(crate) settings: EdgeSettings,
    pub(crate) header_names: HeaderNames,
    pub(crate) part_list: PartListFormat,
    /// The store of configuration and targets.
    pub(crate) source: Arc<dyn FleetSource>,
    pub(crate) loader: Arc<dyn SettingsLoader>,
}

/// The addresses on which a host listens, with the ports that the system assigned where
/// the settings name port 0.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EdgeAddresses {
    pub(crate) caller: SocketAddr,
    /// For the load balancer's readiness probes.
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: Option<SocketAddr>,
}

/// A running host.
pub(crate) struct EdgeHost {
    pub(super) state: Arc<EdgeState>,
    reload: Sender<()>,
    pub(super) addresses: EdgeAddresses,
    _peers: PeerListener,
    _mesh: Arc<PeerMesh>,
}

impl EdgeHost {
    /// Binds all addresses and starts serving.
    ///
    /// # Errors
    ///
    /// An address can't be bound, or the log can't be opened.
    pub(crate) async fn start(dependencies: EdgeDependencies) -> io::Result<Self> {
        let log = DecisionLog::open().map_err(io::Error::other)?;
        Self::start_with_log(dependencies, log).await
    }

    /// Like [`EdgeHost::start`], with a given log.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub(crate) async fn start_with_log(
        dependencies: EdgeDependencies,
        log: DecisionLog,
    ) -> io::Result<Self> {
        let startup = dependencies.settings.startup.clone();
        let requests = RequestMetrics::open().map_err(io::Error::other)?;
        let state = EdgeState::new(
            dependencies.settings,
            dependencies.header_names,
            dependencies.part_list,
            log,
            requests,
        );
        let identity = PeerIdentity {
            host: startup.host.clone(),
            key: PEER_KEY.to_vec(),
        };
        let service = Arc::new(GossipService::new(Arc::clone(&state)));
        let peers = PeerListener::bind(startup.peer_address, identity.clone(), service).await?;
        let mesh = PeerMesh::spawn(identity, state.other_seeds());
        state.set_mesh(Arc::clone(&mesh));
        state.set_source(Arc::clone(&dependencies.source));
        let callers = Arc::clone(&state.callers);
        let for_callers = (&callers, max_caller_descriptors as fn(&EdgeState) -> usize);
        let probes = ConnectionTable::new();
        let scrapes = ConnectionTable::new();
        let for_probes = (&probes, max_operators as fn(&EdgeState) -> usize);
        let for_scrapes = (&scrapes, max_operators as fn(&EdgeState) -> usize);
        let addresses = EdgeAddresses {
            caller: listen(&state, startup.caller_address, for_callers, serve_caller).await?,
            ready: listen(&state, startup.ready_address, for_probes, serve_readiness).await?,
            metrics: match startup.metrics_address {
                Some(address) => Some(listen(&state, address, for_scrapes, serve_metrics).await?),
                None => None,
            },
        };
        let (reload, reload_requests) = async_channel::bounded(1);
        task::spawn(refresh_evidence(
            Arc::clone(&state),
            Arc::clone(&dependencies.source),
        ));
        task::spawn(follow_store(
            Arc::clone(&state),
            Arc::clone(&dependencies.source),
        ));
        task::spawn(run_gossip(Arc::clone(&state), Arc::clone(&mesh)));
        task::spawn(run_slot_reports(Arc::clone(&state), Arc::clone(&mesh)));
        task::spawn(follow_settings(
            Arc::clone(&state),
            dependencies.loader,
            dependencies.source,
            reload_requests,
        ));
        task::spawn(expire_stale(Arc::clone(&state)));
        Ok(Self {
            state,
            reload,
            addresses,
            _peers: peers,
            _mesh: mesh,
        })
    }

    /// Lets the host reload its settings.
    pub(super) fn request_reload(&self) {
        // A reload that is already queued covers this one as well.
        self.reload.try_send(()).ok();
    }

    /// Runs until SIGTERM or SIGINT and the graceful shutdown that follows. SIGHUP
    /// reloads the settings.
    pub(crate) async fn run(self, mut signals: ProcessSignals) {
        self.state.log.write(&DecisionLine::Started {
            host: self.state.startup.host.clone(),
            program: env!("CARGO_PKG_VERSION"),
            caller_address: self.addresses.caller,
            ready_address: self.addresses.ready,
            metrics_address: self.addresses.metrics,
        });
        while signals.next().await == ProcessSignal::HangUp {
            self.request_reload();
        }
        shut_down(&self.state).await;
    }
}

/// Serves each connection accepted at `address` in its own task, within `limit` descriptors of the
/// table.
async fn listen<F, S>(
    state: &Arc<EdgeState>,
    address: SocketAddr,
    (table, limit): (&Arc<ConnectionTable>, fn(&EdgeState) -> usize),
    serve: F,
) -> io::Result<SocketAddr>
where
    F: Fn(Arc<EdgeState>, TcpStream, ConnectionPermit) -> S + Send + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    // Connections inherit it. Unread bytes count towards the memory of the machine.
    set_socket_recv_buffer_size(&listener, caller_receive_buffer(state)).ok();
    let address = listener.local_addr()?;
    let state = Arc::clone(state);
    let table = Arc::clone(table);
    task::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Closed before anything was read, so the caller knows that no request ran.
            let Some(permit) = table.open(limit(&state)) else {
                continue;
            };
            task::spawn(serve(Arc::clone(&state), stream, permit));
        }
    });
    Ok(address)
}
