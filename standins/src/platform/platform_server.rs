//! HTTP interface of the platform stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use event_listener::Event;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::mime;
use serde::Deserialize;
use serde::Serialize;

use super::HostEntry;
use super::PlatformMode;
use super::platform_state::HostList;
use super::platform_state::PlatformState;
use super::platform_state::StoredDocument;
use crate::http::HttpServer;
use crate::http::json_reply;
use crate::http::status_reply;
use crate::http::unix_now;

/// Path prefix of configuration documents.
const DOCUMENT_PREFIX: &str = "/v1/documents/";
/// `Retry-After` of the 503 answers in flapping mode, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// Query parameters of a long-poll watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: u64,
}

/// Body of `POST /control`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformControl {
    mode: PlatformMode,
}

/// Body of `PUT /v1/hosts`.
#[derive(Debug, Deserialize)]
struct HostUpdate {
    hosts: Vec<HostEntry>,
}

/// The only document field that the platform parses.
#[derive(Debug, Deserialize)]
struct VersionField {
    version: u64,
}

/// The platform state and the event that wakes watches after a change.
struct PlatformShared {
    state: Mutex<PlatformState>,
    changed: Event,
}

impl PlatformShared {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, edit: impl FnOnce(&mut PlatformState)) {
        edit(&mut self.state());
        self.changed.notify(usize::MAX);
    }
}

/// A running platform stand-in; it stops when dropped.
pub struct PlatformServer {
    server: HttpServer,
    shared: Arc<PlatformShared>,
}

impl PlatformServer {
    /// Binds `address` and serves a platform without documents.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(PlatformShared {
            state: Mutex::new(PlatformState::new(unix_now())),
            changed: Event::new(),
        });
        let handled = Arc::clone(&shared);
        let server = HttpServer::bind(
            address,
            Arc::new(move |request| Box::pin(answer(Arc::clone(&handled), request))),
        )
        .await?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the platform listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a document, even with a version below the current one.
    ///
    /// Fails when the `version` field of `document` is not an unsigned integer.
    pub fn publish<T: Serialize>(&self, scope: &str, document: &T) -> io::Result<()> {
        self.publish_text(scope, serde_json::to_string(document)?)
    }

    /// Publishes a document as text; only its `version` has to be valid.
    pub fn publish_text(&self, scope: &str, body: String) -> io::Result<()> {
        let field: VersionField = serde_json::from_str(&body)?;
        self.shared.update(|state| {
            state.content.replace(StoredDocument {
                scope: scope.to_owned(),
                version: field.version,
                body,
            });
        });
        Ok(())
    }

    /// Replaces the host list, with the current time as its timestamp.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.update(|state| set_hosts(state, hosts));
    }

    /// Sets the platform's failure mode.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.shared.update(|state| state.set_mode(mode));
    }

    /// Returns the number of read requests so far; a long poll counts as one.
    pub fn call_count(&self) -> u64 {
        self.shared.state().calls
    }
}

fn set_hosts(state: &mut PlatformState, hosts: Vec<HostEntry>) {
    state.content.hosts = HostList {
        taken_ms: unix_now(),
        hosts,
    };
}

async fn answer(shared: Arc<PlatformShared>, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    let scope = path.strip_prefix(DOCUMENT_PREFIX);
    match (request.method(), path.as_str(), scope) {
        (Method::Post, "/control", _) => {
            let control: PlatformControl = request.body_json().await?;
            shared.update(|state| state.set_mode(control.mode));
            Ok(status_reply(StatusCode::Ok))
        }
        (Method::Put, "/v1/hosts", _) => {
            let update: HostUpdate = request.body_json().await?;
            shared.update(|state| set_hosts(state, update.hosts));
            Ok(status_reply(StatusCode::Ok))
        }
        (Method::Put, _, Some(scope)) => {
            let body = request.body_string().await?;
            put_document(&shared, scope, body)
        }
        (Method::Get, "/v1/hosts", _) => match simulated_failure(&shared)? {
            Some(response) => Ok(response),
            None => {
                let list = shared.state().visible().hosts.clone();
                json_reply(&list)
            }
        },
        (Method::Get, _, Some(scope)) => match simulated_failure(&shared)? {
            Some(response) => Ok(response),
            None => watch(&shared, scope, request.query().unwrap_or_default()).await,
        },
        _ => Ok(status_reply(StatusCode::NotFound)),
    }
}

fn put_document(
    shared: &PlatformShared,
    scope: &str,
    body: String,
) -> http_types::Result<Response> {
    let Ok(field) = serde_json::from_str::<VersionField>(&body) else {
        return Ok(status_reply(StatusCode::BadRequest));
    };
    shared.update(|state| {
        state.content.replace(StoredDocument {
            scope: scope.to_owned(),
            version: field.version,
            body,
        });
    });
    Ok(status_reply(StatusCode::Ok))
}

/// Counts a read request and returns the failure that the current mode simulates.
fn simulated_failure(shared: &PlatformShared) -> http_types::Result<Option<Response>> {
    let mut state = shared.state();
    state.calls += 1;
    match state.mode {
        PlatformMode::Down => Err(http_types::format_err!("the platform is down")),
        PlatformMode::Flapping if state.calls.is_multiple_of(2) => {
            let mut response = status_reply(StatusCode::ServiceUnavailable);
            response.insert_header("Retry-After", RETRY_AFTER_SECONDS);
            Ok(Some(response))
        }
        _ => Ok(None),
    }
}

/// Answers with the document as soon as its version exceeds `after`, or with 304 once the
/// wait time is over.
async fn watch(
    shared: &PlatformShared,
    scope: &str,
    query: WatchQuery,
) -> http_types::Result<Response> {
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = shared.changed.listen();
        if let Some(response) = find_newer(shared, scope, query.after)? {
            return Ok(response);
        }
        let remaining = end.saturating_duration_since(Instant::now());
        if future::timeout(remaining, changed).await.is_err() {
            return Ok(status_reply(StatusCode::NotModified));
        }
    }
}

fn find_newer(
    shared: &PlatformShared,
    scope: &str,
    after: Option<u64>,
) -> http_types::Result<Option<Response>> {
    let state = shared.state();
    if state.mode == PlatformMode::Down {
        return Err(http_types::format_err!("the platform went down"));
    }
    let Some(document) = state.visible().document(scope) else {
        return Ok(Some(status_reply(StatusCode::NotFound)));
    };
    if after.is_some_and(|after| document.version <= after) {
        return Ok(None);
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(document.body.clone());
    response.set_content_type(mime::JSON);
    response.insert_header("Document-Version", document.version.to_string());
    Ok(Some(response))
}
