//! Tests of one host's claims at seats whose connections lose messages.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;

use super::ClaimCoordinator;
use super::ClaimOutcome;
use crate::claim::ClaimCall;
use crate::claim::ClaimOperation;
use crate::claim::ClaimReply;
use crate::claim::ClaimTicket;
use crate::claim::RegisterSettings;
use crate::claim::SeatAnswer;
use crate::claim::SeatRegister;
use crate::clock::unix_now;
use crate::ids::HostName;
use crate::ids::RequestId;
use crate::logs::StateLog;
use crate::metrics::RequestMetrics;
use crate::peers::CallHandler;
use crate::peers::HandleFuture;
use crate::peers::PeerCall;
use crate::peers::PeerIdentity;
use crate::peers::PeerListener;
use crate::peers::PeerMesh;
use crate::peers::PeerReply;
use crate::peers::ReplySender;
use crate::roster::RosterPlan;
use crate::roster::SeatIncarnation;
use crate::settings::LogLevel;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long before the test the seats' roster was bootstrapped, so that they may vote
/// on new ids.
const BOOTSTRAP_AGE_MS: u64 = 10_000;

fn quiet_log() -> Arc<StateLog> {
    let metrics = RequestMetrics::open().unwrap();
    Arc::new(StateLog::open(LogLevel::Error, metrics).unwrap())
}

/// A seat that drops its first releases.
struct LossySeat {
    seat: Mutex<SeatRegister>,
    drops: AtomicUsize,
}

impl LossySeat {
    fn ask(&self, call: ClaimCall) -> ClaimReply {
        self.seat.lock().unwrap().handle(call, unix_now())
    }
}

impl CallHandler for LossySeat {
    fn handle(&self, _: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async move {
            let PeerCall::Claim(call) = call else {
                return;
            };
            let count_drop = |left: usize| left.checked_sub(1);
            let is_release = call.operation == ClaimOperation::Release;
            if is_release
                && self
                    .drops
                    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, count_drop)
                    .is_ok()
            {
                return;
            }
            let reply = PeerReply::Claim(self.ask(call));
            replies.finish(reply).await.ok();
        })
    }
}

fn identity(host: &str) -> PeerIdentity {
    PeerIdentity {
        host: host.to_owned(),
        key: b"key".to_vec(),
    }
}

/// Creates the seats of a fleet that was bootstrapped a while ago.
fn bootstrapped_seats() -> Vec<SeatRegister> {
    let bootstrapped_at = unix_now() - BOOTSTRAP_AGE_MS;
    let seat = |host: &&str| serde_json::json!({"host": host, "address": "127.0.0.1:1", "availability_zone": "z"});
    let seats: Vec<_> = HOSTS.iter().map(seat).collect();
    let roster = serde_json::from_value(serde_json::json!({"number": 1, "seats": seats})).unwrap();
    let plan = RosterPlan::new(&roster, None, false);
    let mut registers: Vec<SeatRegister> = (1..)
        .zip(HOSTS)
        .map(|(incarnation, host)| {
            let incarnation = SeatIncarnation {
                started: bootstrapped_at,
                id: incarnation,
            };
            SeatRegister::open(host.into(), incarnation, RegisterSettings::default())
        })
        .collect();
    for register in &mut registers {
        register
            .roster_mut()
            .offer(plan.clone(), bootstrapped_at)
            .unwrap();
    }
    for _ in 0..HOSTS.len() {
        for from in 0..HOSTS.len() {
            let digest = registers[from].roster().digest();
            for to in (0..HOSTS.len()).filter(|to| *to != from) {
                let name = HOSTS[from].to_owned();
                registers[to]
                    .roster_mut()
                    .apply_digest(&name, digest.clone(), bootstrapped_at);
            }
        }
    }
    registers
}

async fn bind(host: &str, seat: SeatRegister, drops: usize) -> (PeerListener, Arc<LossySeat>) {
    let seat = Arc::new(LossySeat {
        seat: Mutex::new(seat),
        drops: AtomicUsize::new(drops),
    });
    let address = ([127, 0, 0, 1], 0).into();
    let listener = PeerListener::bind(address, identity(host), seat.clone())
        .await
        .unwrap();
    (listener, seat)
}

fn call(
    id: RequestId,
    operation: ClaimOperation,
    round: u64,
    roster: crate::roster::RosterTag,
) -> ClaimCall {
    let ticket = ClaimTicket {
        host: "c".into(),
        incarnation: 3,
        round,
        attempt: 1,
    };
    ClaimCall {
        id,
        roster,
        operation,
        ticket,
    }
}

/// Guards against a release that is lost on its way. Host a loses an id to host c, and
/// its release of seat b's grant is lost. Host c gives up the id and seat c fails: a
/// and b form a majority, but b would name a as the holder for ten minutes, and each
/// resend would be answered `unknown`.
#[async_std::test]
async fn a_lost_release_is_sent_again() {
    let seats: [SeatRegister; 3] = bootstrapped_seats().try_into().ok().unwrap();
    let [mut own, seat_b, seat_c] = seats;
    let roster = own.roster().active_tag().unwrap();
    let id = RequestId::generate(unix_now());
    own.handle(call(id, ClaimOperation::Claim, 1, roster), unix_now());
    let (listener_b, b) = bind("b", seat_b, 1).await;
    let (listener_c, c) = bind("c", seat_c, 0).await;
    c.ask(call(id, ClaimOperation::Claim, 1, roster));
    let mesh = PeerMesh::spawn(identity("a"), Vec::new());
    mesh.set_peers(&[
        ("b".into(), listener_b.address()),
        ("c".into(), listener_c.address()),
    ]);
    let began = Instant::now();
    while mesh.connected_peers().len() < 2 {
        assert!(began.elapsed() < TIMEOUT, "the peers did not connect");
        task::sleep(Duration::from_millis(5)).await;
    }
    let coordinator = ClaimCoordinator::open("a".into(), 1, own, mesh, quiet_log());

    let outcome = coordinator.claim(id, 1).await;

    assert!(matches!(outcome, ClaimOutcome::Held(holder) if holder.host == "c"));
    let began = Instant::now();
    loop {
        let answer = b.ask(call(id, ClaimOperation::Bar, 2, roster)).answer;
        if b.drops.load(Ordering::SeqCst) == 0 && matches!(answer, SeatAnswer::Barred { .. }) {
            break;
        }
        assert!(began.elapsed() < TIMEOUT, "seat b still says {answer:?}");
        task::sleep(Duration::from_millis(20)).await;
    }
}
