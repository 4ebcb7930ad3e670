//! Connections to targets that are kept between requests.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_lite::future::poll_once;

use crate::clock::boot_now;
use crate::ids::TargetName;
use crate::sorted::SortedMap;
use crate::wire::AnswerMessage;
use crate::wire::InputBuffer;
use crate::wire::SilenceBounds;
use crate::wire::bound_silence;

/// How long connecting may take. Within a region it takes some ms; a target whose
/// queue of new connections is full drops the request to connect, and the system's
/// own repeat comes after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long before its announced end a kept connection is given up. The target's
/// clock began with the answer, and what is sent as it closes is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(400);
/// How long a connection is kept whose target doesn't say for how long.
const DEFAULT_IDLE: Duration = Duration::from_millis(700);
/// How many idle connections to one target are kept.
const MAX_IDLE: usize = 16;
/// After what silence a target's connection counts as dead.
const SILENCE: SilenceBounds = SilenceBounds {
    probe_after: Duration::from_secs(1),
    probes: 2,
    unacknowledged: Duration::from_millis(2500),
};

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) stream: TcpStream,
    pub(crate) input: InputBuffer,
    /// Whether it carried another request before. A late answer to that one may
    /// still come, and the target may be closing it.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct IdleConnection {
    link: TargetConnection,
    until: Duration,
}

/// Connections to targets that are kept between requests, by the target's name: its
/// address may be another one's by the next request.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<SortedMap<TargetName, Vec<IdleConnection>>>,
}

impl TargetConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// No connection came about in time; nothing was sent.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        bound_silence(&stream, SILENCE);
        Ok(Self {
            stream,
            input: InputBuffer::default(),
            reused: false,
        })
    }
}

impl ConnectionPool {
    /// Returns the kept connection that was used last, as it is the least likely to
    /// be closed at the other end.
    pub(crate) async fn take(&self, target: &TargetName) -> Option<TargetConnection> {
        loop {
            let mut link = self.pop(target)?;
            // Bytes that come unasked belong to no request; an end is an end.
            let quiet = poll_once(link.input.fill(&link.stream)).await.is_none();
            if quiet && link.input.is_empty() {
                link.reused = true;
                return Some(link);
            }
        }
    }

    /// Keeps a connection behind a whole answer.
    pub(crate) fn put(&self, target: &TargetName, link: TargetConnection, answer: &AnswerMessage) {
        if !link.input.is_empty() {
            return;
        }
        let kept = keep_alive(answer).unwrap_or(DEFAULT_IDLE);
        let Some(kept) = kept.checked_sub(IDLE_MARGIN).filter(|kept| !kept.is_zero()) else {
            return;
        };
        let idle = IdleConnection {
            link,
            until: boot_now() + kept,
        };
        let mut links = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let held = links.get_or_insert_with(target.clone(), Vec::new);
        if held.len() < MAX_IDLE {
            held.push(idle);
        }
    }

    /// Keeps a connection on which nothing was sent yet.
    pub(crate) fn put_unused(&self, target: &TargetName, link: TargetConnection) {
        let idle = IdleConnection {
            link,
            until: boot_now() + DEFAULT_IDLE,
        };
        let mut links = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        links
            .get_or_insert_with(target.clone(), Vec::new)
            .push(idle);
    }

    /// Returns how many connections are kept.
    pub(crate) fn kept(&self) -> usize {
        let links = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        links.iter().map(|(_, held)| held.len()).sum()
    }

    /// Closes what has been idle for too long.
    pub(crate) fn close_idle(&self) {
        let now = boot_now();
        let mut links = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, held| {
            held.retain(|idle| idle.until > now);
            !held.is_empty()
        });
    }

    fn pop(&self, target: &TargetName) -> Option<TargetConnection> {
        let now = boot_now();
        let mut links = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let held = links.get_mut(target)?;
        held.retain(|idle| idle.until > now);
        Some(held.pop()?.link)
    }
}

/// Returns for how long the target keeps the connection.
fn keep_alive(answer: &AnswerMessage) -> Option<Duration> {
    let text = answer.headers.text("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
