//! HTTP interface of the service stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use super::ServiceFaults;
use super::ServiceSettings;
use crate::http::BodyEnding;
use crate::http::CrashMode;
use crate::http::ExecutionLog;
use crate::http::ExecutionRecord;
use crate::http::FaultyBody;
use crate::http::HttpServer;
use crate::http::TargetState;
use crate::http::json_reply;
use crate::http::status_reply;
use crate::http::unix_now;

/// Request id in answers with the `wrong_id` fault.
const WRONG_ID: &str = "00000000-0000-7000-8000-000000000000";
/// Exit code of a stand-in that simulates a crash.
const CRASH_EXIT_CODE: i32 = 70;

struct ServiceShared {
    settings: ServiceSettings,
    faults: Mutex<ServiceFaults>,
    executions: ExecutionLog,
    running: AtomicUsize,
    server: OnceLock<Weak<HttpServer>>,
}

impl ServiceShared {
    fn faults(&self) -> MutexGuard<'_, ServiceFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crash(&self) {
        if self.settings.crash_mode == CrashMode::ExitProcess {
            std::process::exit(CRASH_EXIT_CODE);
        }
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.crash();
        }
    }
}

/// A running service stand-in; it stops when dropped.
pub struct ServiceServer {
    server: Arc<HttpServer>,
    shared: Arc<ServiceShared>,
}

impl ServiceServer {
    /// Binds `address` and serves calls.
    pub async fn bind(address: SocketAddr, settings: ServiceSettings) -> io::Result<Self> {
        let shared = Arc::new(ServiceShared {
            settings,
            faults: Mutex::new(ServiceFaults::default()),
            executions: ExecutionLog::default(),
            running: AtomicUsize::new(0),
            server: OnceLock::new(),
        });
        let handled = Arc::clone(&shared);
        let server = Arc::new(
            HttpServer::bind(
                address,
                Arc::new(move |request| Box::pin(answer(Arc::clone(&handled), request))),
            )
            .await?,
        );
        shared.server.set(Arc::downgrade(&server)).ok();
        Ok(Self { server, shared })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.shared.faults() = faults;
    }

    /// Returns every call that started, in order, including those lost in crashes.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.shared.executions.all()
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Simulates a crash according to the crash mode.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Restarts after a crash at the same address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }
}

async fn answer(shared: Arc<ServiceShared>, mut request: Request) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/control") => {
            *shared.faults() = request.body_json().await?;
            Ok(status_reply(StatusCode::Ok))
        }
        (Method::Get, "/executions") => json_reply(&shared.executions.all()),
        (Method::Get, "/v1/load") => json_reply(&json!({
            "taken_ms": unix_now(),
            "running": shared.running.load(Ordering::Relaxed),
            "waiting": 0,
            "tokens_per_second": 0.0,
            "state": shared.faults().state,
        })),
        _ => call(&shared, request, &path).await,
    }
}

/// Counts a call as running until dropped.
struct RunningGuard<'a>(&'a AtomicUsize);

impl<'a> RunningGuard<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn call(
    shared: &ServiceShared,
    mut request: Request,
    path: &str,
) -> http_types::Result<Response> {
    let faults = shared.faults().clone();
    if faults.state == TargetState::Leaving {
        let mut response = status_reply(StatusCode::ServiceUnavailable);
        response.insert_header("Target-State", "leaving");
        return Ok(response);
    }
    let body = request.body_bytes().await?;
    let id = shared.executions.record(&request);
    let _running = RunningGuard::enter(&shared.running);
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| contains_text(&body, text))
    {
        shared.crash();
        return Err(http_types::format_err!("the service crashed"));
    }
    let delay = faults
        .delay_ms
        .map_or(shared.settings.delay, Duration::from_millis);
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
    if faults.never_answers {
        futures_lite::future::pending::<()>().await;
    }
    reply(&faults, &id, path, &body)
}

fn contains_text(body: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(body).contains(text)
}

fn reply(
    faults: &ServiceFaults,
    id: &str,
    path: &str,
    body: &[u8],
) -> http_types::Result<Response> {
    let id = if faults.wrong_id { WRONG_ID } else { id };
    let echo = String::from_utf8_lossy(body);
    let bytes = serde_json::to_vec(&json!({"id": id, "path": path, "echo": echo}))?;
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(faulty_body(faults, bytes));
    response.insert_header("Content-Type", "application/json");
    if !id.is_empty() {
        response.insert_header("Request-Id", id);
    }
    Ok(response)
}

fn faulty_body(faults: &ServiceFaults, mut bytes: Vec<u8>) -> Body {
    let length = bytes.len();
    let ending = match faults {
        faults if faults.cut => BodyEnding::Abort,
        faults if faults.silent => BodyEnding::Stall,
        faults if faults.short_body => BodyEnding::Short,
        _ => return Body::from_bytes(bytes),
    };
    bytes.truncate(length / 2);
    Body::from_reader(FaultyBody::new(bytes, ending), Some(length))
}
