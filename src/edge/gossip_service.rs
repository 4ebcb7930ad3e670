//! Answers the calls of peers.

use std::sync::Arc;

use super::edge_state::EdgeState;
use super::gossip_controller::answer_gossip;
use crate::catalog::RouteCatalog;
use crate::errors::ErrorKind;
use crate::ids::CatalogVersion;
use crate::ids::HostName;
use crate::peers::CallHandler;
use crate::peers::HandleFuture;
use crate::peers::PeerCall;
use crate::peers::PeerError;
use crate::peers::PeerReply;
use crate::peers::ReplySender;

/// The size of a piece of a catalog, in bytes: small, so that gossip passes between pieces.
const PIECE_BYTES: usize = 16 << 10;

/// Answers the calls of peers.
pub(crate) struct GossipService {
    state: Arc<EdgeState>,
}

impl GossipService {
    /// Puts the host's state behind the calls.
    pub(crate) const fn new(state: Arc<EdgeState>) -> Self {
        Self { state }
    }

    fn answer(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Gossip(message) => {
                PeerReply::Gossip(Box::new(answer_gossip(&self.state, *message)))
            }
            PeerCall::FleetView => {
                let update = self.state.view.whole_update();
                PeerReply::FleetView(Box::new(update))
            }
            // Hosts that serve routes keep neither seats nor documents.
            _ => PeerReply::Refused {
                kind: ErrorKind::NotReady,
                retry_after_ms: None,
            },
        }
    }
}

/// Sends a catalog in pieces, none where there is no newer one than `known`.
async fn send_catalog(
    catalog: Option<Arc<RouteCatalog>>,
    known: CatalogVersion,
    mut replies: ReplySender,
) -> Result<(), PeerError> {
    if let Some(catalog) = catalog.filter(|catalog| catalog.version() > known) {
        let package = catalog.package();
        for start in (0..package.len()).step_by(PIECE_BYTES) {
            let end = package.len().min(start + PIECE_BYTES);
            let piece = PeerReply::CatalogPiece(package.slice(start..end));
            replies.send(piece).await?;
        }
    }
    replies.end()
}

impl CallHandler for GossipService {
    fn handle(&self, _: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        if let PeerCall::Catalog { known } = call {
            let catalog = self.state.view.catalog();
            return Box::pin(async move {
                send_catalog(catalog, known, replies).await.ok();
            });
        }
        let reply = self.answer(call);
        Box::pin(async move {
            // A peer that is gone needs no answer.
            replies.finish(reply).await.ok();
        })
    }
}
