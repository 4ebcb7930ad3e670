//! Handles calls from peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;

use super::edge_state::EdgeState;
use super::forward_service::serve_forwarded;
use super::gossip_merge::handle_gossip;
use super::part_holders::answer_part_query;
use super::stream_origin::answer_origin;
use crate::clock::boot_now;
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

/// Size of the chunks of a package, in bytes. Small chunks let gossip messages pass in
/// between.
const CHUNK_BYTES: usize = 16 << 10;

/// Handles calls from peers.
pub(crate) struct GossipService {
    state: Arc<EdgeState>,
    /// The packed view and its revision, cached because many hosts may start and request
    /// it at once.
    packed_view: Mutex<(StoreRevision, Bytes)>,
}

impl GossipService {
    /// Creates a service that serves the given host state.
    pub(crate) fn new(state: Arc<EdgeState>) -> Self {
        Self {
            state,
            packed_view: Mutex::default(),
        }
    }

    fn answer(&self, from: HostName, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Paths(reaches) => {
                self.state.merge_paths(from, reaches);
                PeerReply::Paths(self.state.queue.lock_table().own_reach(boot_now()))
            }
            PeerCall::Gossip(message) => {
                PeerReply::Gossip(Box::new(handle_gossip(&self.state, *message)))
            }
            PeerCall::SlotReport(report) => match self.state.answer_slot_report(&from, *report) {
                Some(grants) => PeerReply::SlotGrants(grants),
                None => PeerReply::Refused {
                    kind: ErrorKind::NotReady,
                    retry_after_ms: None,
                },
            },
            // Hosts that serve routes hold neither seats nor documents.
            _ => PeerReply::Refused {
                kind: ErrorKind::NotReady,
                retry_after_ms: None,
            },
        }
    }

    /// Returns the packed catalog; empty if it is not newer than `known`.
    fn catalog_package(&self, known: CatalogVersion) -> Bytes {
        let catalog = self.state.view.catalog();
        let newer = catalog.filter(|catalog| catalog.version() > known);
        newer.map_or_else(Bytes::new, |catalog| catalog.encoded_parts().clone())
    }

    /// Returns all targets and evacuations, packed.
    fn view_package(&self) -> Bytes {
        let cached = &self.packed_view;
        let mut cached = cached.lock().unwrap_or_else(PoisonError::into_inner);
        if cached.0 != self.state.view.revision() || cached.1.is_empty() {
            let update = self.state.view.full_update();
            *cached = (update.revision, pack_value(&update));
        }
        cached.1.clone()
    }
}

async fn send_package(package: Bytes, mut replies: ReplySender) -> Result<(), PeerError> {
    for start in (0..package.len()).step_by(CHUNK_BYTES) {
        let end = package.len().min(start + CHUNK_BYTES);
        let chunk = PeerReply::PackageChunk(package.slice(start..end));
        replies.send(chunk).await?;
    }
    replies.end()
}

impl CallHandler for GossipService {
    fn handle(&self, from: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        let call = match call {
            PeerCall::Forward(request) => {
                return Box::pin(serve_forwarded(&self.state, from, *request, replies));
            }
            call => call,
        };
        let call = match call {
            PeerCall::StreamOrigin(query) => {
                return Box::pin(async move {
                    let answer = answer_origin(&self.state, query).await;
                    replies.finish(PeerReply::StreamOrigin(answer)).await.ok();
                });
            }
            call => call,
        };
        let call = match call {
            PeerCall::PartHolders(query) => {
                return Box::pin(async move {
                    let reply = match answer_part_query(&self.state, query).await {
                        Some(found) => PeerReply::PartHolders(found),
                        None => PeerReply::Refused {
                            kind: ErrorKind::NotReady,
                            retry_after_ms: None,
                        },
                    };
                    replies.finish(reply).await.ok();
                });
            }
            call => call,
        };
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
        let reply = self.answer(from, call);
        Box::pin(async move {
            // A failed send is ignored, because the peer may have disconnected.
            replies.finish(reply).await.ok();
        })
    }
}
