//! Fault-injecting TCP proxy.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use super::link_connection::LinkConnection;
use crate::http::HttpServer;
use crate::http::status_reply;

/// How the link treats a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    /// Forwards both directions.
    #[default]
    Open,
    /// Closes existing connections, and new ones as soon as they are accepted.
    Cut,
    /// Discards data in both directions, also on new connections, and closes none.
    Silent,
    /// Discards data from clients and forwards data from the upstream.
    SilentForth,
    /// Discards data from the upstream and forwards data from clients.
    SilentBack,
}

impl LinkMode {
    pub(super) const fn drops_upstream(self) -> bool {
        matches!(self, Self::Silent | Self::SilentForth)
    }

    pub(super) const fn drops_downstream(self) -> bool {
        matches!(self, Self::Silent | Self::SilentBack)
    }
}

/// Body of a link process's `POST /control`; absent fields are left unchanged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkControl {
    /// The mode of all connections from now on.
    pub mode: Option<LinkMode>,
    /// Delay added to each read before it is forwarded, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Discards all further data on the existing connections; new ones are not affected.
    pub silence_existing: bool,
}

/// Returns the mode of a connection from its client's address.
type ModeSelector = dyn Fn(SocketAddr) -> LinkMode + Send + Sync;

struct LinkShared {
    upstream: SocketAddr,
    mode_selector: Mutex<Arc<ModeSelector>>,
    delay_ms: Arc<AtomicU64>,
    connections: Mutex<Vec<Arc<LinkConnection>>>,
}

impl LinkShared {
    fn mode_selector(&self) -> MutexGuard<'_, Arc<ModeSelector>> {
        self.mode_selector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Arc<LinkConnection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the mode of a client's connection.
    fn mode_for(&self, client: SocketAddr) -> LinkMode {
        let mode_selector = Arc::clone(&self.mode_selector());
        mode_selector(client)
    }

    fn set_mode_selector(&self, mode_selector: Arc<ModeSelector>) {
        *self.mode_selector() = mode_selector;
        let connections = self.connections().clone();
        for connection in connections {
            match self.mode_for(connection.client) {
                LinkMode::Cut => connection.cut(),
                mode => connection.silence(mode),
            }
        }
    }

    fn silence_existing(&self) {
        for connection in self.connections().iter() {
            connection.silence(LinkMode::Silent);
        }
    }

    fn control(&self, control: &LinkControl) {
        if let Some(delay) = control.delay_ms {
            self.delay_ms.store(delay, Ordering::Relaxed);
        }
        if control.silence_existing {
            self.silence_existing();
        }
        if let Some(mode) = control.mode {
            self.set_mode_selector(Arc::new(move |_| mode));
        }
    }
}

/// A running link; dropping it closes the listener and all connections.
pub struct LinkServer {
    address: SocketAddr,
    shared: Arc<LinkShared>,
    accepting: Option<task::JoinHandle<()>>,
    control: Option<HttpServer>,
}

impl LinkServer {
    /// Binds `address` and forwards every connection to `upstream`.
    pub async fn bind(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(LinkShared {
            upstream,
            mode_selector: Mutex::new(Arc::new(|_| LinkMode::Open)),
            delay_ms: Arc::new(AtomicU64::new(0)),
            connections: Mutex::new(Vec::new()),
        });
        let accepting = task::spawn(accept_loop(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting: Some(accepting),
            control: None,
        })
    }

    /// Like [`Self::bind`], and accepts `POST /control` on `control_address`.
    pub async fn bind_controlled(
        address: SocketAddr,
        upstream: SocketAddr,
        control_address: SocketAddr,
    ) -> io::Result<Self> {
        let mut server = Self::bind(address, upstream).await?;
        let shared = Arc::clone(&server.shared);
        let control = HttpServer::bind(
            control_address,
            Arc::new(move |request| Box::pin(answer(Arc::clone(&shared), request))),
        )
        .await?;
        server.control = Some(control);
        Ok(server)
    }

    /// Returns the address of the control endpoint, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        Some(self.control.as_ref()?.address())
    }

    /// Returns where the link listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all existing and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.shared.set_mode_selector(Arc::new(move |_| mode));
    }

    /// Sets a function that selects the mode of existing and new connections by client address.
    ///
    /// A connection that was silenced or closed stays so.
    pub fn set_mode_selector(
        &self,
        mode_selector: impl Fn(SocketAddr) -> LinkMode + Send + Sync + 'static,
    ) {
        self.shared.set_mode_selector(Arc::new(mode_selector));
    }

    /// Sets the delay added to each read before it is forwarded.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Discards all further data on the existing connections; new ones are not affected.
    pub fn silence_existing(&self) {
        self.shared.silence_existing();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        let connections = self.shared.connections();
        connections
            .iter()
            .filter(|connection| !connection.is_closed())
            .count()
    }
}

impl Drop for LinkServer {
    fn drop(&mut self) {
        for connection in self.shared.connections().iter() {
            connection.cut();
        }
        if let Some(accepting) = self.accepting.take() {
            task::spawn(accepting.cancel());
        }
    }
}

async fn answer(shared: Arc<LinkShared>, mut request: Request) -> http_types::Result<Response> {
    if request.method() != Method::Post || request.url().path() != "/control" {
        return Ok(status_reply(StatusCode::NotFound));
    }
    let control: LinkControl = request.body_json().await?;
    shared.control(&control);
    Ok(status_reply(StatusCode::Ok))
}

async fn accept_loop(listener: TcpListener, shared: Arc<LinkShared>) {
    loop {
        let Ok((stream, client)) = listener.accept().await else {
            continue;
        };
        task::spawn(forward(stream, client, Arc::clone(&shared)));
    }
}

async fn forward(stream: TcpStream, client: SocketAddr, shared: Arc<LinkShared>) {
    let mode = shared.mode_for(client);
    if mode == LinkMode::Cut {
        stream.shutdown(Shutdown::Both).ok();
        return;
    }
    let Ok(upstream) = TcpStream::connect(shared.upstream).await else {
        stream.shutdown(Shutdown::Both).ok();
        return;
    };
    stream.set_nodelay(true).ok();
    upstream.set_nodelay(true).ok();
    let connection = Arc::new(LinkConnection::new(client, mode));
    {
        let mut connections = shared.connections();
        connections.retain(|connection| !connection.is_closed());
        connections.push(Arc::clone(&connection));
    }
    // The mode may have changed while the upstream connection was being opened.
    match shared.mode_for(client) {
        LinkMode::Cut => connection.cut(),
        mode => connection.silence(mode),
    }
    connection
        .run(stream, upstream, Arc::clone(&shared.delay_ms))
        .await;
}
