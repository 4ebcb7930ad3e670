//! HTTP endpoints for readiness probes and metrics.

use std::sync::Arc;

use async_std::net::TcpStream;

use super::caller_connection::CallerConnection;
use super::edge_state::EdgeState;
use super::response_writer::write_bytes;
use crate::catalog::CallerLimits;
use crate::clock::boot_now;
use crate::limits::ByteBudget;
use crate::limits::ConnectionPermit;
use crate::metrics::MetricsError;

/// Answers any request with 200 while the host is ready and with 503 otherwise.
pub(crate) async fn serve_readiness(
    state: Arc<EdgeState>,
    stream: TcpStream,
    permit: ConnectionPermit,
) {
    let caller = CallerConnection::new(stream, permit);
    serve_page(caller, &state.memory, || match state.is_ready() {
        true => (200, "ready\n".to_owned()),
        false => (503, "not ready\n".to_owned()),
    })
    .await;
}

/// Answers any request with the metrics.
pub(crate) async fn serve_metrics(
    state: Arc<EdgeState>,
    stream: TcpStream,
    permit: ConnectionPermit,
) {
    let caller = CallerConnection::new(stream, permit);
    serve_page(caller, &state.memory, || match metrics_text(&state) {
        Ok(text) => (200, text),
        Err(error) => (500, format!("{error}\n")),
    })
    .await;
}

async fn serve_page(
    mut caller: CallerConnection,
    memory: &Arc<ByteBudget>,
    page: impl Fn() -> (u16, String),
) {
    let limits = CallerLimits::default();
    while let Ok(Some(start)) = caller.next_request(|| limits, memory).await {
        // A body has no use here, so it is not read.
        caller.reusable &= start.is_complete();
        let (status, body) = page();
        let reason = match status {
            200 => "OK",
            500 => "Internal Server Error",
            _ => "Service Unavailable",
        };
        let connection = match caller.reusable {
            true => "",
            false => "Connection: close\r\n",
        };
        let response = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\n{connection}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let written = write_bytes(&caller.stream, response.as_bytes()).await;
        if written.is_err() {
            return;
        }
        if !caller.reusable {
            return caller.close().await;
        }
        caller.permit.set_idle();
    }
}

fn metrics_text(state: &EdgeState) -> Result<String, MetricsError> {
    let (left_out, dropped) = state.log.lost_lines();
    let (revision, catalog) = state.view.held_versions();
    let age = state.evidence_age().map_or(0, |age| age.as_millis() as u64);
    let idle_slots = state.queue.lock_table().idle_granted_slots(boot_now());
    let history_gap = state.poison.gap.left(boot_now());
    let shard_sizes = state.queue.lock_table().shard_sizes();
    let shard_targets: usize = shard_sizes.iter().map(|(_, targets)| targets).sum();
    let mut gauges = vec![
        ("catalog_version", catalog),
        ("store_era", revision.era),
        ("store_revision", revision.number),
        ("evidence_age_ms", age),
        ("view_age_ms", state.view_age_ms().unwrap_or(0)),
        ("members_live", state.live_host_count() as u64),
        ("crash_history_gap_ms", history_gap.as_millis() as u64),
        ("granted_slots_idle", u64::from(idle_slots)),
        ("shard_targets", shard_targets as u64),
        ("requests_running", state.active_requests() as u64),
        ("request_memory_bytes", state.memory.taken() as u64),
        ("bodies_evicted_total", state.memory.evicted_bodies()),
        ("caller_connections", state.callers.len() as u64),
        (
            "caller_connections_evicted_total",
            state.callers.evicted_connections(),
        ),
        (
            "target_connections_kept",
            state.connections.idle_count() as u64,
        ),
        (
            "target_windows_limiting",
            state.queue.lock_table().window_count() as u64,
        ),
        ("log_lines_left_out_total", left_out),
        ("log_lines_dropped_total", dropped),
    ];
    gauges.extend(state.queue.admission_counts());
    let mut text = state.metrics.render(&gauges);
    text.push_str(&state.request_metrics.text()?);
    Ok(text)
}
