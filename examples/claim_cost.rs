//! Measures the cost of claims: microseconds per call, bytes per remembered claim, and bytes
//! per message. Run it in release mode with one size per process, so that no size reuses memory
//! that another one freed: `cargo run --release --example claim_cost -- 50000`.

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::time::Instant;

use cardamomgw::claim::ClaimCall;
use cardamomgw::claim::ClaimOperation;
use cardamomgw::claim::ClaimTicket;
use cardamomgw::claim::RegisterSettings;
use cardamomgw::claim::SeatRegister;
use cardamomgw::fleet::SeatRoster;
use cardamomgw::ids::RequestId;
use cardamomgw::ids::UnixMillis;
use cardamomgw::roster::RosterDigest;
use cardamomgw::roster::RosterPlan;
use cardamomgw::roster::SeatIncarnation;

const BOOTSTRAP_MS: UnixMillis = 1_700_000_000_000;
/// Offset of the first id from the bootstrap of the roster; exceeds the clock skew.
const SETTLED_MS: UnixMillis = 10_000;
/// Time range of the ids; none of them expires during the run.
const ID_RANGE_MS: UnixMillis = 500_000;
const DEFAULT_SIZE: u64 = 50_000;
const CALLS: u64 = 20_000;
/// Number of new ids per millisecond.
const NEW_IDS_PER_MS: u64 = 4;
const PAGE_BYTES: u64 = 4_096;

fn main() -> Result<(), Box<dyn Error>> {
    println!("claims  claim-us  resend-us  release-us  resident-bytes/claim");
    let wanted = std::env::args().nth(1);
    let size = wanted.map_or(Ok(DEFAULT_SIZE), |text| text.parse())?;
    measure(size)?;
    for seats in [3, 5, 8] {
        print_message_sizes(seats)?;
    }
    Ok(())
}

fn measure(size: u64) -> Result<(), Box<dyn Error>> {
    let mut seat = open_single_seat()?;
    let step = |index: u64| BOOTSTRAP_MS + SETTLED_MS + index * ID_RANGE_MS / size;
    let ids: Vec<RequestId> = (0..size)
        .map(|index| RequestId::generate(step(index)))
        .collect();
    let now = step(size);
    let before = resident_bytes()?;
    for id in &ids {
        black_box(seat.handle(call(&seat, *id, ClaimOperation::Claim)?, now));
    }
    let held = resident_bytes()?.saturating_sub(before);
    let fresh: Vec<RequestId> = (0..CALLS)
        .map(|index| RequestId::generate(now + index / NEW_IDS_PER_MS))
        .collect();
    let older: Vec<RequestId> = (0..CALLS)
        .filter_map(|index| {
            ids.get(usize::try_from(index * 7_919 % size).ok()?)
                .copied()
        })
        .collect();
    let claim = time_calls(&mut seat, &fresh, ClaimOperation::Claim, now)?;
    let resend = time_calls(&mut seat, &older, ClaimOperation::Claim, now)?;
    let release = time_calls(&mut seat, &fresh, ClaimOperation::Release, now)?;
    let bytes = held / size;
    println!("{size:6}  {claim:8.2}  {resend:9.2}  {release:10.2}  {bytes:20}");
    Ok(())
}

fn time_calls(
    seat: &mut SeatRegister,
    ids: &[RequestId],
    operation: ClaimOperation,
    now: UnixMillis,
) -> Result<f64, Box<dyn Error>> {
    let calls: Result<Vec<ClaimCall>, _> =
        ids.iter().map(|id| call(seat, *id, operation)).collect();
    let calls = calls?;
    let count = calls.len();
    let start = Instant::now();
    for call in calls {
        let now = now.max(call.id.time());
        black_box(seat.handle(call, now));
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / count as f64)
}

fn call(
    seat: &SeatRegister,
    id: RequestId,
    operation: ClaimOperation,
) -> Result<ClaimCall, Box<dyn Error>> {
    let roster = seat.roster().active_tag().ok_or("no active roster")?;
    let ticket = ClaimTicket {
        host: "entry-host-01".into(),
        incarnation: u64::MAX / 3,
        round: 1_000_000,
        attempt: 1,
    };
    Ok(ClaimCall {
        id,
        roster,
        operation,
        ticket,
    })
}

fn open_single_seat() -> Result<SeatRegister, Box<dyn Error>> {
    let incarnation = SeatIncarnation {
        started: BOOTSTRAP_MS,
        id: 7,
    };
    let settings = RegisterSettings::default();
    let mut seat = SeatRegister::open("entry-host-00".into(), incarnation, settings);
    let plan = RosterPlan::new(&roster(1)?, None, false);
    seat.roster_mut().offer(plan, BOOTSTRAP_MS)?;
    Ok(seat)
}

fn roster(seats: u64) -> Result<SeatRoster, serde_json::Error> {
    let seat = |index| {
        serde_json::json!({
            "host": format!("entry-host-{index:02}"),
            "address": "127.0.0.1:1",
            "availability_zone": "z1",
        })
    };
    let seats: Vec<_> = (0..seats).map(seat).collect();
    serde_json::from_value(serde_json::json!({"number": 1, "seats": seats}))
}

fn print_message_sizes(seats: u64) -> Result<(), Box<dyn Error>> {
    let config = bincode::config::standard();
    let mut seat = open_single_seat()?;
    let id = RequestId::generate(BOOTSTRAP_MS + SETTLED_MS);
    let call = call(&seat, id, ClaimOperation::Claim)?;
    let call_bytes = bincode::serde::encode_to_vec(&call, config)?.len();
    let reply = seat.handle(call, BOOTSTRAP_MS + SETTLED_MS);
    let reply_bytes = bincode::serde::encode_to_vec(&reply, config)?.len();
    let mut digest: RosterDigest = seat.roster().digest();
    digest.bootstrap = None;
    digest.plan = None;
    for seat in roster(seats)?.seats {
        let incarnation = SeatIncarnation {
            started: BOOTSTRAP_MS,
            id: u64::MAX / 3,
        };
        digest.incarnations.insert(seat.host, incarnation);
    }
    let digest_bytes = bincode::serde::encode_to_vec(&digest, config)?.len();
    println!("{seats} seats: call {call_bytes} B, reply {reply_bytes} B, digest {digest_bytes} B");
    Ok(())
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("no resident field")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
