//! Answers the calls of peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;

use super::edge_state::EdgeState;
use super::gossip_merge::handle_gossip;
use crate::errors::ErrorKind;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::ids::StoreRevision;
use crate::peers::CallHandler;
use crate::peers::HandleFuture;
use crate::peers::PeerCall;
use crate::peers::PeerError;
use crate::peers::PeerReply;
use crate::peers::ReplySender;
use crate::peers::pack_value;

/// The size of a piece of a package, in bytes: small, so that gossip passes between pieces.
const PIECE_BYTES: usize = 16 << 10;

/// Answers the calls of peers.
pub(crate) struct GossipService {
    state: Arc<EdgeState>,
    /// The packed view and its revision: many hosts that start at once ask for it.
    packed_view: Mutex<(StoreRevision, Bytes)>,
}

impl GossipService {
    /// Puts the host's state behind the calls.
    pub(crate) fn new(state: Arc<EdgeState>) -> Self {
        Self {
            state,
            packed_view: Mutex::default(),
        }
    }

    fn answer(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Gossip(message) => {
                PeerReply::Gossip(Box::new(handle_gossip(&self.state, *message)))
            }
            // Hosts that serve routes keep neither seats nor documents.
            _ => PeerReply::Refused {
                kind: ErrorKind::NotReady,
                retry_after_ms: None,
            },
        }
    }

    /// Returns the catalog packed; empty where there is no newer one than `known`.
    fn catalog_package(&self, known: CatalogVersion) -> Bytes {
        let catalog = self.state.view.catalog();
        let newer = catalog.filter(|catalog| catalog.version() > known);
        newer.map_or_else(Bytes::new, |catalog| catalog.encoded_parts().clone())
    }

    /// Returns all targets and evacuations packed.
    fn view_package(&self) -> Bytes {
        let packed = &self.packed_view;
        let mut packed = packed.lock().unwrap_or_else(PoisonError::into_inner);
        if packed.0 != self.state.view.revision() || packed.1.is_empty() {
            let update = self.state.view.full_update();
            *packed = (update.revision, pack_value(&update));
        }
        packed.1.clone()
    }
}

async fn send_package(package: Bytes, mut replies: ReplySender) -> Result<(), PeerError> {
    for start in (0..package.len()).step_by(PIECE_BYTES) {
        let end = package.len().min(start + PIECE_BYTES);
        let piece = PeerReply::PackageChunk(package.slice(start..end));
        replies.send(piece).await?;
    }
    replies.end()
}

impl CallHandler for GossipService {
    fn handle(&self, _: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        let package = match call {
            PeerCall::Catalog { known } => Some(self.catalog_package(known)),
            PeerCall::FleetView => Some(self.view_package()),
            _ => None,
        };
        if let Some(package) = package {
            return Box::pin(async move {
                send_package(package, replies).await.ok();
            });
        }
        let reply = self.answer(call);
        Box::pin(async move {
            // A peer that is gone needs no answer.
            replies.finish(reply).await.ok();
        })
    }
}
