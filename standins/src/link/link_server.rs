//! The link and what can be done to it.

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

/// What a link does with a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    /// Passes everything on.
    #[default]
    Open,
    /// Ends connections, and new ones as soon as they come.
    Cut,
    /// Swallows everything, on new connections too, and ends none.
    Silent,
    /// Swallows what clients write, and passes answers on.
    SilentForth,
    /// Swallows answers, and passes on what clients write.
    SilentBack,
}

impl LinkMode {
    pub(super) const fn swallows_forth(self) -> bool {
        matches!(self, Self::Silent | Self::SilentForth)
    }

    pub(super) const fn swallows_back(self) -> bool {
        matches!(self, Self::Silent | Self::SilentBack)
    }
}

/// The body of a link process's `POST /control`; what is absent stays.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkControl {
    /// What the link does with every connection from now on.
    pub mode: Option<LinkMode>,
    /// How much later each piece arrives, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Silences the connections that stand now, for good; new ones work.
    pub silence_existing: bool,
}

/// Tells by a connection's client what the link does with it.
type LinkGate = dyn Fn(SocketAddr) -> LinkMode + Send + Sync;

struct LinkShared {
    upstream: SocketAddr,
    gate: Mutex<Arc<LinkGate>>,
    delay_ms: Arc<AtomicU64>,
    connections: Mutex<Vec<Arc<LinkConnection>>>,
}

impl LinkShared {
    fn gate(&self) -> MutexGuard<'_, Arc<LinkGate>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Arc<LinkConnection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the gate what to do with a client's connection.
    fn mode_of(&self, client: SocketAddr) -> LinkMode {
        let gate = Arc::clone(&self.gate());
        gate(client)
    }

    fn set_gate(&self, gate: Arc<LinkGate>) {
        *self.gate() = gate;
        let connections = self.connections().clone();
        for connection in connections {
            match self.mode_of(connection.client) {
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
            self.set_gate(Arc::new(move |_| mode));
        }
    }
}

/// A running link; it ends with all its connections when dropped.
pub struct LinkServer {
    address: SocketAddr,
    shared: Arc<LinkShared>,
    accepting: Option<task::JoinHandle<()>>,
    control: Option<HttpServer>,
}

impl LinkServer {
    /// Binds `address` and passes every connection on to `upstream`.
    pub async fn bind(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(LinkShared {
            upstream,
            gate: Mutex::new(Arc::new(|_| LinkMode::Open)),
            delay_ms: Arc::new(AtomicU64::new(0)),
            connections: Mutex::new(Vec::new()),
        });
        let accepting = task::spawn(accept_all(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting: Some(accepting),
            control: None,
        })
    }

    /// Binds like [`Self::bind`] and takes `POST /control` at `control_address`.
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

    /// Returns where the link takes `POST /control`, if it does.
    pub fn control_address(&self) -> Option<SocketAddr> {
        Some(self.control.as_ref()?.address())
    }

    /// Returns where the link listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Does the same with every connection, standing ones and new ones.
    pub fn set_mode(&self, mode: LinkMode) {
        self.shared.set_gate(Arc::new(move |_| mode));
    }

    /// Decides by the client of each connection, standing ones and new ones.
    ///
    /// A connection that was silenced or cut stays so.
    pub fn set_gate(&self, gate: impl Fn(SocketAddr) -> LinkMode + Send + Sync + 'static) {
        self.shared.set_gate(Arc::new(gate));
    }

    /// Delays each piece from now on.
    pub fn set_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.shared.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Silences the connections that stand now, for good; new ones work.
    pub fn silence_existing(&self) {
        self.shared.silence_existing();
    }

    /// Returns how many connections stand.
    pub fn connections(&self) -> usize {
        let connections = self.shared.connections();
        connections
            .iter()
            .filter(|connection| !connection.has_ended())
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

async fn accept_all(listener: TcpListener, shared: Arc<LinkShared>) {
    loop {
        let Ok((stream, client)) = listener.accept().await else {
            continue;
        };
        task::spawn(pass_on(stream, client, Arc::clone(&shared)));
    }
}

async fn pass_on(stream: TcpStream, client: SocketAddr, shared: Arc<LinkShared>) {
    let mode = shared.mode_of(client);
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
        connections.retain(|connection| !connection.has_ended());
        connections.push(Arc::clone(&connection));
    }
    // The gate may have changed since it was asked.
    if shared.mode_of(client) == LinkMode::Cut {
        connection.cut();
    }
    connection
        .run(stream, upstream, Arc::clone(&shared.delay_ms))
        .await;
}
