//! The HTTP service on the operators' address.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use bytes::Bytes;
use futures_lite::io::Cursor;

use super::HostStatus;
use crate::gateway::HostState;
use crate::http::AnswerHead;
use crate::http::CallerConnection;
use crate::http::ConnectionLimits;
use crate::http::ConnectionListener;
use crate::limits::ConnectionTable;

/// The maximum number of concurrent operator connections: some scrapers, the load
/// balancer's health checks and a few people.
const MAX_CONNECTIONS: usize = 64;
/// The kernel's buffer for the unread bytes of one operator.
const UNREAD_BYTES: usize = 16 << 10;
const JSON_TYPE: &str = "application/json";
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the operators' address until it is dropped.
#[derive(Debug)]
pub(crate) struct OperatorService {
    listener: ConnectionListener,
}

/// One answer to an operator.
struct OperatorAnswer {
    status: u16,
    content_type: &'static str,
    body: String,
}

impl OperatorService {
    /// Binds the address and starts to accept operators' connections.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub(crate) async fn bind(address: SocketAddr, host: Arc<HostState>) -> io::Result<Self> {
        let serve = move |connection| serve_operator(connection, host.clone());
        let refuse = |connection| async move { drop(connection) };
        let limits = ConnectionLimits {
            table: ConnectionTable::new(),
            max_descriptors: MAX_CONNECTIONS,
            unread_bytes: UNREAD_BYTES,
        };
        let listener = ConnectionListener::bind(address, limits, serve, refuse).await?;
        Ok(Self { listener })
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

async fn serve_operator(mut connection: CallerConnection, host: Arc<HostState>) {
    while connection.is_reusable() {
        let Ok(Some(request)) = connection.next_request().await else {
            return;
        };
        if request.has_body() {
            connection.close_after_answer();
        }
        let answer = answer_operator(&request.head.path, &host);
        if send(&mut connection, answer).await.is_err() {
            return;
        }
    }
}

fn answer_operator(path: &str, host: &HostState) -> OperatorAnswer {
    match path {
        "/metrics" => answer_metrics(host),
        "/status" => {
            let status = HostStatus::collect(host);
            // Serialization can't fail: the struct has only plain fields.
            json_answer(200, serde_json::to_string(&status).unwrap_or_default())
        }
        "/ready" => answer_ready(host),
        _ => json_answer(404, r#"{"error":"ask /metrics, /status or /ready"}"#.into()),
    }
}

fn answer_metrics(host: &HostState) -> OperatorAnswer {
    host.update_gauges();
    match host.metrics.text() {
        Ok(body) => OperatorAnswer {
            status: 200,
            content_type: METRICS_TYPE,
            body,
        },
        Err(error) => json_answer(
            500,
            serde_json::json!({ "error": error.to_string() }).to_string(),
        ),
    }
}

fn answer_ready(host: &HostState) -> OperatorAnswer {
    match host.unready_reason() {
        None => json_answer(200, r#"{"ready":true}"#.into()),
        Some(reason) => {
            let body = serde_json::json!({ "ready": false, "reason": reason });
            json_answer(503, body.to_string())
        }
    }
}

fn json_answer(status: u16, body: String) -> OperatorAnswer {
    OperatorAnswer {
        status,
        content_type: JSON_TYPE,
        body,
    }
}

async fn send(connection: &mut CallerConnection, answer: OperatorAnswer) -> io::Result<()> {
    let body = Bytes::from(answer.body);
    let head = AnswerHead {
        status: answer.status,
        headers: [("content-type".to_string(), answer.content_type.to_string())]
            .into_iter()
            .collect(),
        length: Some(body.len() as u64),
    };
    connection.send_answer(head, Cursor::new(body)).await
}
