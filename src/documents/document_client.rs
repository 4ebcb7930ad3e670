//! Reads of the platform, each bounded in time.

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
use super::http_exchange::WholeAnswer;
use super::http_exchange::malformed;
use crate::ids::FleetVersion;
use crate::peers::RawDocument;

/// How long one watch waits at the platform. 320 daemons with one watch each
/// make 64 calls a second of the 2,000, and a watch whose connection went
/// silent is given up after this and [`READ_TIMEOUT`].
pub const WATCH_WAIT: Duration = Duration::from_secs(5);
/// How long a read may take beyond what it waits for; the platform answers in milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// What a watch brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchAnswer {
    /// A newer document stands.
    Newer(RawDocument),
    /// No newer document came while the watch waited.
    Unchanged,
}

/// Reads one scope of the platform at any of its addresses.
#[derive(Debug)]
pub struct DocumentClient {
    addresses: Vec<SocketAddr>,
    scope: String,
    /// Which address to try first; moves on with each failure.
    next: AtomicUsize,
    calls: AtomicU64,
}

impl DocumentClient {
    /// Makes a client for the document `scope`; opens nothing yet.
    pub const fn new(addresses: Vec<SocketAddr>, scope: String) -> Self {
        Self {
            addresses,
            scope,
            next: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
        }
    }

    /// Returns how many calls were made; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads the document as it stands.
    ///
    /// # Errors
    ///
    /// The platform can't be reached, refuses, or answers malformed.
    pub async fn read_document(&self) -> Result<RawDocument, DocumentError> {
        let path = format!("/v1/documents/{}", self.scope);
        let answer = self.get(&path, READ_TIMEOUT).await?;
        document_from(answer)
    }

    /// Waits until a document above `after` stands, for at most [`WATCH_WAIT`].
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

    /// Gets `path` from the current address; after a failure the next one is tried.
    async fn get(&self, path: &str, timeout: Duration) -> Result<WholeAnswer, DocumentError> {
        let turn = self.next.load(Ordering::Relaxed);
        let address = self
            .addresses
            .get(turn % self.addresses.len().max(1))
            .ok_or_else(|| malformed("the settings name no platform address"))?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        let result = in_time(timeout, http_exchange::get(*address, path)).await;
        let result = result.and_then(check_status);
        if result.is_err() {
            self.next.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

async fn in_time<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, DocumentError>>,
) -> Result<T, DocumentError> {
    future::timeout(timeout, work)
        .await
        .unwrap_or(Err(DocumentError::TimedOut))
}

fn check_status(answer: WholeAnswer) -> Result<WholeAnswer, DocumentError> {
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

fn document_from(answer: WholeAnswer) -> Result<RawDocument, DocumentError> {
    let version = answer
        .document_version
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed("no Document-Version"))?;
    Ok(RawDocument {
        version,
        body: answer.body,
    })
}
