//! The platform's HTTP interface.

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

/// Where documents live.
const DOCUMENT_PREFIX: &str = "/v1/documents/";
/// What a refused caller is told, in seconds.
const RETRY_SECONDS: &str = "1";

/// The query of a waiting watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: u64,
}

/// The body of `POST /control`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlatformControl {
    mode: PlatformMode,
}

/// The body of `PUT /v1/hosts`.
#[derive(Debug, Deserialize)]
struct HostUpdate {
    hosts: Vec<HostEntry>,
}

/// The part of a document that the platform reads.
#[derive(Debug, Deserialize)]
struct VersionField {
    version: u64,
}

/// The state and the signal that it changed.
struct PlatformShared {
    state: Mutex<PlatformState>,
    changed: Event,
}

impl PlatformShared {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, edit: impl FnOnce(&mut PlatformState)) {
        edit(&mut self.state());
        self.changed.notify(usize::MAX);
    }
}

/// A running platform; it ends when dropped.
pub struct PlatformServer {
    server: HttpServer,
    shared: Arc<PlatformShared>,
}

impl PlatformServer {
    /// Binds `address` and serves an empty platform.
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

    /// Returns where the platform listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a document, whatever version it bears.
    ///
    /// Fails when `document` has no whole number as its `version`.
    pub fn publish<T: Serialize>(&self, scope: &str, document: &T) -> io::Result<()> {
        self.publish_text(scope, serde_json::to_string(document)?)
    }

    /// Publishes a document's text; only its `version` needs to be well-formed.
    pub fn publish_text(&self, scope: &str, body: String) -> io::Result<()> {
        let field: VersionField = serde_json::from_str(&body)?;
        self.shared.change(|state| {
            state.content.put(StoredDocument {
                scope: scope.to_owned(),
                version: field.version,
                body,
            });
        });
        Ok(())
    }

    /// Publishes the lagging list of hosts, taken now.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.change(|state| set_hosts(state, hosts));
    }

    /// Sets how the platform behaves.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.shared.change(|state| state.set_mode(mode));
    }

    /// Returns how many calls readers made, a waiting watch counting as one.
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
            shared.change(|state| state.set_mode(control.mode));
            Ok(status_reply(StatusCode::Ok))
        }
        (Method::Put, "/v1/hosts", _) => {
            let update: HostUpdate = request.body_json().await?;
            shared.change(|state| set_hosts(state, update.hosts));
            Ok(status_reply(StatusCode::Ok))
        }
        (Method::Put, _, Some(scope)) => {
            let body = request.body_string().await?;
            put_document(&shared, scope, body)
        }
        (Method::Get, "/v1/hosts", _) => match refusal(&shared)? {
            Some(response) => Ok(response),
            None => {
                let list = shared.state().visible().hosts.clone();
                json_reply(&list)
            }
        },
        (Method::Get, _, Some(scope)) => match refusal(&shared)? {
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
    shared.change(|state| {
        state.content.put(StoredDocument {
            scope: scope.to_owned(),
            version: field.version,
            body,
        });
    });
    Ok(status_reply(StatusCode::Ok))
}

/// Counts a reader's call, and refuses it as the mode says.
fn refusal(shared: &PlatformShared) -> http_types::Result<Option<Response>> {
    let mut state = shared.state();
    state.calls += 1;
    match state.mode {
        PlatformMode::Down => Err(http_types::format_err!("the platform is down")),
        PlatformMode::Flapping if state.calls.is_multiple_of(2) => {
            let mut response = status_reply(StatusCode::ServiceUnavailable);
            response.insert_header("Retry-After", RETRY_SECONDS);
            Ok(Some(response))
        }
        _ => Ok(None),
    }
}

/// Answers with the document, at once or when a version above `after` stands.
async fn watch(
    shared: &PlatformShared,
    scope: &str,
    query: WatchQuery,
) -> http_types::Result<Response> {
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = shared.changed.listen();
        if let Some(response) = look_up(shared, scope, query.after)? {
            return Ok(response);
        }
        let rest = end.saturating_duration_since(Instant::now());
        if future::timeout(rest, changed).await.is_err() {
            return Ok(status_reply(StatusCode::NotModified));
        }
    }
}

fn look_up(
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
