//! The connections to all peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_std::future;

use super::LinkStatus;
use super::PeerCall;
use super::PeerError;
use super::PeerIdentity;
use super::PeerReply;
use super::PeerStream;
use super::peer_link::PeerLink;
use crate::ids::HostName;

/// Connections to all peers. Each is maintained by its own task, so that a dead peer
/// never delays a call to another one. Dropping the mesh closes them.
pub struct PeerMesh {
    identity: Arc<PeerIdentity>,
    /// Addresses to which connections are maintained without knowing the host there.
    seeds: ArcSwap<Vec<SocketAddr>>,
    links: ArcSwap<Vec<Arc<PeerLink>>>,
    /// Serialises replacements of the links; never locked by a call.
    change: Mutex<()>,
}

impl PeerMesh {
    /// Connects to the `seeds`, the addresses from the settings whose host names aren't
    /// known yet, and maintains the connections.
    pub fn spawn(identity: PeerIdentity, seeds: Vec<SocketAddr>) -> Arc<Self> {
        let mesh = Self {
            identity: Arc::new(identity),
            seeds: ArcSwap::from_pointee(seeds),
            links: ArcSwap::default(),
            change: Mutex::new(()),
        };
        mesh.set_peers(&[]);
        Arc::new(mesh)
    }

    /// Replaces the named peers: the seats of the roster without this host. Connections
    /// to unchanged peers are kept, and so are those to seeds that are no seat's address.
    pub fn set_peers(&self, peers: &[(HostName, SocketAddr)]) {
        let _change = self.change.lock().unwrap_or_else(PoisonError::into_inner);
        let before = self.links.load_full();
        let mut wanted: Vec<(SocketAddr, Option<HostName>)> = peers
            .iter()
            .filter(|(host, _)| *host != self.identity.host)
            .map(|(host, address)| (*address, Some(host.clone())))
            .collect();
        let own: Vec<SocketAddr> = peers
            .iter()
            .filter(|(host, _)| *host == self.identity.host)
            .map(|(_, address)| *address)
            .collect();
        for seed in self.seeds.load().iter() {
            let named = wanted.iter().any(|(address, _)| address == seed);
            if !named && !own.contains(seed) {
                wanted.push((*seed, None));
            }
        }
        let after: Vec<Arc<PeerLink>> = wanted
            .into_iter()
            .map(|(address, expected)| self.reuse_or_spawn(&before, address, expected))
            .collect();
        for link in before.iter() {
            if !after.iter().any(|kept| Arc::ptr_eq(kept, link)) {
                link.stop();
            }
        }
        self.links.store(Arc::new(after));
    }

    /// Replaces the seeds, as of the next [`PeerMesh::set_peers`]. A connection to a former one
    /// is kept only if its host is among the peers.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Returns the addresses to which connections are maintained without knowing the host there.
    pub fn seeds(&self) -> Arc<Vec<SocketAddr>> {
        self.seeds.load_full()
    }

    fn reuse_or_spawn(
        &self,
        before: &[Arc<PeerLink>],
        address: SocketAddr,
        expected: Option<HostName>,
    ) -> Arc<PeerLink> {
        before
            .iter()
            .find(|link| link.address() == address && link.is_reusable_for(expected.as_ref()))
            .cloned()
            .unwrap_or_else(|| PeerLink::spawn(address, expected, Arc::clone(&self.identity)))
    }

    /// Makes a call and waits for its single reply.
    ///
    /// # Errors
    ///
    /// [`PeerError::UnknownHost`] and [`PeerError::NotConnected`] are returned at once and
    /// mean that nothing was sent; after any other error the call may have taken effect.
    pub async fn call(
        &self,
        host: &str,
        call: PeerCall,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        future::timeout(timeout, self.call_once(host, call)).await?
    }

    async fn call_once(&self, host: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        let sender = self.find_link(host)?.sender()?;
        let mut stream = PeerStream::open(sender, &call, None).await?;
        stream.next().await?.ok_or(PeerError::NoReply)
    }

    /// Makes a call that is answered by a stream of replies. It has no timeout; it fails
    /// when the connection is lost or goes silent.
    ///
    /// # Errors
    ///
    /// Those of [`PeerMesh::call`], and [`PeerError::TooManyCalls`], which is returned at once.
    pub async fn open_call(&self, host: &str, call: PeerCall) -> Result<PeerStream, PeerError> {
        let link = self.find_link(host)?;
        let sender = link.sender()?;
        let slot = link.take_slot()?;
        PeerStream::open(sender, &call, Some(slot)).await
    }

    /// Returns a link to `host`, preferably a connected one.
    fn find_link(&self, host: &str) -> Result<Arc<PeerLink>, PeerError> {
        let links = self.links.load();
        let mut matching = links.iter().filter(|link| link.is_for_host(host));
        let first = matching.next().ok_or_else(|| PeerError::UnknownHost {
            host: host.to_owned(),
        })?;
        if first.is_connected() {
            return Ok(Arc::clone(first));
        }
        let other = matching.find(|link| link.is_connected());
        Ok(Arc::clone(other.unwrap_or(first)))
    }

    /// Returns the sorted names of the connected peers. This host is left out, although its
    /// own address may be among the seeds.
    pub fn connected_peers(&self) -> Vec<HostName> {
        let links = self.links.load();
        let mut hosts: Vec<HostName> = links
            .iter()
            .filter(|link| link.is_connected())
            .filter_map(|link| link.host())
            .filter(|host| *host != self.identity.host)
            .collect();
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// Returns the state of each link.
    pub fn links(&self) -> Vec<LinkStatus> {
        self.links.load().iter().map(|link| link.status()).collect()
    }

    /// Closes all connections; pending calls fail at once.
    pub fn stop(&self) {
        let _change = self.change.lock().unwrap_or_else(PoisonError::into_inner);
        for link in self.links.swap(Arc::default()).iter() {
            link.stop();
        }
    }
}

impl Drop for PeerMesh {
    fn drop(&mut self) {
        self.stop();
    }
}
