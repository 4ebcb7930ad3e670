//! Serves the connections of callers.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use futures_lite::future::or;
use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::answers::AnswerReader;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::http::CallerConnection;
use crate::http::CallerRequest;
use crate::http::ConnectionLimits;
use crate::http::ConnectionListener;
use crate::ids::RequestId;
use crate::limits::receive_buffer_bytes;

use super::HostState;
use super::RequestRefusal;
use super::classify_filter::classify_request;
use super::identify_filter::identify_account;
use super::request_entry::start_request;

/// Maximum number of descriptors for callers and the targets of their requests, if the system allows
/// as many open files. Idle connections then take a tenth of the 128 MB that a daemon may use.
const MAX_CALLERS: usize = 4096;
/// File descriptors reserved for listeners, peers, the platform and operators.
const RESERVED_DESCRIPTORS: usize = 256;

/// Accepts connections of callers at an address until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerService {
    listener: ConnectionListener,
}

impl CallerService {
    /// Binds the address and starts accepting connections.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        memory_bytes: usize,
        host: Arc<HostState>,
    ) -> io::Result<Self> {
        let table = host.callers.clone();
        let refusing = host.clone();
        let serve = move |connection| serve_caller(connection, host.clone());
        let refuse = move |connection| refuse_caller(connection, refusing.clone());
        let max_descriptors = max_descriptors();
        let limits = ConnectionLimits {
            table,
            max_descriptors,
            unread_bytes: receive_buffer_bytes(memory_bytes, max_descriptors),
        };
        let listener = ConnectionListener::bind(address, limits, serve, refuse).await?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

/// Returns the number of descriptors for callers, and for the targets of their requests.
///
/// Without a limit, callers that connect and never disconnect would use up all file
/// descriptors, and the host could no longer reach any target, peer or the platform.
fn max_descriptors() -> usize {
    let allowed = getrlimit(Resource::Nofile).current;
    let allowed = allowed.map_or(usize::MAX, |count| {
        usize::try_from(count).unwrap_or(usize::MAX)
    });
    let available = allowed.saturating_sub(RESERVED_DESCRIPTORS);
    available.clamp(2, MAX_CALLERS)
}

/// Refuses a caller beyond the limit; another host may have room.
async fn refuse_caller(mut connection: CallerConnection, host: Arc<HostState>) {
    host.metrics.count_refused_caller();
    connection.close_after_answer();
    let kind = ErrorKind::TooManyCallers;
    if send_refusal(&mut connection, &host, kind, None)
        .await
        .is_ok()
    {
        connection.close().await;
    }
}

async fn serve_caller(mut connection: CallerConnection, host: Arc<HostState>) {
    while connection.is_reusable() {
        let served = match connection.next_request().await {
            Ok(None) => return,
            // Boxed, as it is much larger than what an idle connection needs.
            Ok(Some(request)) => Box::pin(serve_request(&mut connection, request, &host)).await,
            Err(kind) => send_refusal(&mut connection, &host, kind, None).await,
        };
        if served.is_err() {
            return;
        }
    }
    connection.close().await;
}

async fn serve_request(
    connection: &mut CallerConnection,
    mut request: CallerRequest,
    host: &Arc<HostState>,
) -> io::Result<()> {
    // A draining host also waits until the answer is written.
    let _running = host.drain.track_request();
    // A leaving host closes the connection, so that the caller reconnects to another host.
    if host.drain.is_leaving() {
        connection.close_after_answer();
    }
    match open_answer(connection, &mut request, host).await {
        Ok(reader) => send_answer(connection, host, reader).await,
        Err((kind, id)) => {
            // Part of the body may be unread.
            connection.close_after_answer();
            send_refusal(connection, host, kind, id).await
        }
    }
}

async fn open_answer(
    connection: &CallerConnection,
    request: &mut CallerRequest,
    host: &Arc<HostState>,
) -> Result<AnswerReader, (ErrorKind, Option<RequestId>)> {
    let view = host.view().ok_or((ErrorKind::NotReady, None))?;
    let account = identify_account(&view, &request.head).map_err(|kind| (kind, None))?;
    let head = request.head.clone();
    let classified = classify_request(&view, account, head).map_err(|kind| (kind, None))?;
    let id = classified.id;
    let refused = |kind| (kind, Some(id));
    let body = request.read_body(classified.max_body_bytes, &host.memory);
    let evicted = async {
        connection.evicted().await;
        Err(ErrorKind::TooManyCallers)
    };
    let (body, permit) = or(body, evicted).await.map_err(refused)?;
    if !connection.set_running(max_descriptors()) {
        return Err(refused(ErrorKind::TooManyCallers));
    }
    start_request(host, classified, body, permit).map_err(refused)
}

async fn send_answer(
    connection: &mut CallerConnection,
    host: &HostState,
    reader: AnswerReader,
) -> io::Result<()> {
    let head = or(async { Some(reader.head().await) }, async {
        connection.wait_closed().await;
        None
    });
    match head.await {
        // The caller is gone; dropping the reader signals this to the run.
        None => Err(io::ErrorKind::ConnectionAborted.into()),
        Some(None) => send_refusal(connection, host, ErrorKind::HolderLost, None).await,
        Some(Some(head)) => connection.send_answer(head, reader).await,
    }
}

async fn send_refusal(
    connection: &mut CallerConnection,
    host: &HostState,
    kind: ErrorKind,
    id: Option<RequestId>,
) -> io::Result<()> {
    host.metrics.count_error(kind, None);
    let refusal = RequestRefusal::of(kind);
    let (head, body) = refusal.answer(id, RequestOutcome::Unknown);
    connection
        .send_answer(head, futures_lite::io::Cursor::new(body))
        .await
}
