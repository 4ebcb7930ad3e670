//! Accepts connections and calls of peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use futures_lite::future::or;
use h2::Reason;
use h2::RecvStream;
use h2::server;
use h2::server::SendResponse;
use http::Request;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::CallHandler;
use super::PeerError;
use super::PeerIdentity;
use super::ReplySender;
use super::handshake_exchange;
use super::link_limits::CONNECTION_WINDOW;
use super::link_limits::MAX_STREAMS;
use super::link_limits::PING_INTERVAL;
use super::link_limits::SILENCE_TIMEOUT;
use super::link_limits::STREAM_WINDOW;
use super::link_meter::LinkMeter;
use super::link_meter::MeteredStream;
use super::message_codec::FrameReader;
use crate::ids::HostName;

/// Timeout for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections. In a fleet of 320 hosts each host is called by
/// half of the others, and by all of them where half of the calls fail; the rest is for
/// replaced hosts whose connections have not ended yet.
const MAX_CONNECTIONS: usize = 512;
/// The wait after a failed accept (no file descriptors left), to avoid a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a listener has accepted and refused.
#[derive(Debug, Default)]
pub struct ListenerCounters {
    /// Connections that passed the handshake.
    pub accepted: AtomicU64,
    /// Connections with another protocol version.
    pub unknown_version: AtomicU64,
    /// Connections that did not prove possession of the key, or sent no valid handshake.
    pub not_authentic: AtomicU64,
    /// Connections beyond the limit.
    pub over_limit: AtomicU64,
    /// Connections closed because they went silent.
    pub silent: AtomicU64,
    /// Calls that could not be decoded.
    pub malformed_calls: AtomicU64,
    /// Calls that were passed to the handler.
    pub calls: AtomicU64,
}

/// State shared by all connections of a listener.
struct ListenerShared {
    identity: PeerIdentity,
    handler: Arc<dyn CallHandler>,
    counters: Arc<ListenerCounters>,
    open: AtomicUsize,
    stopped: Receiver<()>,
}

/// A running listener; dropping it closes its connections.
pub struct PeerListener {
    address: SocketAddr,
    counters: Arc<ListenerCounters>,
    stop: Sender<()>,
}

impl PeerListener {
    /// Binds `address` and starts accepting calls.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        identity: PeerIdentity,
        handler: Arc<dyn CallHandler>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded(1);
        let counters = Arc::<ListenerCounters>::default();
        let shared = Arc::new(ListenerShared {
            identity,
            handler,
            counters: Arc::clone(&counters),
            open: AtomicUsize::new(0),
            stopped,
        });
        task::spawn(accept_connections(listener, shared));
        Ok(Self {
            address,
            counters,
            stop,
        })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what was accepted and refused; the counters outlive the listener.
    pub const fn counters(&self) -> &Arc<ListenerCounters> {
        &self.counters
    }

    /// Stops the listener and closes its connections; running calls are abandoned.
    pub fn stop(&self) {
        self.stop.close();
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<ListenerShared>) {
    let stopped = shared.stopped.clone();
    let accept = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => admit_connection(stream, &shared),
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
            }
        }
    };
    let stop = async {
        stopped.recv().await.ok();
    };
    or(stop, accept).await;
}

/// Serves the connection in its own task, unless the limit is reached.
fn admit_connection(stream: TcpStream, shared: &Arc<ListenerShared>) {
    if shared.open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
        shared.open.fetch_sub(1, Ordering::Relaxed);
        shared.counters.over_limit.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let shared = Arc::clone(shared);
    task::spawn(async move {
        let stop = async {
            shared.stopped.recv().await.ok();
            Ok(())
        };
        if let Err(error) = or(stop, serve_connection(stream, &shared)).await {
            count_failure(&shared.counters, &error);
        }
        shared.open.fetch_sub(1, Ordering::Relaxed);
    });
}

fn count_failure(counters: &ListenerCounters, error: &PeerError) {
    let counter = match error {
        PeerError::UnknownVersion { .. } => &counters.unknown_version,
        PeerError::NotAuthentic | PeerError::MalformedMessage | PeerError::MessageTooLarge => {
            &counters.not_authentic
        }
        PeerError::TimedOut => &counters.silent,
        _ => return,
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

async fn serve_connection(
    stream: TcpStream,
    shared: &Arc<ListenerShared>,
) -> Result<(), PeerError> {
    stream.set_nodelay(true)?;
    let meter = Arc::<LinkMeter>::default();
    let mut stream = MeteredStream::new(stream, Arc::clone(&meter));
    let handshake = handshake_exchange::handshake_as_listener(&mut stream, &shared.identity);
    let host = future::timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    shared.counters.accepted.fetch_add(1, Ordering::Relaxed);
    let mut connection = server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake::<_, Bytes>(stream.compat())
        .await?;
    let calls = async {
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted?;
            task::spawn(answer_call(
                Arc::clone(shared),
                host.clone(),
                request,
                respond,
            ));
        }
        Ok(())
    };
    or(calls, wait_for_silence(&meter)).await
}

/// Returns once nothing was read for [`SILENCE_TIMEOUT`]; the calling end pings each
/// interval, so a connection without data is half open.
async fn wait_for_silence(meter: &LinkMeter) -> Result<(), PeerError> {
    let limit = SILENCE_TIMEOUT.as_secs() / PING_INTERVAL.as_secs();
    let mut seen = meter.read_bytes();
    let mut silent = 0;
    while silent < limit {
        task::sleep(PING_INTERVAL).await;
        let now = meter.read_bytes();
        silent = if now == seen { silent + 1 } else { 0 };
        seen = now;
    }
    Err(PeerError::TimedOut)
}

async fn answer_call(
    shared: Arc<ListenerShared>,
    host: HostName,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let mut reader = FrameReader::new(request.into_body());
    match reader.next().await {
        Ok(Some(call)) => {
            shared.counters.calls.fetch_add(1, Ordering::Relaxed);
            shared
                .handler
                .handle(host, call, ReplySender::new(respond))
                .await;
        }
        Ok(None) | Err(PeerError::MalformedMessage) => {
            refuse_call(&shared, &mut respond, Reason::PROTOCOL_ERROR);
        }
        Err(PeerError::MessageTooLarge) => {
            refuse_call(&shared, &mut respond, Reason::FRAME_SIZE_ERROR);
        }
        // The calling host cancelled the call or the connection is lost: there is nobody to
        // answer.
        Err(_) => {}
    }
}

fn refuse_call(shared: &ListenerShared, respond: &mut SendResponse<Bytes>, reason: Reason) {
    shared
        .counters
        .malformed_calls
        .fetch_add(1, Ordering::Relaxed);
    respond.send_reset(reason);
}
