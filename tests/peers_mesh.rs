//! Calls between hosts over real sockets.

mod peers_support;

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use bytes::Bytes;
use cardamomgw::errors::RequestOutcome;
use cardamomgw::ids::HostName;
use cardamomgw::ids::RequestId;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::HeaderMap;
use cardamomgw::peers::MAX_MESSAGE_BYTES;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerError;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::PeerReply;
use cardamomgw::peers::RawDocument;
use cardamomgw::peers::ReplySender;
use cardamomgw::peers::RequestHead;
use peers_support::TIMEOUT;
use peers_support::any_port;
use peers_support::eventually;
use peers_support::identity;
use peers_support::identity_with_key;
use peers_support::mesh_to;

/// Number and interval of the chunks of a slow stream.
const SLOW_CHUNKS: usize = 12;
const SLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Answers `Digest` at once, `Document` with a large body, `Serve` with a stream and `Catalog`
/// with a slow one, and
/// leaves `Join` unanswered until the calling host cancels it.
#[derive(Default)]
struct EchoHandler {
    cancelled: AtomicUsize,
}

impl CallHandler for EchoHandler {
    fn handle(&self, from: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(self.answer(from, call, replies))
    }
}

impl EchoHandler {
    async fn answer(&self, from: HostName, call: PeerCall, mut replies: ReplySender) {
        match call {
            PeerCall::Digest(mut digest) => {
                // The version returns the length of the calling host's name.
                digest.version = from.len() as u64;
                replies.finish(PeerReply::Digest(digest)).await.ok();
            }
            PeerCall::Document => {
                let copy = RawDocument {
                    version: 9,
                    body: Bytes::from(vec![7; 1 << 20]),
                };
                replies.finish(PeerReply::Document(Some(copy))).await.ok();
            }
            PeerCall::Claim(_)
            | PeerCall::DigestDelta(_)
            | PeerCall::FleetView
            | PeerCall::Forward(_)
            | PeerCall::PartHolders(_)
            | PeerCall::Paths(_)
            | PeerCall::SlotReport(_)
            | PeerCall::StreamOrigin(_)
            | PeerCall::Gossip(_) => {}
            PeerCall::Catalog { .. } => {
                for _ in 0..SLOW_CHUNKS {
                    task::sleep(SLOW_INTERVAL).await;
                    let chunk = PeerReply::PackageChunk(Bytes::from_static(b"chunk"));
                    if replies.send(chunk).await.is_err() {
                        return;
                    }
                }
                replies.end().ok();
            }
            PeerCall::Join { .. } => {
                replies.closed().await;
                self.cancelled.fetch_add(1, Ordering::SeqCst);
            }
            PeerCall::Serve { body, .. } => {
                let truncated = body.is_empty();
                for piece in body.chunks(10) {
                    let piece = Bytes::copy_from_slice(piece);
                    if replies.send(PeerReply::AnswerBody(piece)).await.is_err() {
                        return;
                    }
                }
                if !truncated {
                    let outcome = RequestOutcome::Done;
                    replies.finish(PeerReply::AnswerEnd { outcome }).await.ok();
                }
            }
        }
    }
}

async fn listen(host: &str) -> (PeerListener, Arc<EchoHandler>) {
    let handler = Arc::<EchoHandler>::default();
    let listener = PeerListener::bind(any_port(), identity(host), handler.clone())
        .await
        .expect("a free port on loopback");
    (listener, handler)
}

async fn connected(mesh: &PeerMesh, host: &str) {
    eventually(host, async || {
        mesh.connected_peers().iter().any(|name| name == host)
    })
    .await;
}

fn digest_call() -> PeerCall {
    PeerCall::Digest(Box::default())
}

async fn within<T>(work: impl Future<Output = T>) -> T {
    async_std::future::timeout(TIMEOUT, work)
        .await
        .expect("the peer answers in time")
}

#[async_std::test]
async fn call_reaches_the_named_host_and_carries_the_callers_name() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;

    let reply = mesh.call("b", digest_call(), TIMEOUT).await.unwrap();

    let PeerReply::Digest(digest) = reply else {
        panic!("another reply: {reply:?}");
    };
    assert_eq!(digest.version, "a".len() as u64);
    assert_eq!(
        mesh.call("c", digest_call(), TIMEOUT).await,
        Err(PeerError::UnknownHost { host: "c".into() })
    );
}

#[async_std::test]
async fn streamed_replies_arrive_in_order_and_end() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;
    let body: Bytes = (0..200u8).collect::<Vec<u8>>().into();
    let call = serve_call(body.clone());

    let mut stream = mesh.open_call("b", call).await.unwrap();
    let mut received = Vec::new();
    let mut ended = false;
    while let Some(reply) = within(stream.next()).await.unwrap() {
        match reply {
            PeerReply::AnswerBody(piece) => received.extend_from_slice(&piece),
            PeerReply::AnswerEnd { .. } => ended = true,
            other => panic!("another reply: {other:?}"),
        }
    }

    assert_eq!(received, body);
    assert!(ended);
}

/// Guards against a link that its peer closes as half open, since the calling end only receives.
#[async_std::test]
async fn a_slow_stream_outlasts_the_silence_timeout() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;

    let call = PeerCall::Catalog { known: 0 };
    let mut stream = mesh.open_call("b", call).await.unwrap();
    let mut chunks = 0;
    while let Some(PeerReply::PackageChunk(_)) = stream.next().await.unwrap() {
        chunks += 1;
    }

    assert_eq!(chunks, SLOW_CHUNKS);
}

fn serve_call(body: Bytes) -> PeerCall {
    PeerCall::Serve {
        head: RequestHead {
            method: "POST".into(),
            path: "/v1/generate".into(),
            query: None,
            headers: HeaderMap::new(),
        },
        body,
    }
}

#[async_std::test]
async fn document_larger_than_the_window_arrives_complete() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;

    let reply = mesh.call("b", PeerCall::Document, TIMEOUT).await.unwrap();

    let PeerReply::Document(Some(copy)) = reply else {
        panic!("another reply");
    };
    assert_eq!(copy.body.len(), 1 << 20);
}

/// A peer's handler ends in the middle of an answer. The stream must not end as if it were
/// complete, or the calling host would relay a truncated answer as complete.
#[async_std::test]
async fn call_that_the_handler_drops_is_an_error_not_an_end() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;

    let mut stream = mesh.open_call("b", serve_call(Bytes::new())).await.unwrap();

    assert_eq!(within(stream.next()).await, Err(PeerError::CallAbandoned));
}

#[async_std::test]
async fn handler_notices_a_call_that_the_caller_drops() {
    let (listener, handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;
    let request = RequestId::generate(1);

    let timeout = Duration::from_millis(50);
    let join = PeerCall::Join {
        request,
        account: "harbour".into(),
    };
    let result = mesh.call("b", join, timeout).await;

    assert_eq!(result, Err(PeerError::TimedOut));
    eventually("reset seen", async || {
        handler.cancelled.load(Ordering::SeqCst) == 1
    })
    .await;
}

/// Stalled callers leave many relayed answers unread. They would exhaust h2's
/// default window of the connection, and claims and digests on the same connection would
/// stall as if the peer were dead.
#[async_std::test]
async fn unread_answers_do_not_block_other_calls() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;
    let mut unread = Vec::new();
    for _ in 0..100 {
        unread.push(mesh.open_call("b", PeerCall::Document).await.unwrap());
    }

    let reply = mesh.call("b", digest_call(), TIMEOUT).await;

    assert!(reply.is_ok(), "{reply:?}");
    let first = within(unread[0].next()).await.unwrap();
    assert!(matches!(first, Some(PeerReply::Document(Some(_)))));
}

#[async_std::test]
async fn oversize_message_is_refused_before_it_is_sent() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("b", listener.address())]);
    connected(&mesh, "b").await;
    let body = Bytes::from(vec![0; MAX_MESSAGE_BYTES + 1]);

    let result = mesh.call("b", serve_call(body), TIMEOUT).await;

    assert_eq!(result, Err(PeerError::MessageTooLarge));
    mesh.call("b", digest_call(), TIMEOUT).await.unwrap();
}

#[async_std::test]
async fn peer_with_another_key_is_refused_both_ways() {
    let (listener, _handler) = listen("b").await;
    let mesh = PeerMesh::spawn(identity_with_key("a", "another"), vec![listener.address()]);

    eventually("refusal", async || {
        mesh.links()[0].last_error == Some(PeerError::NotAuthentic)
    })
    .await;

    let counters = listener.counters();
    assert!(counters.not_authentic.load(Ordering::Relaxed) > 0);
    assert_eq!(counters.accepted.load(Ordering::Relaxed), 0);
    assert!(mesh.connected_peers().is_empty());
}

/// An old roster names an address that now belongs to another host. If claims were counted
/// under the old name, one host's vote would count for two seats.
#[async_std::test]
async fn host_that_answers_under_another_name_is_not_called() {
    let (listener, _handler) = listen("b").await;
    let mesh = mesh_to(&[("c", listener.address())]);

    eventually("refusal", async || {
        mesh.links()[0].last_error == Some(PeerError::WrongHost { found: "b".into() })
    })
    .await;

    assert_eq!(
        mesh.call("c", digest_call(), TIMEOUT).await,
        Err(PeerError::NotConnected)
    );
}

#[async_std::test]
async fn seed_is_called_by_the_name_from_its_handshake() {
    let (listener, _handler) = listen("b").await;
    let mesh = PeerMesh::spawn(identity("a"), vec![listener.address()]);
    connected(&mesh, "b").await;

    assert!(mesh.call("b", digest_call(), TIMEOUT).await.is_ok());
}
