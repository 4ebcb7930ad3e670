//! Fixtures of the focused claim tests: seats whose messages are delivered by the test
//! itself.

use std::str::FromStr;
use std::sync::Arc;

use cardamomgw::claim::BarRound;
use cardamomgw::claim::ClaimRound;
use cardamomgw::claim::ClaimRules;
use cardamomgw::claim::ClaimTicket;
use cardamomgw::claim::RegisterSettings;
use cardamomgw::claim::SeatRegister;
use cardamomgw::fleet::SeatRoster;
use cardamomgw::ids::RequestId;
use cardamomgw::ids::UnixMillis;
use cardamomgw::roster::RosterPlan;
use cardamomgw::roster::RosterView;
use cardamomgw::roster::SeatIncarnation;

pub(crate) const SKEW_MS: UnixMillis = 10;
pub(crate) const WINDOW_MS: UnixMillis = 6_400;

pub(crate) fn roster(number: u64, hosts: &[&str]) -> SeatRoster {
    let seat = |host: &&str| serde_json::json!({"host": host, "address": "127.0.0.1:1", "availability_zone": "z"});
    let seats: Vec<_> = hosts.iter().map(seat).collect();
    serde_json::from_value(serde_json::json!({"number": number, "seats": seats})).expect("a roster")
}

pub(crate) fn plan(number: u64, hosts: &[&str], former: Option<&[&str]>) -> RosterPlan {
    let former = former.map(|hosts| roster(number - 1, hosts));
    RosterPlan::new(&roster(number, hosts), former.as_ref(), false)
}

pub(crate) fn seat(host: &str, started: UnixMillis, rules: ClaimRules) -> SeatRegister {
    let settings = RegisterSettings {
        window_ms: WINDOW_MS,
        skew_ms: SKEW_MS,
        rules,
    };
    let incarnation = started + u64::from(host.as_bytes()[0]);
    let incarnation = SeatIncarnation {
        started,
        id: incarnation,
    };
    SeatRegister::open(host.into(), incarnation, settings)
}

/// A seat with its name.
pub(crate) struct TestSeat {
    pub(crate) name: String,
    pub(crate) seat: SeatRegister,
}

pub(crate) fn open(host: &str, started: UnixMillis, rules: ClaimRules) -> TestSeat {
    TestSeat {
        name: host.into(),
        seat: seat(host, started, rules),
    }
}

impl TestSeat {
    pub(crate) fn offer(&mut self, plan: &RosterPlan, now: UnixMillis) {
        self.seat
            .roster_mut()
            .offer(plan.clone(), now)
            .expect("accepted");
    }

    pub(crate) fn view(&self) -> Arc<RosterView> {
        Arc::new(self.seat.roster().view().expect("an active roster"))
    }

    pub(crate) fn is_voting(&self) -> bool {
        self.seat.roster().voting_range().is_some()
    }

    pub(crate) fn active(&self) -> u64 {
        self.seat.roster().active_tag().map_or(0, |tag| tag.number)
    }
}

/// Delivers `from`'s digest to `to`.
pub(crate) fn send_digest(from: &TestSeat, to: &mut TestSeat, now: UnixMillis) {
    let digest = from.seat.roster().digest();
    to.seat.roster_mut().apply_digest(&from.name, digest, now);
}

/// Exchanges digests between all seats until nothing more can be learned.
pub(crate) fn exchange(seats: &mut [&mut TestSeat], now: UnixMillis) {
    for _ in 0..4 {
        for from in 0..seats.len() {
            for to in 0..seats.len() {
                if from != to {
                    let digest = seats[from].seat.roster().digest();
                    let name = seats[from].name.clone();
                    seats[to].seat.roster_mut().apply_digest(&name, digest, now);
                }
            }
        }
    }
}

/// Bootstraps roster 1 of `hosts` at `now`.
pub(crate) fn bootstrap(hosts: &[&str], now: UnixMillis, rules: ClaimRules) -> Vec<TestSeat> {
    let first = plan(1, hosts, None);
    let mut seats: Vec<TestSeat> = hosts.iter().map(|host| open(host, now, rules)).collect();
    for seat in &mut seats {
        seat.offer(&first, now);
    }
    exchange(&mut seats.iter_mut().collect::<Vec<_>>(), now);
    seats
}

pub(crate) fn id(time: UnixMillis, serial: u32) -> RequestId {
    let (high, low) = (time >> 16, time & 0xffff);
    RequestId::from_str(&format!("{high:08x}-{low:04x}-7000-8000-{serial:012x}")).expect("a UUIDv7")
}

pub(crate) fn ticket(host: &str, round: u64, attempt: u32) -> ClaimTicket {
    ClaimTicket {
        host: host.into(),
        incarnation: u64::from(host.as_bytes()[0]),
        round,
        attempt,
    }
}

/// Delivers a claim round's calls to `seats` and their replies back; calls to other
/// hosts fail.
pub(crate) fn run_claim(round: &mut ClaimRound, seats: &mut [&mut TestSeat], now: UnixMillis) {
    loop {
        let calls = round.calls();
        if calls.is_empty() {
            return;
        }
        for (host, call) in calls {
            match seats.iter_mut().find(|seat| seat.name == host) {
                Some(seat) => round.accept(&host, seat.seat.handle(call, now)),
                None => round.fail(&host),
            }
        }
    }
}

/// Does the same for a round that releases or bars.
pub(crate) fn run_bar(round: &mut BarRound, seats: &mut [&mut TestSeat], now: UnixMillis) {
    loop {
        let calls = round.calls();
        if calls.is_empty() {
            return;
        }
        for (host, call) in calls {
            match seats.iter_mut().find(|seat| seat.name == host) {
                Some(seat) => round.accept(&host, seat.seat.handle(call, now)),
                None => round.fail(&host),
            }
        }
    }
}

/// Claims `id` for `caller` from `seats` alone; returns whether it was granted.
pub(crate) fn is_granted(
    request: RequestId,
    caller: &str,
    view: Arc<RosterView>,
    seats: &mut [&mut TestSeat],
    now: UnixMillis,
) -> bool {
    let mut round = ClaimRound::begin(request, ticket(caller, 1, 1), view);
    run_claim(&mut round, seats, now);
    round.win().is_ok()
}
