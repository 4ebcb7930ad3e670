//! Measures the cost of a claim over the network: bytes and CPU time of a call to a seat
//! over a connection between hosts, on loopback.
//!
//! `cargo run --release --example claim_round` prints both for several rates of concurrent
//! calls.

mod resource_usage;

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use cardamomgw::claim::ClaimCall;
use cardamomgw::claim::ClaimOperation;
use cardamomgw::claim::ClaimTicket;
use cardamomgw::claim::RegisterSettings;
use cardamomgw::claim::SeatRegister;
use cardamomgw::clock::unix_now;
use cardamomgw::fleet::SeatRoster;
use cardamomgw::ids::RequestId;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerIdentity;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::PeerReply;
use cardamomgw::peers::ReplySender;
use cardamomgw::roster::RosterPlan;
use cardamomgw::roster::RosterTag;
use cardamomgw::roster::SeatIncarnation;
use resource_usage::cpu_micros;
use resource_usage::wire_bytes;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Calls per second to one seat; 72 is one seat's share in a full-size fleet.
const RATES: [u32; 4] = [72, 288, 504, 1_008];
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Handles claim calls with a seat register.
struct SeatHandler {
    seat: Mutex<SeatRegister>,
}

impl CallHandler for SeatHandler {
    fn handle(&self, _from: String, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async move {
            let PeerCall::Claim(call) = call else {
                return;
            };
            let reply = self
                .seat
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .handle(call, unix_now());
            replies.finish(PeerReply::Claim(reply)).await.ok();
        })
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    task::block_on(measure())
}

async fn measure() -> Result<(), Box<dyn Error>> {
    let seat = open_single_seat()?;
    let roster = seat.roster().active_tag().ok_or("no active roster")?;
    let handler = Arc::new(SeatHandler {
        seat: Mutex::new(seat),
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = PeerListener::bind(address, identity("entry-host-00"), handler).await?;
    let mesh = PeerMesh::spawn(identity("entry-host-01"), Vec::new());
    mesh.set_peers(&[("entry-host-00".to_owned(), listener.address())]);
    while mesh.connected_peers().is_empty() {
        task::sleep(Duration::from_millis(1)).await;
    }
    for rate in RATES {
        measure_rate(&mesh, roster, rate).await;
    }
    Ok(())
}

/// Makes calls at a steady rate, each in a separate task as in the daemon.
async fn measure_rate(mesh: &Arc<PeerMesh>, roster: RosterTag, rate: u32) {
    let (bytes, cpu) = (wire_bytes(mesh), cpu_micros());
    let began = Instant::now();
    let mut calls = Vec::new();
    while began.elapsed() < MEASUREMENT_TIME {
        let mesh = Arc::clone(mesh);
        calls.push(task::spawn(async move {
            let call = PeerCall::Claim(claim(roster));
            let reply = mesh.call("entry-host-00", call, TIMEOUT).await;
            assert!(matches!(reply, Ok(PeerReply::Claim(_))), "{reply:?}");
        }));
        let next = Duration::from_secs(1) * calls.len() as u32 / rate;
        task::sleep(next.saturating_sub(began.elapsed())).await;
    }
    let count = calls.len() as f64;
    for call in calls {
        call.await;
    }
    let bytes = (wire_bytes(mesh) - bytes) / count;
    let cost = (cpu_micros() - cpu) / count;
    println!(
        "{:.0} calls/s: {bytes:.0} bytes in both directions, {cost:.0} us CPU time per call, \
         both ends",
        count / began.elapsed().as_secs_f64()
    );
}

fn claim(roster: RosterTag) -> ClaimCall {
    ClaimCall {
        id: RequestId::generate(unix_now()),
        roster,
        operation: ClaimOperation::Claim,
        ticket: ClaimTicket {
            host: "entry-host-01".to_owned(),
            incarnation: u64::MAX / 3,
            round: 1_000_000,
            attempt: 1,
        },
    }
}

fn open_single_seat() -> Result<SeatRegister, Box<dyn Error>> {
    let incarnation = SeatIncarnation {
        started: unix_now(),
        id: 7,
    };
    let settings = RegisterSettings::default();
    let mut seat = SeatRegister::open("entry-host-00".into(), incarnation, settings);
    let only = serde_json::json!({
        "host": "entry-host-00",
        "address": "127.0.0.1:1",
        "availability_zone": "z1",
    });
    let roster: SeatRoster =
        serde_json::from_value(serde_json::json!({"number": 1, "seats": [only]}))?;
    let plan = RosterPlan::new(&roster, None, false);
    seat.roster_mut().offer(plan, unix_now())?;
    Ok(seat)
}

fn identity(host: &str) -> PeerIdentity {
    PeerIdentity {
        host: host.to_owned(),
        key: b"key".to_vec(),
    }
}
