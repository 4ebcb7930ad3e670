//! Measures the cost of calls between hosts on this machine.
//!
//! `cargo run --release --example peer_cost` prints, for 1, 3 and 7 peers, the time of one call
//! and of a round to all peers, the CPU time per call under load (for both ends, which share
//! this process), the bytes per call, and the bytes per second of an idle connection. It also
//! prints the cost of exchanging digests: as full digests in both directions, and as deltas in
//! which no target changed or all did.

mod resource_usage;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use bytes::Bytes;
use cardamomgw::errors::RequestOutcome;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::DigestInbox;
use cardamomgw::peers::DigestOutbox;
use cardamomgw::peers::DigestReceipt;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerDigest;
use cardamomgw::peers::PeerIdentity;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::PeerReply;
use cardamomgw::peers::ReplySender;
use cardamomgw::policy::HostDigest;
use cardamomgw::policy::TargetDemand;
use cardamomgw::roster::RosterDigest;
use cardamomgw::roster::RosterTag;
use cardamomgw::roster::SeatIncarnation;
use resource_usage::cpu_micros;
use resource_usage::wire_bytes;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of calls and rounds that are timed individually.
const SAMPLES: usize = 5_000;
/// Concurrent callers in the run under load, and calls per caller.
const CALLERS: usize = 32;
const CALLS_PER_CALLER: usize = 2_000;
/// Number of chunks in the streamed answer, each of the size of a token event.
const CHUNKS: usize = 50_000;
const CHUNK: &[u8] = b"data: {\"offset\":1234,\"text\":\" token\"}\n\n";
/// Number of digests of each size.
const DIGESTS: u64 = 1_000;
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Answers digests, and any other call with a stream of small chunks.
#[derive(Default)]
struct CostHandler {
    inbox: Mutex<DigestInbox>,
}

impl CallHandler for CostHandler {
    fn handle(&self, from: String, call: PeerCall, mut replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async move {
            match call {
                PeerCall::Digest(digest) => {
                    self.inbox().store(&from, PeerDigest::clone(&digest));
                    replies.finish(PeerReply::Digest(digest)).await.ok();
                }
                PeerCall::DigestDelta(delta) => {
                    let applied = self.inbox().apply_delta(&from, &delta);
                    let receipt = match applied {
                        Some(_) => DigestReceipt::SameDocument,
                        None => DigestReceipt::UnknownBase,
                    };
                    replies.finish(PeerReply::Receipt(receipt)).await.ok();
                }
                _ => stream_chunks(&mut replies).await,
            }
        })
    }
}

impl CostHandler {
    fn inbox(&self) -> MutexGuard<'_, DigestInbox> {
        self.inbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn stream_chunks(replies: &mut ReplySender) {
    for _ in 0..CHUNKS {
        let chunk = PeerReply::AnswerBody(Bytes::from_static(CHUNK));
        if replies.send(chunk).await.is_err() {
            return;
        }
    }
    let outcome = RequestOutcome::Done;
    replies.send(PeerReply::AnswerEnd { outcome }).await.ok();
}

fn identity(host: String) -> PeerIdentity {
    let key = b"key".to_vec();
    PeerIdentity { host, key }
}

fn digest_call() -> PeerCall {
    PeerCall::Digest(Box::new(PeerDigest {
        version: 17_000,
        digest: [7; 32],
        ..PeerDigest::default()
    }))
}

async fn call(mesh: &PeerMesh, host: &str) {
    let reply = mesh.call(host, digest_call(), TIMEOUT).await;
    assert!(matches!(reply, Ok(PeerReply::Digest(_))), "{reply:?}");
}

fn quantile(times: &mut [Duration], share: f64) -> f64 {
    times.sort_unstable();
    let index = ((times.len() - 1) as f64 * share) as usize;
    times[index].as_secs_f64() * 1e6
}

async fn measure(peers: usize) {
    let mut listeners = Vec::new();
    for index in 0..peers {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let bound = PeerListener::bind(
            address,
            identity(format!("p{index}")),
            Arc::<CostHandler>::default(),
        );
        listeners.push(bound.await.expect("a free port"));
    }
    let mesh = PeerMesh::spawn(identity("caller".to_owned()), Vec::new());
    let named: Vec<_> = listeners
        .iter()
        .enumerate()
        .map(|(index, listener)| (format!("p{index}"), listener.address()))
        .collect();
    mesh.set_peers(&named);
    while mesh.connected_peers().len() < peers {
        task::sleep(Duration::from_millis(1)).await;
    }
    let hosts = mesh.connected_peers();
    println!("{peers} peers");
    measure_single(&mesh, &hosts).await;
    measure_rounds(&mesh, &hosts).await;
    measure_load(&mesh, &hosts).await;
    measure_stream(&mesh, &hosts).await;
    measure_digests(&mesh, &hosts[0]).await;
    measure_idle(&mesh, &hosts).await;
}

/// Exchanges digests as hosts of a running fleet do: full digests answered with full
/// digests, and deltas.
async fn measure_digests(mesh: &PeerMesh, host: &str) {
    for targets in [0, 15, 150] {
        let (before, cpu) = (wire_bytes(mesh), cpu_micros());
        for sequence in 1..=DIGESTS {
            let call = PeerCall::Digest(Box::new(sample_digest(targets, sequence, true)));
            let reply = mesh.call(host, call, TIMEOUT).await;
            assert!(matches!(reply, Ok(PeerReply::Digest(_))), "{reply:?}");
        }
        print_digests("full, both ways", targets, wire_bytes(mesh) - before, cpu);
        for (name, busy) in [("delta, idle", false), ("delta, busy", true)] {
            let (bytes, cpu) = measure_deltas(mesh, host, targets, busy).await;
            print_digests(name, targets, bytes, cpu);
        }
    }
}

/// Sends digests as deltas; between two of them, all targets change if `busy`, and none otherwise.
async fn measure_deltas(mesh: &PeerMesh, host: &str, targets: usize, busy: bool) -> (f64, f64) {
    let mut outbox = DigestOutbox::default();
    let (before, cpu) = (wire_bytes(mesh), cpu_micros());
    let peer = host.to_owned();
    for sequence in 1..=DIGESTS {
        let own = Arc::new(sample_digest(targets, sequence, busy));
        let call = outbox.call_for(&peer, &own);
        let is_full = matches!(call, PeerCall::Digest(_));
        let reply = mesh.call(host, call, TIMEOUT).await;
        assert!(
            matches!(
                reply,
                Ok(PeerReply::Digest(_) | PeerReply::Receipt(DigestReceipt::SameDocument))
            ),
            "{reply:?}"
        );
        outbox.mark_confirmed(&peer, &own, is_full);
    }
    (wire_bytes(mesh) - before, cpu)
}

fn print_digests(name: &str, targets: usize, bytes: f64, cpu: f64) {
    let count = DIGESTS as f64;
    let cost = (cpu_micros() - cpu) / count;
    println!(
        "  digest, 8 seats, {targets:3} targets, {name:15}: {:4.0} bytes both ways, \
         {cost:.0} us CPU time, both ends",
        bytes / count
    );
}

/// Returns a host's digest; if `busy`, the load and speed of each target depend on `sequence`.
fn sample_digest(targets: usize, sequence: u64, busy: bool) -> PeerDigest {
    let change = if busy { sequence as u32 } else { 0 };
    let incarnation = SeatIncarnation {
        started: 1_764_000_000_000,
        id: u64::MAX / 3,
    };
    let tag = Some(RosterTag {
        number: 1,
        digest: u32::MAX / 3,
    });
    let targets = (0..targets).map(|index| TargetDemand {
        target: format!("engine-{index:03}"),
        epoch: u64::MAX / 5,
        held: 8,
        wanted: 9,
        running: change % 9,
        pace_us: 31_000 + change % 997,
        best_us: 28_000,
        lent: Vec::new(),
    });
    PeerDigest {
        version: 17_000,
        digest: [7; 32],
        roster: Some(RosterDigest {
            incarnation,
            voting: true,
            active: tag,
            adopted: tag,
            incarnations: (0..8)
                .map(|seat| (format!("entry-{seat}"), incarnation))
                .collect(),
            bootstrap: None,
            plan: None,
        }),
        policy: Some(HostDigest {
            incarnation: u64::MAX / 3,
            sequence,
            targets: targets.collect(),
            ..HostDigest::default()
        }),
        ..PeerDigest::default()
    }
}

async fn measure_single(mesh: &PeerMesh, hosts: &[String]) {
    for index in 0..SAMPLES / 5 {
        call(mesh, &hosts[index % hosts.len()]).await;
    }
    let before = wire_bytes(mesh);
    let mut times = Vec::new();
    for index in 0..SAMPLES {
        let began = Instant::now();
        call(mesh, &hosts[index % hosts.len()]).await;
        times.push(began.elapsed());
    }
    let bytes = (wire_bytes(mesh) - before) / SAMPLES as f64;
    let (median, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
    println!(
        "  one call:       median {median:.0} us, p99 {p99:.0} us, {bytes:.0} bytes both ways"
    );
}

async fn measure_rounds(mesh: &Arc<PeerMesh>, hosts: &[String]) {
    let mut times = Vec::new();
    for _ in 0..SAMPLES {
        let began = Instant::now();
        let calls: Vec<_> = hosts
            .iter()
            .map(|host| {
                let (mesh, host) = (Arc::clone(mesh), host.clone());
                task::spawn(async move { call(&mesh, &host).await })
            })
            .collect();
        for call in calls {
            call.await;
        }
        times.push(began.elapsed());
    }
    let (median, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
    println!("  round to all:   median {median:.0} us, p99 {p99:.0} us");
}

async fn measure_load(mesh: &Arc<PeerMesh>, hosts: &[String]) {
    let (began, cpu) = (Instant::now(), cpu_micros());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (mesh, host) = (Arc::clone(mesh), hosts[caller % hosts.len()].clone());
            task::spawn(async move {
                for _ in 0..CALLS_PER_CALLER {
                    call(&mesh, &host).await;
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await;
    }
    let calls = (CALLERS * CALLS_PER_CALLER) as f64;
    let rate = calls / began.elapsed().as_secs_f64();
    let cost = (cpu_micros() - cpu) / calls;
    println!(
        "  {CALLERS} callers:     {rate:.0} calls/s, {cost:.1} us CPU time per call, both ends"
    );
}

async fn measure_stream(mesh: &PeerMesh, hosts: &[String]) {
    let (began, before) = (Instant::now(), wire_bytes(mesh));
    let cpu = cpu_micros();
    let mut stream = mesh
        .open_call(&hosts[0], PeerCall::Document)
        .await
        .expect("a live connection");
    let mut chunks = 0.0;
    while let Ok(Some(PeerReply::AnswerBody(_))) = stream.next().await {
        chunks += 1.0;
    }
    let time = began.elapsed().as_secs_f64() * 1e6 / chunks;
    let cost = (cpu_micros() - cpu) / chunks;
    let bytes = (wire_bytes(mesh) - before) / chunks;
    println!(
        "  streamed chunk: {time:.1} us, {cost:.1} us CPU time, {bytes:.0} bytes for {} bytes \
         of payload",
        CHUNK.len()
    );
}

async fn measure_idle(mesh: &PeerMesh, hosts: &[String]) {
    let before = wire_bytes(mesh);
    task::sleep(IDLE_TIME).await;
    let bytes = (wire_bytes(mesh) - before) / IDLE_TIME.as_secs_f64() / hosts.len() as f64;
    println!("  idle link:      {bytes:.0} bytes/s both ways");
}

fn main() {
    task::block_on(async {
        for peers in [1, 3, 7] {
            measure(peers).await;
        }
    });
}
