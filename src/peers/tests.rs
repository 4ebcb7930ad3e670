//! Calls that only a faulty peer sends. These tests use the private handshake to send them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_std::net::TcpStream;
use async_std::task;
use bytes::Bytes;
use h2::Reason;
use h2::client;
use http::Request;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::CallHandler;
use super::HandleFuture;
use super::PeerCall;
use super::PeerIdentity;
use super::PeerListener;
use super::ReplySender;
use super::handshake_exchange;
use super::message_codec;

struct NoHandler;

impl CallHandler for NoHandler {
    fn handle(&self, _from: String, _call: PeerCall, _replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async {})
    }
}

fn identity() -> PeerIdentity {
    PeerIdentity {
        host: "b".to_owned(),
        key: b"key".to_vec(),
    }
}

async fn listen() -> PeerListener {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    PeerListener::bind(address, identity(), Arc::new(NoHandler))
        .await
        .expect("a free port")
}

/// Sends `bytes` as the body of a call and returns why the stream was reset.
async fn send_raw(listener: &PeerListener, bytes: &'static [u8]) -> Option<Reason> {
    let mut stream = TcpStream::connect(listener.address())
        .await
        .expect("the listener accepts");
    handshake_exchange::handshake_as_connector(&mut stream, &identity())
        .await
        .expect("the key is right");
    let (sender, connection) = client::handshake(stream.compat())
        .await
        .expect("the listener speaks h2");
    task::spawn(async move { connection.await.ok() });
    let mut sender = sender.ready().await.expect("a live connection");
    let (response, mut body) = sender
        .send_request(Request::new(()), false)
        .expect("a live connection");
    body.send_data(Bytes::from_static(bytes), true)
        .expect("a live connection");
    response.await.err().and_then(|error| error.reason())
}

#[async_std::test]
async fn oversize_call_is_refused_by_its_length_prefix_alone() {
    let listener = listen().await;

    let reason = send_raw(&listener, &[0xff, 0xff, 0xff, 0xff, 0]).await;

    assert_eq!(reason, Some(Reason::FRAME_SIZE_ERROR));
    assert_eq!(
        listener.counters().malformed_calls.load(Ordering::Relaxed),
        1
    );
}

#[async_std::test]
async fn truncated_or_unknown_call_is_refused() {
    let listener = listen().await;

    let truncated = send_raw(&listener, &[0, 0, 0, 9, 1]).await;
    let unknown = send_raw(&listener, &[0, 0, 0, 1, 200]).await;
    let empty = send_raw(&listener, &[]).await;

    assert_eq!(truncated, Some(Reason::PROTOCOL_ERROR));
    assert_eq!(unknown, Some(Reason::PROTOCOL_ERROR));
    assert_eq!(empty, Some(Reason::PROTOCOL_ERROR));
    assert_eq!(listener.counters().calls.load(Ordering::Relaxed), 0);
}

/// A message of a few bytes declares a body of 2^62 bytes. Without the codec's limit the
/// listener would try to allocate them before it notices that they are missing, and
/// abort.
#[async_std::test]
async fn length_inside_a_message_does_not_allocate_memory() {
    let listener = listen().await;

    // Serve, method "", path "", no headers, then the body's length.
    let bytes = &[0, 0, 0, 13, 3, 0, 0, 0, 253, 0, 0, 0, 0, 0, 0, 0, 0x40];
    let reason = send_raw(&listener, bytes).await;

    assert_eq!(reason, Some(Reason::PROTOCOL_ERROR));
}

#[test]
fn small_messages_stay_small_on_the_wire() {
    let call = PeerCall::Document;

    let frame = message_codec::encode_frame(&call).unwrap();

    assert_eq!(frame.len(), 5);
}
