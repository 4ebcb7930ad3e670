//! Fetches from peers what is too large for gossip messages: the catalog and large views.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future::timeout;
use serde::de::DeserializeOwned;

use super::edge_state::EdgeState;
use crate::catalog::CatalogParts;
use crate::clock::boot_now;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::ids::StoreRevision;
use crate::logs::DecisionLine;
use crate::members::GossipMessage;
use crate::peers::MAX_PACKAGE_BYTES;
use crate::peers::PeerCall;
use crate::peers::PeerError;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::peers::unpack_value;
use crate::view::ViewUpdate;

/// Time limit for each chunk of a package.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// Versions and ages of a peer's view, by its own report.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerViewState {
    pub(super) revision: StoreRevision,
    pub(super) catalog: CatalogVersion,
    pub(super) catalog_revision: StoreRevision,
    pub(super) evidence_age_ms: Option<u64>,
    pub(super) view_age_ms: Option<u64>,
}

impl PeerViewState {
    pub(super) const fn of(message: &GossipMessage) -> Self {
        Self {
            revision: message.revision,
            catalog: message.catalog,
            catalog_revision: message.catalog_revision,
            evidence_age_ms: message.evidence_age_ms,
            view_age_ms: message.view_age_ms,
        }
    }
}

/// Fetches views from peers, one at a time.
pub(super) struct ViewFetcher {
    state: Arc<EdgeState>,
    mesh: Arc<PeerMesh>,
    /// Whether a fetch is in progress.
    is_fetching: AtomicBool,
}

impl ViewFetcher {
    pub(super) const fn new(state: Arc<EdgeState>, mesh: Arc<PeerMesh>) -> Self {
        Self {
            state,
            mesh,
            is_fetching: AtomicBool::new(false),
        }
    }

    /// Fetches what this host lacks from a peer, unless a fetch is already in progress.
    /// The catalog is fetched first, because no request can be served without it.
    pub(super) async fn catch_up(&self, peer: &HostName, peer_view: PeerViewState) {
        let (revision, catalog) = self.state.view.held_versions();
        let is_behind = peer_view.catalog > catalog || peer_view.revision > revision;
        if !is_behind || self.is_fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let guard = self.state.track_view_fetch();
        let mut fetched = Ok(());
        if peer_view.catalog > catalog {
            fetched = self.fetch_catalog(peer).await;
        }
        if fetched.is_ok() && peer_view.revision > self.state.view.held_versions().0 {
            fetched = self.fetch_targets(peer).await;
        }
        drop(guard);
        self.is_fetching.store(false, Ordering::Release);
        if let Err(error) = fetched {
            self.state.log.write(&DecisionLine::ViewFetchFailed {
                peer: peer.clone(),
                revision: peer_view.revision,
                catalog: peer_view.catalog,
                reason: error.to_string(),
            });
        }
    }

    async fn fetch_catalog(&self, peer: &HostName) -> Result<(), PeerError> {
        let known = self.state.view.held_versions().1;
        let parts: Option<CatalogParts> = self.fetch(peer, PeerCall::Catalog { known }).await?;
        if parts.is_some() {
            let update = ViewUpdate {
                catalog: parts,
                ..ViewUpdate::default()
            };
            self.apply_update(update, peer);
        }
        Ok(())
    }

    async fn fetch_targets(&self, peer: &HostName) -> Result<(), PeerError> {
        if let Some(update) = self.fetch(peer, PeerCall::FleetView).await? {
            self.apply_update(update, peer);
        }
        Ok(())
    }

    /// Applies an update from a peer and passes it on to others.
    pub(super) fn apply_update(&self, update: ViewUpdate, peer: &HostName) {
        let change = self.state.view.apply_peer_view(update, boot_now());
        if !change.is_empty() {
            self.state.gossip_schedule().expedite_all();
        }
        self.state.apply_change(change, Some(peer));
    }

    /// Makes a call whose reply is a package; returns `None` if the package is empty.
    async fn fetch<T: DeserializeOwned>(
        &self,
        peer: &HostName,
        call: PeerCall,
    ) -> Result<Option<T>, PeerError> {
        let call = self.mesh.open_call(peer, call);
        let mut chunks = timeout(CHUNK_TIMEOUT, call).await??;
        let mut package = Vec::new();
        while let Some(reply) = timeout(CHUNK_TIMEOUT, chunks.next()).await?? {
            let PeerReply::PackageChunk(chunk) = reply else {
                return Err(PeerError::MalformedMessage);
            };
            package.extend_from_slice(&chunk);
            if package.len() > MAX_PACKAGE_BYTES {
                return Err(PeerError::MessageTooLarge);
            }
        }
        if package.is_empty() {
            return Ok(None);
        }
        let value = unpack_value(&package).ok_or(PeerError::MalformedMessage)?;
        Ok(Some(value))
    }
}
