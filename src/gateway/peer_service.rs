//! Answers calls of peers.

use std::sync::Arc;

use bytes::Bytes;

use crate::answers::AnswerChunk;
use crate::answers::AnswerEnd;
use crate::answers::AnswerReader;
use crate::controllers::DigestController;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::http::RequestHead;
use crate::ids::HostName;
use crate::peers::CallHandler;
use crate::peers::HandleFuture;
use crate::peers::PeerCall;
use crate::peers::PeerError;
use crate::peers::PeerReply;
use crate::peers::ReplySender;

use super::HostState;
use super::classify_filter::classify_request;
use super::identify_filter::identify_account;
use super::request_entry::start_request;

/// Answers calls of peers.
pub(crate) struct PeerService {
    host: Arc<HostState>,
    digests: Arc<DigestController>,
}

impl PeerService {
    /// Creates a service that answers from the host's state.
    pub(crate) fn new(host: Arc<HostState>, digests: Arc<DigestController>) -> Self {
        Self { host, digests }
    }

    async fn answer(&self, from: HostName, call: PeerCall, replies: ReplySender) {
        let replied = match call {
            PeerCall::Digest(digest) => {
                let own = self.digests.accept(&from, *digest);
                replies.finish(PeerReply::Digest(Box::new(own))).await
            }
            PeerCall::DigestDelta(delta) => {
                let receipt = self.digests.accept_delta(&from, &delta);
                replies.finish(PeerReply::Receipt(receipt)).await
            }
            PeerCall::Document => {
                let copy = self.host.config.copy();
                replies.finish(PeerReply::Document(copy)).await
            }
            PeerCall::Claim(call) => {
                let reply = self.host.claims.handle(call);
                replies.finish(PeerReply::Claim(reply)).await
            }
            PeerCall::Join { request, account } => {
                match self.host.answers.find(request, &account) {
                    Some(buffer) => send_answer(AnswerReader::open(buffer), replies).await,
                    None => refuse(ErrorKind::HolderLost, replies).await,
                }
            }
            PeerCall::Serve { head, body } => match self.start(head, body) {
                Ok(reader) => send_answer(reader, replies).await,
                Err(kind) => refuse(kind, replies).await,
            },
            // Hosts of this kind exchange digests and have no gossip, views or catalogs.
            PeerCall::Gossip(_)
            | PeerCall::FleetView
            | PeerCall::Catalog { .. }
            | PeerCall::Forward(_)
            | PeerCall::PartHolders(_)
            | PeerCall::Paths(_)
            | PeerCall::SlotReport(_)
            | PeerCall::StreamOrigin(_) => refuse(ErrorKind::NotReady, replies).await,
        };
        // A failed send means that the peer is gone; there is nobody to answer.
        replied.ok();
    }

    fn start(&self, head: RequestHead, body: Bytes) -> Result<AnswerReader, ErrorKind> {
        let view = self.host.view().ok_or(ErrorKind::NotReady)?;
        let account = identify_account(&view, &head)?;
        let mut request = classify_request(&view, account, head)?;
        request.forwarded = true;
        let permit = self.host.memory.take(body.len());
        let permit = permit.ok_or(ErrorKind::Overloaded)?;
        start_request(&self.host, request, body, permit)
    }
}

impl CallHandler for PeerService {
    fn handle(&self, from: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(self.answer(from, call, replies))
    }
}

async fn refuse(kind: ErrorKind, replies: ReplySender) -> Result<(), PeerError> {
    let refused = PeerReply::Refused {
        kind,
        retry_after_ms: None,
    };
    replies.finish(refused).await
}

async fn send_answer(mut reader: AnswerReader, mut replies: ReplySender) -> Result<(), PeerError> {
    let Some(head) = reader.local_head().await else {
        return refuse(ErrorKind::HolderLost, replies).await;
    };
    replies.send(PeerReply::AnswerHead(head)).await?;
    loop {
        match reader.next_chunk().await {
            AnswerChunk::Bytes(bytes) => replies.send(PeerReply::AnswerBody(bytes)).await?,
            AnswerChunk::End(AnswerEnd::Complete) => {
                let outcome = RequestOutcome::Done;
                return replies.finish(PeerReply::AnswerEnd { outcome }).await;
            }
            // Dropping the unfinished sender resets the stream, so that the answer doesn't
            // look complete.
            AnswerChunk::End(AnswerEnd::Truncated(_)) | AnswerChunk::Evicted => return Ok(()),
        }
    }
}
