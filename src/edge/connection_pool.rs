//! Pool of idle keep-alive connections to targets.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;

use crate::clock::boot_now;
use crate::sorted::SortedMap;
use crate::view::TargetIncarnation;
use crate::wire::InputBuffer;
use crate::wire::KeepaliveSettings;
use crate::wire::ResponseMessage;
use crate::wire::configure_keepalive;
use crate::wire::readable_streams;

/// Connect timeout. Connecting takes a few milliseconds within a region. A target with a
/// full accept queue drops the SYN, and the kernel retransmits it only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Margin before the target's announced keep-alive timeout at which an idle connection is
/// no longer used. The target's timer starts when it sends the response, and a request
/// that arrives while the target closes the connection is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// Idle time of connections whose target announces no keep-alive timeout.
const DEFAULT_IDLE: Duration = Duration::from_millis(700);
/// Longest idle time that counts, whatever the target announces. Longer ones gain nothing, and their
/// end may be beyond the range of the clock.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);
/// Limit on idle connections per target.
const MAX_IDLE: usize = 16;
/// TCP settings that detect a dead target: 2.5 s after a request that it does not acknowledge, 3 s
/// after the last bytes of an idle connection.
const KEEPALIVE: KeepaliveSettings = KeepaliveSettings {
    probe_interval: Duration::from_secs(1),
    max_probes: 2,
    user_timeout: Duration::from_millis(2500),
};

#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) stream: TcpStream,
    pub(crate) input: InputBuffer,
    /// Whether the connection carried a request before. A late response to that request
    /// may still arrive, and the target may be closing the connection.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    expires_at: Duration,
}

/// Idle connections, keyed by the target's incarnation: another target may have taken over the
/// address by the next request, and a restarted target may listen at another one.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<SortedMap<TargetIncarnation, Vec<IdleConnection>>>,
}

impl TargetConnection {
    /// Opens a connection to a target.
    ///
    /// # Errors
    ///
    /// The connection was refused or timed out; nothing was sent.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        configure_keepalive(&stream, KEEPALIVE);
        Ok(Self {
            stream,
            input: InputBuffer::default(),
            reused: false,
        })
    }
}

impl ConnectionPool {
    /// Returns the most recently used idle connection, which is the least likely to have
    /// been closed by the target.
    pub(crate) async fn take(&self, target: &TargetIncarnation) -> Option<TargetConnection> {
        loop {
            let mut connection = self.pop(target)?;
            // Unsolicited bytes belong to no request, and a closed connection is readable
            // too. Both disqualify the connection.
            let is_idle = poll_once(connection.input.fill(&connection.stream))
                .await
                .is_none();
            if is_idle && connection.input.is_empty() {
                connection.reused = true;
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn put(
        &self,
        target: &TargetIncarnation,
        connection: TargetConnection,
        response: &ResponseMessage,
    ) {
        if !connection.input.is_empty() {
            return;
        }
        let idle_time = keep_alive(response).unwrap_or(DEFAULT_IDLE);
        let Some(idle_time) = idle_time
            .checked_sub(IDLE_MARGIN)
            .filter(|idle_time| !idle_time.is_zero())
        else {
            return;
        };
        let entry = IdleConnection {
            connection,
            expires_at: boot_now() + idle_time,
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_or_insert_with(target.clone(), Vec::new);
        if connections.len() < MAX_IDLE {
            connections.push(entry);
        }
    }

    /// Returns a connection to the pool on which no request was sent.
    pub(crate) fn put_unused(&self, target: &TargetIncarnation, connection: TargetConnection) {
        let entry = IdleConnection {
            connection,
            expires_at: boot_now() + DEFAULT_IDLE,
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_or_insert_with(target.clone(), Vec::new)
            .push(entry);
    }

    /// Returns the number of idle connections.
    pub(crate) fn idle_count(&self) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.iter().map(|(_, connections)| connections.len()).sum()
    }

    /// Closes connections whose idle time has expired, and those on which bytes have arrived. Such
    /// bytes belong to no request, and take memory of the kernel while the connection is kept.
    pub(crate) fn close_unusable(&self) {
        let now = boot_now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let entries = idle.iter().flat_map(|(_, connections)| connections);
        let mut readable =
            readable_streams(entries.map(|entry| &entry.connection.stream)).into_iter();
        idle.retain(|_, connections| {
            connections.retain(|entry| {
                let is_readable = readable.next().unwrap_or_default();
                entry.expires_at > now && !is_readable
            });
            !connections.is_empty()
        });
    }

    fn pop(&self, target: &TargetIncarnation) -> Option<TargetConnection> {
        let now = boot_now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(target)?;
        connections.retain(|entry| entry.expires_at > now);
        Some(connections.pop()?.connection)
    }
}

/// Returns the keep-alive timeout that the target announced.
fn keep_alive(response: &ResponseMessage) -> Option<Duration> {
    let text = response.headers.text("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(timeout.trim().parse().ok()?);
    Some(timeout.min(MAX_KEEP_ALIVE))
}
