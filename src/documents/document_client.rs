//! Client for the platform's documents; every read has a timeout.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future;

use super::DocumentError;
use super::HostList;
use super::http_exchange;
use super::http_exchange::CompleteAnswer;
use super::http_exchange::malformed;
use crate::ids::FleetVersion;
use crate::peers::RawDocument;

/// How long the platform may hold one watch. 320 daemons with one watch each make 64
/// calls per second of the 2,000 that are allowed. A watch whose connection has become
/// unresponsive is abandoned after this time plus `READ_TIMEOUT`.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The timeout of a read, in addition to a watch's wait; the platform answers within
/// milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchAnswer {
    /// A newer document is available.
    Newer(RawDocument),
    /// No newer document became available during the watch.
    Unchanged,
}

/// Reads one scope from any of the platform's addresses.
#[derive(Debug)]
pub struct DocumentClient {
    addresses: Vec<SocketAddr>,
    scope: String,
    /// The current address, modulo their number; incremented after each failure.
    address_index: AtomicUsize,
    calls: AtomicU64,
}

impl DocumentClient {
    /// Creates a client for the document `scope` without opening a connection.
    pub const fn new(addresses: Vec<SocketAddr>, scope: String) -> Self {
        Self {
            addresses,
            scope,
            address_index: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
        }
    }

    /// Returns the number of calls made; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads the current document.
    ///
    /// # Errors
    ///
    /// The platform is unreachable, refuses the request or sends a malformed answer.
    pub async fn read_document(&self) -> Result<RawDocument, DocumentError> {
        let path = format!("/v1/documents/{}", self.scope);
        let answer = self.get(&path, READ_TIMEOUT).await?;
        document_from(answer)
    }

    /// Waits at most [`WATCH_WAIT`] for a document with a version above `after`.
    ///
    /// # Errors
    ///
    /// As [`DocumentClient::read_document`].
    pub async fn watch_document(&self, after: FleetVersion) -> Result<WatchAnswer, DocumentError> {
        let wait_ms = WATCH_WAIT.as_millis();
        let path = format!(
            "/v1/documents/{}?after={after}&wait_ms={wait_ms}",
            self.scope
        );
        let answer = self.get(&path, WATCH_WAIT + READ_TIMEOUT).await?;
        match answer.status {
            304 => Ok(WatchAnswer::Unchanged),
            _ => document_from(answer).map(WatchAnswer::Newer),
        }
    }

    /// Reads the list of live and leaving hosts.
    ///
    /// # Errors
    ///
    /// As [`DocumentClient::read_document`].
    pub async fn list_hosts(&self) -> Result<HostList, DocumentError> {
        let answer = self.get("/v1/hosts", READ_TIMEOUT).await?;
        serde_json::from_slice(&answer.body).map_err(malformed)
    }

    /// Requests `path` from the current address; after a failure the next call uses the
    /// next address.
    async fn get(&self, path: &str, timeout: Duration) -> Result<CompleteAnswer, DocumentError> {
        let index = self.address_index.load(Ordering::Relaxed);
        let address = self
            .addresses
            .get(index % self.addresses.len().max(1))
            .ok_or_else(|| malformed("the settings contain no platform address"))?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        let result = with_timeout(timeout, http_exchange::get(*address, path)).await;
        let result = result.and_then(check_status);
        if result.is_err() {
            self.address_index.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    read: impl Future<Output = Result<T, DocumentError>>,
) -> Result<T, DocumentError> {
    future::timeout(timeout, read)
        .await
        .unwrap_or(Err(DocumentError::TimedOut))
}

fn check_status(answer: CompleteAnswer) -> Result<CompleteAnswer, DocumentError> {
    match answer.status {
        200 | 304 => Ok(answer),
        404 => Err(DocumentError::UnknownScope),
        status @ (429 | 500..=599) => Err(DocumentError::Refused {
            status,
            retry_after: answer
                .retry_after
                .and_then(|text| text.parse().ok())
                .map(Duration::from_secs),
        }),
        status => Err(malformed(format!("status {status}"))),
    }
}

fn document_from(answer: CompleteAnswer) -> Result<RawDocument, DocumentError> {
    let version = answer
        .document_version
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed("missing or invalid Document-Version header"))?;
    Ok(RawDocument {
        version,
        body: answer.body,
    })
}
