//! Tells operators which peers come and go, and counts who was refused.

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

/// How often the links and counters are looked at; the pace of the pings that
/// notice a loss.
const PERIOD: Duration = Duration::from_secs(1);

/// A running watch of links and refusals; dropping it ends it.
pub struct PeerWatch {
    stop: Sender<()>,
}

impl PeerWatch {
    /// Writes a line for each peer that comes or goes, and shows the listener's
    /// refusals as metrics, from now on.
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
    let mut roll = PeerTracker::default();
    let mut shown = [0; 3];
    while let Some(mesh) = mesh.upgrade() {
        for change in roll.update(&mesh.links()) {
            log.write(&change);
        }
        drop(mesh);
        show_refusals(&counters, &mut shown, &metrics);
        task::sleep(PERIOD).await;
    }
}

/// Adds to the metrics what was refused since the last look.
fn show_refusals(counters: &ListenerCounters, shown: &mut [u64; 3], metrics: &RequestMetrics) {
    let sources: [(&AtomicU64, RefusedPeer); 3] = [
        (&counters.not_authentic, RefusedPeer::Authentication),
        (&counters.malformed_calls, RefusedPeer::Malformed),
        (&counters.unknown_version, RefusedPeer::Version),
    ];
    for ((counter, reason), shown) in sources.into_iter().zip(shown) {
        let count = counter.load(Ordering::Relaxed);
        for _ in *shown..count {
            metrics.count_refused_peer(reason);
        }
        *shown = count;
    }
}
