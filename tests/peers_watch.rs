//! Logging and counting of peers that connect, disconnect or are refused.

mod peers_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use cardamomgw::controllers::PeerTracker;
use cardamomgw::controllers::PeerWatch;
use cardamomgw::logs::StateLog;
use cardamomgw::metrics::RequestMetrics;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::LinkStatus;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerError;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::ReplySender;
use cardamomgw::settings::LogLevel;
use peers_support::TIMEOUT;
use peers_support::any_port;
use peers_support::identity;
use peers_support::identity_with_key;

struct NoHandler;

impl CallHandler for NoHandler {
    fn handle(&self, _from: String, _call: PeerCall, _replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async {})
    }
}

fn link(host: &str, connected: bool) -> LinkStatus {
    LinkStatus {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        host: Some(host.to_owned()),
        connected,
        last_error: (!connected).then_some(PeerError::ConnectionLost),
        connect_count: 1,
        read_bytes: 0,
        written_bytes: 0,
    }
}

fn update(tracker: &mut PeerTracker, links: &[LinkStatus]) -> Vec<String> {
    let changes = tracker.update(links);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn each_connect_and_disconnect_is_logged_once() {
    let mut tracker = PeerTracker::default();

    let first = update(&mut tracker, &[link("b", true), link("c", false)]);
    let same = update(&mut tracker, &[link("b", true), link("c", false)]);
    let lost = update(&mut tracker, &[link("b", false), link("c", true)]);

    assert_eq!(first, ["peer b is connected"]);
    assert!(same.is_empty());
    assert_eq!(
        lost,
        [
            "peer c is connected",
            "peer b is lost: the connection was lost"
        ]
    );
}

#[test]
fn peer_removed_from_the_roster_is_not_logged_as_lost() {
    let mut tracker = PeerTracker::default();
    update(&mut tracker, &[link("b", true), link("c", true)]);

    assert!(update(&mut tracker, &[link("c", true)]).is_empty());
}

#[async_std::test]
async fn refused_key_is_counted_in_the_metrics() {
    let listener = PeerListener::bind(any_port(), identity("b"), Arc::new(NoHandler))
        .await
        .unwrap();
    let mesh = PeerMesh::spawn(identity_with_key("a", "another"), vec![listener.address()]);
    let metrics = RequestMetrics::open().unwrap();
    let log = StateLog::open(LogLevel::Error, metrics.clone()).unwrap();

    let counters = Arc::clone(listener.counters());
    let _watch = PeerWatch::spawn(&mesh, counters, Arc::new(log), metrics.clone());

    let shown = async {
        loop {
            let text = metrics.text().unwrap();
            if text.contains("refused_peers") && text.contains("authentication") {
                break;
            }
            task::sleep(Duration::from_millis(10)).await;
        }
    };
    async_std::future::timeout(TIMEOUT, shown).await.unwrap();
}
