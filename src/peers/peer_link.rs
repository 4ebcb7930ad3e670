//! A connection to one peer that is reopened whenever it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures_lite::future::or;
use h2::Ping;
use h2::PingPong;
use h2::client;
use h2::client::SendRequest;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::PeerError;
use super::PeerIdentity;
use super::call_slot::CallSlot;
use super::handshake_exchange;
use super::link_limits::CONNECTION_WINDOW;
use super::link_limits::PING_INTERVAL;
use super::link_limits::SILENCE_TIMEOUT;
use super::link_limits::STREAM_WINDOW;
use super::link_meter::LinkMeter;
use super::link_meter::MeteredStream;
use crate::backoff::RetryBackoff;
use crate::ids::HostName;

/// How long a peer may take to answer a ping that follows a pause of one interval.
const PONG_TIMEOUT: Duration =
    Duration::from_secs(SILENCE_TIMEOUT.as_secs() - PING_INTERVAL.as_secs());
/// Timeout for opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The first delay after a failure; a restarted peer is usually back within it.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest delay between attempts. The end of a network partition is noticed within it,
/// well below 2 s.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The state of a link, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkStatus {
    /// The peer's address.
    pub address: SocketAddr,
    /// The peer's name, once it is known.
    pub host: Option<HostName>,
    /// Whether calls can be made.
    pub connected: bool,
    /// Why the last connection attempt failed or the last connection ended.
    pub last_error: Option<PeerError>,
    /// How many connections were established.
    pub connect_count: u64,
    /// Bytes read over all connections of the link.
    pub read_bytes: u64,
    /// Bytes written over all connections of the link.
    pub written_bytes: u64,
}

/// The link to one peer: its address and the connection to it.
pub(crate) struct PeerLink {
    address: SocketAddr,
    /// The host that the roster names for the address; absent for an address from the settings.
    expected: Option<HostName>,
    sender: ArcSwapOption<SendRequest<Bytes>>,
    announced_host: ArcSwapOption<HostName>,
    last_error: ArcSwapOption<PeerError>,
    connect_count: AtomicU64,
    streamed_calls: Arc<AtomicUsize>,
    meter: Arc<LinkMeter>,
    /// Closed to stop the link.
    stop: Sender<()>,
}

impl PeerLink {
    /// Starts a task that keeps a connection to `address` open.
    pub(crate) fn spawn(
        address: SocketAddr,
        expected: Option<HostName>,
        identity: Arc<PeerIdentity>,
    ) -> Arc<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let link = Arc::new(Self {
            address,
            expected,
            sender: ArcSwapOption::empty(),
            announced_host: ArcSwapOption::empty(),
            last_error: ArcSwapOption::empty(),
            connect_count: AtomicU64::new(0),
            streamed_calls: Arc::default(),
            meter: Arc::default(),
            stop,
        });
        task::spawn(maintain_connection(Arc::clone(&link), identity, stopped));
        link
    }

    /// Returns the peer's address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the link can be kept for a peer of this name. A link to an address
    /// from the settings is kept for the seat found there: if it were reopened, the first
    /// document in force would disconnect the host from all its peers for a moment.
    pub(crate) fn is_reusable_for(&self, expected: Option<&HostName>) -> bool {
        match (&self.expected, expected) {
            (None, Some(host)) => self.is_for_host(host),
            (own, expected) => own.as_ref() == expected,
        }
    }

    /// Returns the peer's name: from the roster, or from its handshake.
    pub(crate) fn host(&self) -> Option<HostName> {
        self.expected
            .clone()
            .or_else(|| self.announced_host.load().as_deref().cloned())
    }

    /// Returns whether the peer is `host`.
    pub(crate) fn is_for_host(&self, host: &str) -> bool {
        match &self.expected {
            Some(expected) => expected == host,
            None => self
                .announced_host
                .load()
                .as_ref()
                .is_some_and(|name| *name.as_ref() == host),
        }
    }

    /// Returns a sender for one call.
    pub(crate) fn sender(&self) -> Result<SendRequest<Bytes>, PeerError> {
        match &*self.sender.load() {
            Some(sender) => Ok(SendRequest::clone(sender)),
            None => Err(PeerError::NotConnected),
        }
    }

    /// Acquires a permit for one streamed call.
    pub(crate) fn take_slot(&self) -> Result<CallSlot, PeerError> {
        CallSlot::take(&self.streamed_calls)
    }

    /// Returns whether calls can be made.
    pub(crate) fn is_connected(&self) -> bool {
        self.sender.load().is_some()
    }

    /// Returns the state of the link.
    pub(crate) fn status(&self) -> LinkStatus {
        LinkStatus {
            address: self.address,
            host: self.host(),
            connected: self.is_connected(),
            last_error: self.last_error.load().as_deref().cloned(),
            connect_count: self.connect_count.load(Ordering::Relaxed),
            read_bytes: self.meter.read_bytes(),
            written_bytes: self.meter.written_bytes(),
        }
    }

    /// Stops the link and closes its connection; pending calls fail at once.
    pub(crate) fn stop(&self) {
        self.stop.close();
    }
}

/// Connects and reconnects until the link is stopped.
async fn maintain_connection(
    link: Arc<PeerLink>,
    identity: Arc<PeerIdentity>,
    stopped: Receiver<()>,
) {
    let mut backoff = RetryBackoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    while !stopped.is_closed() {
        let connect_count = link.connect_count.load(Ordering::Relaxed);
        let stop = async {
            stopped.recv().await.ok();
            PeerError::NotConnected
        };
        let error = or(stop, run_connection(&link, &identity)).await;
        link.sender.store(None);
        link.last_error.store(Some(Arc::new(error)));
        if link.connect_count.load(Ordering::Relaxed) > connect_count {
            backoff.reset();
        }
        let delay = backoff.next_delay(rand::random());
        let pause = task::sleep(delay);
        let stop = async {
            stopped.recv().await.ok();
        };
        or(stop, pause).await;
    }
}

/// Runs one connection to its end and returns why it ended.
///
/// The connection is driven within this future. When a peer becomes unresponsive (its
/// host lost power, or a middlebox dropped the connection's state), the socket reports no
/// error, and calls would run into their timeouts one by one. An unanswered ping ends the
/// future, which drops the connection, and h2 fails all calls on it at once.
async fn run_connection(link: &PeerLink, identity: &PeerIdentity) -> PeerError {
    let connected = future::timeout(CONNECT_TIMEOUT, connect(link, identity)).await;
    let (host, sender, mut connection) = match connected {
        Ok(Ok(parts)) => parts,
        Ok(Err(error)) => return error,
        Err(_) => return PeerError::TimedOut,
    };
    let Some(pings) = connection.ping_pong() else {
        return PeerError::ConnectionLost;
    };
    link.announced_host.store(Some(Arc::new(host)));
    link.connect_count.fetch_add(1, Ordering::Relaxed);
    link.sender.store(Some(Arc::new(sender)));
    let ended = async {
        match connection.await {
            Ok(()) => PeerError::ConnectionLost,
            Err(error) => error.into(),
        }
    };
    or(ended, wait_for_silence(pings, &link.meter)).await
}

type ClientConnection = client::Connection<tokio_util::compat::Compat<MeteredStream>, Bytes>;

async fn connect(
    link: &PeerLink,
    identity: &PeerIdentity,
) -> Result<(HostName, SendRequest<Bytes>, ClientConnection), PeerError> {
    let stream = TcpStream::connect(link.address).await?;
    // Calls are small and wait for a reply: Nagle's algorithm would add a delayed ACK to each.
    stream.set_nodelay(true)?;
    let mut stream = MeteredStream::new(stream, Arc::clone(&link.meter));
    let host = handshake_exchange::handshake_as_connector(&mut stream, identity).await?;
    if link
        .expected
        .as_ref()
        .is_some_and(|expected| *expected != host)
    {
        return Err(PeerError::WrongHost { found: host });
    }
    let (sender, connection) = client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .enable_push(false)
        .handshake(stream.compat())
        .await?;
    Ok((host, sender, connection))
}

/// Returns once a ping stays unanswered. While data passes in both directions, no ping is sent: one
/// that only receives, as the events of a long stream, would look half open to its peer.
async fn wait_for_silence(mut pings: PingPong, meter: &LinkMeter) -> PeerError {
    let mut seen = (meter.read_bytes(), meter.written_bytes());
    loop {
        task::sleep(PING_INTERVAL).await;
        let now = (meter.read_bytes(), meter.written_bytes());
        let before = std::mem::replace(&mut seen, now);
        if now.0 > before.0 && now.1 > before.1 {
            continue;
        }
        match future::timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return PeerError::ConnectionLost,
        }
    }
}
