//! Logs peers that connect or are lost, and counts refused peers.

use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use futures_lite::future::or;

use super::PeerTracker;
use crate::logs::StateLog;
use crate::metrics::RefusedPeer;
use crate::metrics::RequestMetrics;
use crate::peers::ListenerCounters;
use crate::peers::PeerMesh;

/// Poll interval of links and counters; equal to the interval of the pings that detect
/// a loss.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// A running watch of links and refusals; stops when dropped.
pub struct PeerWatch {
    stop: Sender<()>,
}

impl PeerWatch {
    /// Starts to log each peer that connects or is lost, and to export the listener's
    /// refusals as metrics.
    pub fn spawn(
        mesh: &Arc<PeerMesh>,
        counters: Arc<ListenerCounters>,
        log: Arc<StateLog>,
        metrics: Arc<RequestMetrics>,
    ) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let stop_signal = async move {
            stopped.recv().await.ok();
        };
        let watch = watch_forever(Arc::downgrade(mesh), counters, log, metrics);
        task::spawn(or(stop_signal, watch));
        Self { stop }
    }
}

impl Drop for PeerWatch {
    fn drop(&mut self) {
        self.stop.close();
    }
}

async fn watch_forever(
    mesh: Weak<PeerMesh>,
    counters: Arc<ListenerCounters>,
    log: Arc<StateLog>,
    metrics: Arc<RequestMetrics>,
) {
    let mut tracker = PeerTracker::default();
    let mut exported = [0; 3];
    while let Some(mesh) = mesh.upgrade() {
        for change in tracker.update(&mesh.links()) {
            log.write(&change);
        }
        drop(mesh);
        export_refusals(&counters, &mut exported, &metrics);
        task::sleep(POLL_PERIOD).await;
    }
}

/// Adds the refusals since the last update to the metrics.
fn export_refusals(counters: &ListenerCounters, exported: &mut [u64; 3], metrics: &RequestMetrics) {
    let sources: [(&AtomicU64, RefusedPeer); 3] = [
        (&counters.not_authentic, RefusedPeer::Authentication),
        (&counters.malformed_calls, RefusedPeer::Malformed),
        (&counters.unknown_version, RefusedPeer::Version),
    ];
    for ((counter, reason), exported) in sources.into_iter().zip(exported) {
        let count = counter.load(Ordering::Relaxed);
        for _ in *exported..count {
            metrics.count_refused_peer(reason);
        }
        *exported = count;
    }
}
