//! Fixtures shared by the tests of connections between hosts.

// Each test file that includes these fixtures uses some of them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use cardamomgw::peers::PeerIdentity;
use cardamomgw::peers::PeerMesh;

/// How long a condition may take to become true on a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// A host with the fleet's key.
pub(crate) fn identity(host: &str) -> PeerIdentity {
    identity_with_key(host, "key")
}

pub(crate) fn identity_with_key(host: &str, key: &str) -> PeerIdentity {
    PeerIdentity {
        host: host.to_owned(),
        key: key.as_bytes().to_vec(),
    }
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The mesh of host `a` to these peers.
pub(crate) fn mesh_to(peers: &[(&str, SocketAddr)]) -> Arc<PeerMesh> {
    let mesh = PeerMesh::spawn(identity("a"), Vec::new());
    let peers: Vec<(String, SocketAddr)> = peers
        .iter()
        .map(|(host, address)| ((*host).to_owned(), *address))
        .collect();
    mesh.set_peers(&peers);
    mesh
}

pub(crate) async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let poll = async {
        while !condition().await {
            task::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = async_std::future::timeout(TIMEOUT, poll).await;
    assert!(result.is_ok(), "timed out: {what}");
}
