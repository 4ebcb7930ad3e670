//! Focused tests of one roster's registers and of the claimants' rounds.

use crate::fixture::SKEW_MS;
use crate::fixture::TestSeat;
use crate::fixture::WINDOW_MS;
use crate::fixture::bootstrap;
use crate::fixture::exchange;
use crate::fixture::id;
use crate::fixture::open;
use crate::fixture::plan;
use crate::fixture::run_bar;
use crate::fixture::run_claim;
use crate::fixture::ticket;
use cardamomgw::claim::BarRound;
use cardamomgw::claim::BarStatus;
use cardamomgw::claim::ClaimCall;
use cardamomgw::claim::ClaimOperation;
use cardamomgw::claim::ClaimReply;
use cardamomgw::claim::ClaimRound;
use cardamomgw::claim::ClaimRules;
use cardamomgw::claim::ClaimStatus;
use cardamomgw::claim::SeatAnswer;

const BOOTSTRAPPED_MS: u64 = 1_000_000;
const NOW_MS: u64 = BOOTSTRAPPED_MS + 1_000;
const HOSTS: [&str; 4] = ["a", "b", "c", "d"];

fn fleet(size: usize) -> Vec<TestSeat> {
    bootstrap(&HOSTS[..size], BOOTSTRAPPED_MS, ClaimRules::default())
}

fn all(seats: &mut [TestSeat]) -> Vec<&mut TestSeat> {
    seats.iter_mut().collect()
}

fn claim(seats: &mut [TestSeat], host: &str, round: u64, attempt: u32) -> ClaimRound {
    let view = seats[0].view();
    let mut round = ClaimRound::begin(id(NOW_MS, 0), ticket(host, round, attempt), view);
    run_claim(&mut round, &mut all(seats), NOW_MS);
    round
}

fn call(seat: &mut TestSeat, time: u64, operation: ClaimOperation, now: u64) -> ClaimReply {
    let call = ClaimCall {
        id: id(time, 0),
        roster: seat.view().tag,
        operation,
        ticket: ticket("a", 1, 1),
    };
    seat.seat.handle(call, now)
}

#[test]
fn the_first_claim_wins_and_the_second_learns_the_holder() {
    let mut seats = fleet(3);
    assert_eq!(claim(&mut seats, "a", 1, 1).status(), ClaimStatus::Granted);
    let second = claim(&mut seats, "b", 1, 1).status();
    assert_eq!(second, ClaimStatus::HeldByAnother(ticket("a", 1, 1)));
}

/// A request waits on host a and is released when its caller leaves. Repeated and late
/// messages of the round must not restore the grant.
#[test]
fn a_released_attempt_is_never_granted_again() {
    let mut seats = fleet(3);
    let round = claim(&mut seats, "a", 1, 1);
    let view = seats[0].view();
    let mut release = round.win().expect("granted").release(view);
    run_bar(&mut release, &mut all(&mut seats), NOW_MS);
    let proof = release.proof().expect("barred");
    assert_eq!((proof.id(), proof.attempt()), (id(NOW_MS, 0), 1));
    let late = claim(&mut seats, "a", 1, 1).status();
    assert_eq!(late, ClaimStatus::Barred { through: 1 });
    assert_eq!(claim(&mut seats, "b", 1, 2).status(), ClaimStatus::Granted);
}

/// A caller sends the same attempt twice to one host. The first round's release arrives
/// after the second round's claim. If the second round counted grants that the release
/// then removes, the caller would be told `not-run` and the request would run.
#[test]
fn two_rounds_of_one_process_do_not_share_grants() {
    let mut seats = fleet(3);
    let first = claim(&mut seats, "a", 1, 1);
    let second = claim(&mut seats, "a", 2, 1).status();
    assert_eq!(second, ClaimStatus::HeldByAnother(ticket("a", 1, 1)));
    assert_eq!(first.status(), ClaimStatus::Granted);
}

#[test]
fn a_bar_proves_not_run_only_where_nothing_is_granted() {
    let mut seats = fleet(3);
    let view = seats[0].view();
    let mut bar = BarRound::bar(id(NOW_MS, 0), ticket("b", 1, 1), view.clone());
    run_bar(&mut bar, &mut all(&mut seats), NOW_MS);
    assert_eq!(bar.status(), BarStatus::Barred);
    assert_eq!(
        claim(&mut seats, "a", 1, 1).status(),
        ClaimStatus::Barred { through: 1 }
    );
    assert_eq!(claim(&mut seats, "a", 2, 2).status(), ClaimStatus::Granted);
    let mut bar = BarRound::bar(id(NOW_MS, 0), ticket("b", 2, 2), view);
    run_bar(&mut bar, &mut all(&mut seats), NOW_MS);
    assert_eq!(bar.status(), BarStatus::HeldByAnother(ticket("a", 2, 2)));
    assert_eq!(bar.proof(), None);
}

/// Two hosts receive the same id at the same time and split four seats two and two.
/// Neither can win; both must detect it at once and release the id for the next
/// attempt.
#[test]
fn a_split_is_detected_and_released() {
    let mut seats = fleet(4);
    let view = seats[0].view();
    let [mut left, mut right] =
        ["a", "b"].map(|host| ClaimRound::begin(id(NOW_MS, 0), ticket(host, 1, 1), view.clone()));
    for (round, halves) in [(&mut left, [0, 1]), (&mut right, [2, 3])] {
        for (host, call) in round.calls() {
            if halves.iter().any(|half| HOSTS[*half] == host) {
                let seat = seats.iter_mut().find(|seat| seat.name == host).unwrap();
                round.accept(&host, seat.seat.handle(call, NOW_MS));
            }
        }
    }
    for round in [&mut left, &mut right] {
        round.resend();
        run_claim(round, &mut all(&mut seats), NOW_MS);
        assert_eq!(round.status(), ClaimStatus::Contested);
    }
    let mut ends = [left, right].map(|round| round.abandon(view.clone()));
    for end in &mut ends {
        run_bar(end, &mut all(&mut seats), NOW_MS);
    }
    assert!(ends[1].proof().is_some());
    assert_eq!(claim(&mut seats, "a", 2, 2).status(), ClaimStatus::Granted);
}

#[test]
fn the_minority_side_learns_at_once_that_it_has_no_majority() {
    let mut seats = fleet(3);
    let view = seats[0].view();
    let mut round = ClaimRound::begin(id(NOW_MS, 0), ticket("a", 1, 1), view);
    run_claim(&mut round, &mut [&mut seats[0]], NOW_MS);
    assert_eq!(round.status(), ClaimStatus::NoMajority);
    round.resend();
    run_claim(&mut round, &mut all(&mut seats), NOW_MS);
    assert_eq!(round.status(), ClaimStatus::Granted);
}

/// A seat's "held" is overtaken by its later "granted", and replies of an earlier round
/// arrive late. Neither may change what the round already knows.
#[test]
fn late_and_foreign_replies_change_nothing() {
    let seats = fleet(3);
    let view = seats[0].view();
    let mut round = ClaimRound::begin(id(NOW_MS, 0), ticket("a", 1, 1), view);
    let calls = round.calls();
    let reply = |answer| ClaimReply {
        id: id(NOW_MS, 0),
        roster: calls[0].1.roster,
        operation: ClaimOperation::Claim,
        incarnation: ticket("a", 1, 1).incarnation,
        round: 1,
        answer,
    };
    let granted = reply(SeatAnswer::Granted {
        needs_former: false,
    });
    let held = reply(SeatAnswer::Held {
        holder: ticket("b", 1, 1),
    });
    let foreign = ClaimReply {
        round: 2,
        ..granted.clone()
    };
    round.accept(&"a".into(), granted.clone());
    round.accept(&"a".into(), held);
    round.accept(&"b".into(), foreign);
    round.accept(&"x".into(), granted.clone());
    assert_eq!(round.status(), ClaimStatus::Pending);
    round.accept(&"c".into(), granted);
    assert_eq!(round.status(), ClaimStatus::Granted);
}

/// Host b granted an id and restarts. Its empty memory must not grant the id to another
/// caller, even after it may vote again.
#[test]
fn a_restarted_seat_votes_only_on_newer_ids() {
    let [mut a, mut b, mut c] = <[TestSeat; 3]>::try_from(fleet(3)).ok().expect("three");
    assert!(matches!(
        call(&mut b, NOW_MS, ClaimOperation::Claim, NOW_MS).answer,
        SeatAnswer::Granted { .. }
    ));
    b = open("b", NOW_MS + 5, ClaimRules::default());
    b.offer(&plan(1, &HOSTS[..3], None), NOW_MS + 5);
    exchange(&mut [&mut a, &mut b, &mut c], NOW_MS + 5);
    let bound = NOW_MS + 5 + 2 * SKEW_MS;
    for operation in [
        ClaimOperation::Claim,
        ClaimOperation::Bar,
        ClaimOperation::Release,
    ] {
        assert_eq!(
            call(&mut b, bound, operation, bound).answer,
            SeatAnswer::NotVoting
        );
    }
    let newer = call(&mut b, bound + 1, ClaimOperation::Claim, bound).answer;
    assert_eq!(
        newer,
        SeatAnswer::Granted {
            needs_former: false
        }
    );
}

#[test]
fn ids_outside_the_window_are_refused_and_expire() {
    let mut seats = fleet(1);
    let seat = &mut seats[0];
    let future = call(seat, NOW_MS + SKEW_MS + 1, ClaimOperation::Claim, NOW_MS);
    assert_eq!(future.answer, SeatAnswer::OutOfWindow { now: NOW_MS });
    let granted = SeatAnswer::Granted {
        needs_former: false,
    };
    assert_eq!(
        call(seat, NOW_MS, ClaimOperation::Claim, NOW_MS).answer,
        granted
    );
    assert_eq!(seat.seat.remembered(), 1);
    let later = NOW_MS + WINDOW_MS + WINDOW_MS / 32;
    let old = call(seat, NOW_MS, ClaimOperation::Claim, later);
    assert_eq!(old.answer, SeatAnswer::OutOfWindow { now: later });
    assert_eq!(seat.seat.remembered(), 0);
    // A clock that is set back does not make the id valid again.
    let again = call(seat, NOW_MS, ClaimOperation::Claim, NOW_MS + 1);
    assert_eq!(again.answer, SeatAnswer::OutOfWindow { now: later });
}
