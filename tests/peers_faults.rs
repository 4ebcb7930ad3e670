//! Connections between hosts that go silent, end, or speak something else.

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
use peers_support::PATIENCE;
use peers_support::any_port;
use peers_support::eventually;
use peers_support::identity;
use peers_support::mesh_to;

/// Answers digests, and holds any other call open until the caller goes.
struct PatientHandler;

impl CallHandler for PatientHandler {
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
    PeerListener::bind(address, identity(host), Arc::new(PatientHandler)).await
}

async fn listen(host: &str) -> PeerListener {
    listen_at(host, any_port()).await.expect("a free port")
}

/// Binds an address that another listener has just left.
async fn listen_again(host: &str, address: SocketAddr) -> PeerListener {
    let bind = async {
        loop {
            match listen_at(host, address).await {
                Ok(listener) => return listener,
                Err(_) => task::sleep(Duration::from_millis(10)).await,
            }
        }
    };
    async_std::future::timeout(PATIENCE, bind)
        .await
        .expect("the address becomes free")
}

/// A call that the patient handler holds open.
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

/// A link that forgets the connections it has on command, without closing
/// them, and passes new ones on; it records what the callers sent.
struct ForgetfulLink {
    address: SocketAddr,
    age: Arc<AtomicU64>,
    sent: Arc<Mutex<Vec<u8>>>,
}

impl ForgetfulLink {
    async fn spawn(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let age = Arc::<AtomicU64>::default();
        let sent = Arc::<Mutex<Vec<u8>>>::default();
        let link = Self {
            address,
            age: Arc::clone(&age),
            sent: Arc::clone(&sent),
        };
        task::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(to).await else {
                    continue;
                };
                let record = Some(Arc::clone(&sent));
                task::spawn(pass_on(near.clone(), far.clone(), Arc::clone(&age), record));
                task::spawn(pass_on(far, near, Arc::clone(&age), None));
            }
        });
        link
    }

    /// Forgets all connections that are open now.
    fn forget(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }
}

async fn pass_on(
    mut from: TcpStream,
    mut to: TcpStream,
    age: Arc<AtomicU64>,
    record: Option<Arc<Mutex<Vec<u8>>>>,
) {
    let born = age.load(Ordering::SeqCst);
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        if age.load(Ordering::SeqCst) != born {
            // Keeps both sockets open and passes nothing on, for good.
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

/// A middle box loses track of an open connection between two hosts; new
/// connections work. No socket error ever comes. Calls on the old connection
/// must fail without a time-out of their own, calls to other peers go on, and
/// the peer can be called again over a new connection.
#[async_std::test]
async fn silent_connection_fails_its_calls_and_is_opened_anew() {
    let b = listen("b").await;
    let c = listen("c").await;
    let link = ForgetfulLink::spawn(b.address()).await;
    let mesh = mesh_to(&[("b", link.address), ("c", c.address())]);
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

    link.forget();
    let lost = async_std::future::timeout(PATIENCE, pending.next()).await;

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

/// A host is replaced at the same address. Its peers call it again without
/// being told, and a call made meanwhile fails at once instead of waiting.
#[async_std::test]
async fn restarted_peer_is_called_again() {
    let first = listen("b").await;
    let address = first.address();
    let mesh = mesh_to(&[("b", address)]);
    eventually("b answers", async || answers(&mesh, "b").await).await;

    drop(first);
    eventually("the loss is seen", async || {
        mesh.connected_peers().is_empty()
    })
    .await;
    let call = PeerCall::Digest(Box::default());
    let meanwhile = mesh.call("b", call, PATIENCE).await;
    let _second = listen_again("b", address).await;

    assert_eq!(meanwhile, Err(PeerError::NotConnected));
    eventually("b answers again", async || answers(&mesh, "b").await).await;
}

/// A host starts by an address from its settings; its first document names the
/// seat behind it. The connection must go on: cut and opened anew, every claim
/// of that moment would find no majority.
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

/// Hundreds of relayed answers run between two hosts at once. One more must be
/// refused at once, not wait unseen for a stream, and claims must still pass.
#[async_std::test]
async fn streamed_calls_leave_room_for_short_ones() {
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
    let ended = async_std::future::timeout(PATIENCE, pending.next()).await;

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
        mesh.call("b", call, PATIENCE).await,
        Err(PeerError::UnknownHost { host: "b".into() })
    );
    assert!(answers(&mesh, "c").await);
    let links = mesh.links();
    assert_eq!(links.len(), 1);
    assert_eq!(links[0].connect_count, 1);
}

/// Hosts of two releases meet during a rolling replacement. The old one must
/// not guess at messages that it doesn't know: both ends say which version they met.
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
async fn unknown_version_is_named_to_the_caller() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let mesh = mesh_to(&[("b", listener.local_addr().unwrap())]);
    let (mut stream, _) = listener.accept().await.unwrap();

    stream.write_all(b"CMGW\x00\x63\x00\x00").await.unwrap();

    eventually("refusal", async || {
        mesh.links()[0].last_error == Some(PeerError::UnknownVersion { theirs: 99 })
    })
    .await;
}

/// Somebody recorded the bytes of a host's connection and plays them again.
/// The listener's own random number differs each time, so the proof fails.
#[async_std::test]
async fn recorded_handshake_does_not_open_a_second_connection() {
    let listener = listen("b").await;
    let link = ForgetfulLink::spawn(listener.address()).await;
    let mesh = mesh_to(&[("b", link.address)]);
    eventually("b answers", async || answers(&mesh, "b").await).await;
    let recorded = link.sent.lock().unwrap().clone();

    let mut stream = TcpStream::connect(listener.address()).await.unwrap();
    stream.write_all(&recorded).await.unwrap();

    eventually("refused", async || {
        listener.counters().not_authentic.load(Ordering::Relaxed) == 1
    })
    .await;
    assert_eq!(listener.counters().accepted.load(Ordering::Relaxed), 1);
}

#[async_std::test]
async fn connection_that_says_nothing_is_dropped() {
    let listener = listen("b").await;
    let mut stream = TcpStream::connect(listener.address()).await.unwrap();

    let mut rest = Vec::new();
    let read = async_std::future::timeout(PATIENCE, stream.read_to_end(&mut rest)).await;

    assert_eq!(read.unwrap().unwrap(), 0);
}
