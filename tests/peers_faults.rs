//! Connections between hosts that go silent, end, or send invalid data.

mod peers_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use cardamomgw::ids::RequestId;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::MAX_STREAMED_CALLS;
use cardamomgw::peers::PROTOCOL_VERSION;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerError;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::PeerReply;
use cardamomgw::peers::ReplySender;
use peers_support::TIMEOUT;
use peers_support::any_port;
use peers_support::eventually;
use peers_support::identity;
use peers_support::mesh_to;

/// Answers digests, and keeps any other call open until the calling host cancels it.
struct HoldingHandler;

impl CallHandler for HoldingHandler {
    fn handle(&self, _from: String, call: PeerCall, mut replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async move {
            match call {
                PeerCall::Digest(digest) => {
                    replies.finish(PeerReply::Digest(digest)).await.ok();
                }
                _ => replies.closed().await,
            }
        })
    }
}

async fn listen_at(host: &str, address: SocketAddr) -> std::io::Result<PeerListener> {
    PeerListener::bind(address, identity(host), Arc::new(HoldingHandler)).await
}

async fn listen(host: &str) -> PeerListener {
    listen_at(host, any_port()).await.expect("a free port")
}

/// Binds an address that another listener has just released.
async fn rebind(host: &str, address: SocketAddr) -> PeerListener {
    let bind = async {
        loop {
            match listen_at(host, address).await {
                Ok(listener) => return listener,
                Err(_) => task::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    async_std::future::timeout(TIMEOUT, bind)
        .await
        .expect("the address becomes free")
}

/// A call that [`HoldingHandler`] keeps open.
fn join_call() -> PeerCall {
    PeerCall::Join {
        request: RequestId::generate(1),
        account: "polar".to_owned(),
    }
}

async fn answers(mesh: &PeerMesh, host: &str) -> bool {
    let call = PeerCall::Digest(Box::default());
    mesh.call(host, call, Duration::from_secs(2)).await.is_ok()
}

/// A TCP proxy that can stall its existing connections without closing them, while new
/// connections work. It records what the callers send.
struct StallingProxy {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
    sent: Arc<Mutex<Vec<u8>>>,
}

impl StallingProxy {
    async fn spawn(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let generation = Arc::<AtomicU64>::default();
        let sent = Arc::<Mutex<Vec<u8>>>::default();
        let link = Self {
            address,
            generation: Arc::clone(&generation),
            sent: Arc::clone(&sent),
        };
        task::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(to).await else {
                    continue;
                };
                let record = Some(Arc::clone(&sent));
                task::spawn(forward(
                    client.clone(),
                    server.clone(),
                    Arc::clone(&generation),
                    record,
                ));
                task::spawn(forward(server, client, Arc::clone(&generation), None));
            }
        });
        link
    }

    /// Stalls all connections that are open now.
    fn stall(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    generation: Arc<AtomicU64>,
    record: Option<Arc<Mutex<Vec<u8>>>>,
) {
    let opened = generation.load(Ordering::SeqCst);
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        if generation.load(Ordering::SeqCst) != opened {
            // Stalled: keeps both sockets open and forwards nothing any more.
            continue;
        }
        if let Some(record) = &record {
            record
                .lock()
                .expect("no holder panics")
                .extend_from_slice(&buffer[..count]);
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}

/// A middlebox drops the state of an open connection between two hosts, so that it goes
/// silent without a socket error; new connections work. Calls on the old connection must
/// fail without a timeout of their own, calls to other peers must continue, and the peer
/// must become reachable over a new connection.
#[async_std::test]
async fn silent_connection_fails_its_calls_and_is_reopened() {
    let b = listen("b").await;
    let c = listen("c").await;
    let proxy = StallingProxy::spawn(b.address()).await;
    let mesh = mesh_to(&[("b", proxy.address), ("c", c.address())]);
    eventually("both answer", async || {
        answers(&mesh, "b").await && answers(&mesh, "c").await
    })
    .await;
    let request = RequestId::generate(1);
    let mut pending = mesh
        .open_call(
            "b",
            PeerCall::Join {
                request,
                account: "harbour".into(),
            },
        )
        .await
        .unwrap();

    proxy.stall();
    let lost = async_std::future::timeout(TIMEOUT, pending.next()).await;

    assert_eq!(lost.unwrap(), Err(PeerError::ConnectionLost));
    assert!(answers(&mesh, "c").await);
    eventually("b answers again", async || answers(&mesh, "b").await).await;
    eventually("b drops the half-open connection", async || {
        b.counters().silent.load(Ordering::Relaxed) == 1
    })
    .await;
    let links = mesh.links();
    assert_eq!(links.iter().map(|link| link.connect_count).max(), Some(2));
}

/// A host is replaced at the same address. Its peers must reconnect by themselves, and a call
/// made in the meantime must fail at once instead of waiting.
#[async_std::test]
async fn restarted_peer_is_called_again() {
    let first = listen("b").await;
    let address = first.address();
    let mesh = mesh_to(&[("b", address)]);
    eventually("b answers", async || answers(&mesh, "b").await).await;

    drop(first);
    eventually("the lost connection is noticed", async || {
        mesh.connected_peers().is_empty()
    })
    .await;
    let call = PeerCall::Digest(Box::default());
    let result = mesh.call("b", call, TIMEOUT).await;
    let _second = rebind("b", address).await;

    assert_eq!(result, Err(PeerError::NotConnected));
    eventually("b answers again", async || answers(&mesh, "b").await).await;
}

/// A host connects to an address from its settings, and its first document names the seat at
/// that address. The connection must be kept: if it were closed and reopened, all claims in
/// the meantime would find no majority.
#[async_std::test]
async fn seed_that_the_roster_names_keeps_its_connection() {
    let b = listen("b").await;
    let mesh = PeerMesh::spawn(identity("a"), vec![b.address()]);
    eventually("b answers", async || answers(&mesh, "b").await).await;

    mesh.set_peers(&[("b".to_owned(), b.address())]);

    assert!(answers(&mesh, "b").await);
    let links = mesh.links();
    assert_eq!((links.len(), links[0].connect_count), (1, 1));
}

/// Two hosts relay hundreds of answers concurrently. A further one must be refused at once
/// instead of waiting for a free stream, and claims must still get through.
#[async_std::test]
async fn streamed_calls_leave_streams_for_short_ones() {
    let b = listen("b").await;
    let mesh = mesh_to(&[("b", b.address())]);
    eventually("b answers", async || answers(&mesh, "b").await).await;
    let mut streams = Vec::new();
    for _ in 0..MAX_STREAMED_CALLS {
        streams.push(mesh.open_call("b", join_call()).await.unwrap());
    }

    let refused = mesh.open_call("b", join_call()).await.err();
    let short = answers(&mesh, "b").await;
    streams.pop();
    let again = mesh.open_call("b", join_call()).await;

    assert_eq!(refused, Some(PeerError::TooManyCalls));
    assert!(short);
    assert!(again.is_ok());
}

#[async_std::test]
async fn stopped_mesh_fails_its_pending_calls_at_once() {
    let b = listen("b").await;
    let mesh = mesh_to(&[("b", b.address())]);
    eventually("b answers", async || answers(&mesh, "b").await).await;
    let mut pending = mesh.open_call("b", join_call()).await.unwrap();

    mesh.stop();
    let ended = async_std::future::timeout(TIMEOUT, pending.next()).await;

    assert_eq!(ended.unwrap(), Err(PeerError::ConnectionLost));
    assert!(mesh.links().is_empty());
}

#[async_std::test]
async fn peer_that_leaves_the_roster_is_not_called_any_more() {
    let b = listen("b").await;
    let c = listen("c").await;
    let mesh = mesh_to(&[("b", b.address()), ("c", c.address())]);
    eventually("both answer", async || {
        answers(&mesh, "b").await && answers(&mesh, "c").await
    })
    .await;

    mesh.set_peers(&[("c".to_owned(), c.address())]);

    let call = PeerCall::Digest(Box::default());
    assert_eq!(
        mesh.call("b", call, TIMEOUT).await,
        Err(PeerError::UnknownHost { host: "b".into() })
    );
    assert!(answers(&mesh, "c").await);
    let links = mesh.links();
    assert_eq!(links.len(), 1);
    assert_eq!(links[0].connect_count, 1);
}

/// Hosts of two releases connect during a rolling replacement. The old one must not try to
/// decode messages that it doesn't know: both ends report the version that they found.
#[async_std::test]
async fn unknown_version_is_refused_by_the_listener_and_counted() {
    let listener = listen("b").await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();

    stream
        .write_all(b"CMGW\x00\x63\x00\x05hello")
        .await
        .unwrap();
    let mut header = [0; 8];
    stream.read_exact(&mut header).await.unwrap();

    assert_eq!(&header[..4], b"CMGW");
    assert_eq!(header[4..6], PROTOCOL_VERSION.to_be_bytes());
    eventually("counted", async || {
        listener.counters().unknown_version.load(Ordering::Relaxed) == 1
    })
    .await;
}

#[async_std::test]
async fn unknown_version_is_reported_to_the_caller() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let mesh = mesh_to(&[("b", listener.local_addr().unwrap())]);
    let (mut stream, _) = listener.accept().await.unwrap();

    stream.write_all(b"CMGW\x00\x63\x00\x00").await.unwrap();

    eventually("refusal", async || {
        mesh.links()[0].last_error == Some(PeerError::UnknownVersion { theirs: 99 })
    })
    .await;
}

/// Somebody replays the recorded bytes of a host's connection. The listener's nonce differs
/// each time, so the proof fails.
#[async_std::test]
async fn replayed_handshake_is_refused() {
    let listener = listen("b").await;
    let proxy = StallingProxy::spawn(listener.address()).await;
    let mesh = mesh_to(&[("b", proxy.address)]);
    eventually("b answers", async || answers(&mesh, "b").await).await;
    let recorded = proxy.sent.lock().unwrap().clone();

    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    stream.write_all(&recorded).await.unwrap();

    eventually("refused", async || {
        listener.counters().not_authentic.load(Ordering::Relaxed) == 1
    })
    .await;
    assert_eq!(listener.counters().accepted.load(Ordering::Relaxed), 1);
}

#[async_std::test]
async fn connection_without_a_handshake_is_closed() {
    let listener = listen("b").await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();

    let mut rest = Vec::new();
    let read = async_std::future::timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;

    assert_eq!(read.unwrap().unwrap(), 0);
}
