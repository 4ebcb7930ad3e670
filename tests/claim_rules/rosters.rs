//! Focused tests of roster changes: each shows a rule at work, and what happens
//! when it is taken out.

use crate::fixture::TestSeat;
use crate::fixture::exchange;
use crate::fixture::found;
use crate::fixture::id;
use crate::fixture::open;
use crate::fixture::plan;
use crate::fixture::roster;
use crate::fixture::tell;
use crate::fixture::wins;
use cardamomgw::claim::ClaimRules;
use cardamomgw::roster::RosterDecision;
use cardamomgw::roster::RosterPlan;
use cardamomgw::roster::RosterRefusal;

const ALL: fn() -> ClaimRules = ClaimRules::default;

fn taken<const N: usize>(seats: Vec<TestSeat>) -> [TestSeat; N] {
    seats.try_into().ok().expect("as many seats as asked")
}

#[test]
fn a_fleet_is_founded_only_by_all_of_its_seats() {
    let first = plan(1, &["a", "b", "c"], None);
    let [mut a, mut b, mut c] = ["a", "b", "c"].map(|host| open(host, 100, ALL()));
    for seat in [&mut a, &mut b, &mut c] {
        seat.offer(&first, 100);
    }
    exchange(&mut [&mut a, &mut b], 100);
    assert!(!a.is_voting() && !b.is_voting());
    exchange(&mut [&mut a, &mut b, &mut c], 101);
    assert!(a.is_voting() && b.is_voting() && c.is_voting());
}

#[test]
fn offers_that_do_not_follow_the_active_roster_are_refused() {
    let [mut a, ..] = taken::<3>(found(&["a", "b", "c"], 100, ALL()));
    let tracker = a.seat.roster_mut();
    let mut offer = |plan: RosterPlan| tracker.offer(plan, 200);
    let lost = RosterPlan::new(&roster(2, &["x"]), Some(&roster(1, &["a", "b", "c"])), true);
    let refused = Err(RosterRefusal::AlreadyFounded { active: 1 });
    assert_eq!(offer(plan(2, &["x"], None)), refused);
    assert_eq!(offer(lost), refused);
    assert_eq!(
        offer(plan(1, &["a", "b", "c"], None)),
        Ok(RosterDecision::Unchanged)
    );
    assert!(matches!(
        offer(plan(1, &["x"], None)),
        Err(RosterRefusal::NotNewer { .. })
    ));
    let crowded = plan(2, &["a", "x", "y"], Some(&["a", "b", "c"]));
    assert!(matches!(
        offer(crowded),
        Err(RosterRefusal::TooManyNewSeats { .. })
    ));
    let stranger = plan(2, &["a", "x"], Some(&["a", "x"]));
    assert!(matches!(
        offer(stranger),
        Err(RosterRefusal::NotSuccessor { .. })
    ));
    let skipping = plan(4, &["a", "b"], Some(&["a", "b"]));
    assert_eq!(offer(skipping), Ok(RosterDecision::Waiting));
    let next = plan(2, &["a", "b", "d"], Some(&["a", "b", "c"]));
    assert_eq!(offer(next), Ok(RosterDecision::Accepted));
    let other = RosterPlan::new(
        &roster(3, &["a", "c"]),
        Some(&roster(1, &["a", "b", "c"])),
        false,
    );
    assert_eq!(
        offer(other),
        Err(RosterRefusal::OtherSuccessor { adopted: 2 })
    );
    let on_the_way = plan(3, &["a", "d"], Some(&["a", "b", "d"]));
    assert_eq!(offer(on_the_way), Ok(RosterDecision::Accepted));
}

/// An operator replaces every host, one at a time, while callers keep sending.
/// Ids made just before each change must still find a majority of both rosters,
/// or their callers are turned away by each step of an ordinary replacement.
#[test]
fn a_rolling_replacement_never_turns_a_fresh_id_away() {
    let mut seats = found(&["a", "b", "c"], 100, ALL());
    let mut names = vec!["a", "b", "c"];
    let mut now = 1_000;
    for (step, new) in ["d", "e", "f"].into_iter().enumerate() {
        let former = names.clone();
        names.remove(0);
        names.push(new);
        let next = plan(step as u64 + 2, &names, Some(&former));
        seats.push(open(new, now, ALL()));
        for seat in &mut seats {
            seat.offer(&next, now);
        }
        exchange(&mut seats.iter_mut().collect::<Vec<_>>(), now);
        let view = seats.last().unwrap().view();
        assert_eq!(view.tag.number, next.tag.number);
        let mut all: Vec<&mut TestSeat> = seats.iter_mut().collect();
        assert!(
            wins(id(now - 1, 0), "x", view.clone(), &mut all, now + 1),
            "before"
        );
        assert!(
            wins(id(now + 30, 0), "x", view, &mut all, now + 30),
            "after"
        );
        seats.remove(0);
        now += 1_000;
    }
    assert!(seats.iter().all(TestSeat::is_voting));
}

/// A caller's id is granted by c, d and e while a and b are cut off. The operators
/// shrink the roster to a and b, e takes that up after its grant. The caller sends
/// again through a: a majority of the new roster alone knows nothing of the grant.
fn shrink_after_a_grant(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c, mut d, mut e] = taken(found(&["a", "b", "c", "d", "e"], 100, rules));
    let next = plan(2, &["a", "b"], Some(&["a", "b", "c", "d", "e"]));
    let request = id(1_000, 0);
    let view = c.view();
    assert!(wins(
        request,
        "c",
        view,
        &mut [&mut c, &mut d, &mut e],
        1_000
    ));
    for seat in [&mut a, &mut b, &mut e] {
        seat.offer(&next, 1_001);
    }
    exchange(&mut [&mut a, &mut b, &mut e], 1_001);
    assert_eq!(a.active(), 2);
    let view = a.view();
    let twice = wins(
        request,
        "a",
        view.clone(),
        &mut [&mut a, &mut b, &mut e],
        1_002,
    );
    assert!(wins(id(1_030, 0), "a", view, &mut [&mut a, &mut b], 1_030));
    twice
}

#[test]
fn an_id_older_than_the_roster_needs_both_majorities() {
    let off = ClaimRules {
        two_rosters: false,
        ..ALL()
    };
    assert!(!shrink_after_a_grant(ALL()));
    assert!(shrink_after_a_grant(off), "the rule is needed");
}

/// Seats a and b make roster 2 active while c, cut off, still takes roster 1 for
/// active and has a caller. If b goes on answering calls of roster 1, b and c grant
/// that caller an id that a and b may grant as well.
fn call_under_an_old_roster(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c] = taken(found(&["a", "b", "c"], 100, rules));
    let next = plan(2, &["a", "b"], Some(&["a", "b", "c"]));
    a.offer(&next, 1_000);
    b.offer(&next, 1_000);
    exchange(&mut [&mut a, &mut b], 1_000);
    let request = id(1_050, 0);
    let (old, new) = (c.view(), a.view());
    let first = wins(request, "c", old, &mut [&mut b, &mut c], 1_050);
    let second = wins(request, "a", new, &mut [&mut a, &mut b], 1_050);
    assert!(second != first);
    first
}

#[test]
fn a_seat_that_took_up_a_roster_refuses_calls_of_the_older_one() {
    let off = ClaimRules {
        refuse_older_rosters: false,
        ..ALL()
    };
    assert!(!call_under_an_old_roster(ALL()));
    assert!(call_under_an_old_roster(off));
}

/// Roster 2 shrinks to a and b, roster 3 follows at once. Seats a and b read only
/// the third document. If they may take it up without knowing roster 2 active,
/// they elect roster 3 between them, while c, d and e, a majority of roster 1,
/// know nothing and go on: an id runs on both sides.
fn skip_a_roster(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c, mut d, mut e] = taken(found(&["a", "b", "c", "d", "e"], 100, rules));
    let third = plan(3, &["a", "b"], Some(&["a", "b"]));
    a.offer(&third, 1_000);
    b.offer(&third, 1_000);
    exchange(&mut [&mut a, &mut b], 1_000);
    let request = id(1_050, 0);
    let (new, old) = (a.view(), c.view());
    let first = wins(request, "a", new, &mut [&mut a, &mut b], 1_050);
    let second = wins(request, "c", old, &mut [&mut c, &mut d, &mut e], 1_050);
    assert!(second, "the majority of roster 1 goes on");
    first
}

#[test]
fn votes_count_only_from_seats_that_knew_the_former_roster_active() {
    let off = ClaimRules {
        knew_former_active: false,
        ..ALL()
    };
    assert!(!skip_a_roster(ALL()));
    assert!(skip_a_roster(off), "the rule is needed");
}

/// Roster 2 replaces c by d and is active on a, b and d; c is cut off. Seat b
/// restarts, reads the old document from a stale platform and hears c, which still
/// takes roster 1 for active: b and c are a majority of it again.
fn restart_into_an_old_roster(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c] = taken(found(&["a", "b", "c"], 100, rules));
    let first = plan(1, &["a", "b", "c"], None);
    let next = plan(2, &["a", "b", "d"], Some(&["a", "b", "c"]));
    let mut d = open("d", 1_000, rules);
    for seat in [&mut a, &mut b, &mut d] {
        seat.offer(&next, 1_000);
    }
    exchange(&mut [&mut a, &mut b, &mut d], 1_000);
    assert!(d.is_voting());
    b = open("b", 2_000, rules);
    b.offer(&first, 2_000);
    exchange(&mut [&mut b, &mut c], 2_000);
    let request = id(2_100, 0);
    let (new, old) = (a.view(), c.view());
    assert!(wins(request, "a", new, &mut [&mut a, &mut d], 2_100));
    wins(request, "c", old, &mut [&mut b, &mut c], 2_100)
}

#[test]
fn a_restarted_seat_is_silent_until_a_majority_told_it_what_they_know() {
    let off = ClaimRules {
        rejoin_by_majority: false,
        ..ALL()
    };
    assert!(!restart_into_an_old_roster(ALL()));
    assert!(restart_into_an_old_roster(off), "the rule is needed");
}

/// Seat a takes up roster 2, which shrinks to b, and tells b; then a restarts. It
/// asks b and c, neither of which took up anything yet, and has a voice again, in
/// roster 1. Now b takes up roster 2 and counts itself and the vote of a's earlier
/// life: roster 2 is active on b, while a and c are a majority of roster 1.
fn vote_of_an_earlier_life(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c] = taken(found(&["a", "b", "c"], 100, rules));
    let first = plan(1, &["a", "b", "c"], None);
    let next = plan(2, &["b"], Some(&["a", "b", "c"]));
    a.offer(&next, 1_000);
    let late_vote = a.seat.roster().digest();
    a = open("a", 2_000, rules);
    a.offer(&first, 2_000);
    exchange(&mut [&mut a, &mut b, &mut c], 2_000);
    assert!(a.is_voting());
    b.seat.roster_mut().learn(&a.name, late_vote, 2_001);
    b.offer(&next, 2_002);
    let request = id(2_100, 0);
    let old = c.view();
    assert!(wins(request, "c", old, &mut [&mut a, &mut c], 2_100));
    let new = b.view();
    new.tag.number == 2 && wins(request, "b", new, &mut [&mut b], 2_100)
}

#[test]
fn a_vote_that_its_seat_forgot_counts_for_nothing() {
    let off = ClaimRules {
        crash_vector: false,
        ..ALL()
    };
    assert!(!vote_of_an_earlier_life(ALL()));
    assert!(vote_of_an_earlier_life(off), "the rule is needed");
}

/// A power cut restarts all hosts. Nobody remembers a grant, so ids made before
/// must not run again, and ids made after must run without an operator's hand.
#[test]
fn all_hosts_that_restart_at_once_found_again_for_newer_ids() {
    let hosts = ["a", "b", "c"];
    let [mut a, mut b, mut c] = taken(found(&hosts, 100, ALL()));
    let view = a.view();
    assert!(wins(
        id(1_000, 0),
        "a",
        view,
        &mut [&mut a, &mut b, &mut c],
        1_000
    ));
    let [mut a, mut b, mut c] = taken(found(&hosts, 2_000, ALL()));
    let view = a.view();
    let mut all = [&mut a, &mut b, &mut c];
    assert!(!wins(id(1_000, 0), "a", view.clone(), &mut all, 2_001));
    assert!(wins(id(2_021, 0), "a", view, &mut all, 2_021));
}

/// Two of three seats restart at once: the third may hold the only grants, and
/// the two can't tell whether a newer roster exists. They wait.
#[test]
fn a_majority_that_restarts_stays_silent() {
    let [_a, _b, mut c] = taken(found(&["a", "b", "c"], 100, ALL()));
    let first = plan(1, &["a", "b", "c"], None);
    let [mut a, mut b] = ["a", "b"].map(|host| open(host, 2_000, ALL()));
    a.offer(&first, 2_000);
    b.offer(&first, 2_000);
    exchange(&mut [&mut a, &mut b, &mut c], 2_000);
    assert!(!a.is_voting() && !b.is_voting());
    // The operator's word: the two that are left found a fleet of their own.
    let word = RosterPlan::new(
        &roster(2, &["a", "b"]),
        Some(&roster(1, &["a", "b", "c"])),
        true,
    );
    a.offer(&word, 2_001);
    b.offer(&word, 2_001);
    exchange(&mut [&mut a, &mut b], 2_001);
    assert!(a.is_voting() && b.is_voting());
}

/// A host sleeps through two roster changes and wakes: it is told the newest one
/// and speaks in it, only for ids made after it woke.
#[test]
fn a_paused_seat_learns_a_roster_that_it_skipped() {
    let [mut a, mut b, mut c, mut d] = taken(found(&["a", "b", "c", "d"], 100, ALL()));
    let second = plan(2, &["a", "b", "c"], Some(&["a", "b", "c", "d"]));
    let third = plan(3, &["a", "b", "d"], Some(&["a", "b", "c"]));
    for plan in [&second, &third] {
        for seat in [&mut a, &mut b, &mut c] {
            seat.offer(plan, 1_000);
        }
        exchange(&mut [&mut a, &mut b, &mut c], 1_000);
    }
    d.offer(&third, 2_000);
    assert_eq!(d.active(), 1);
    tell(&a, &mut d, 2_000);
    assert_eq!(d.active(), 3);
    assert_eq!(d.seat.roster().voting_range().unwrap().since, 2_020);
}

/// Seats s and a make roster 2 active and vote for roster 3; a counts both votes.
/// Then s restarts and asks b, c and d, which still take roster 1 for active, while
/// c took up roster 2. With a voice in roster 1, s would make roster 2 active again
/// and grant in it with b, beside roster 3: its new life knows nothing of its vote.
fn join_while_a_roster_is_on_the_way(rules: ClaimRules) -> bool {
    let hosts = ["a", "b", "c", "d", "s"];
    let [mut a, mut b, mut c, mut d, mut s] = taken(found(&hosts, 100, rules));
    let second = plan(2, &["a", "b", "s"], Some(&hosts));
    let third = plan(3, &["a"], Some(&["a", "b", "s"]));
    for seat in [&mut a, &mut c, &mut s] {
        seat.offer(&second, 1_000);
    }
    tell(&a, &mut s, 1_000);
    tell(&c, &mut s, 1_000);
    s.offer(&third, 1_001);
    tell(&s, &mut a, 1_001);
    a.offer(&third, 1_001);
    assert_eq!(a.active(), 3);
    s = open("s", 2_000, rules);
    s.offer(&second, 2_000);
    b.offer(&second, 2_000);
    exchange(&mut [&mut b, &mut c, &mut d, &mut s], 2_000);
    let (request, new) = (id(2_100, 0), a.view());
    assert!(wins(request, "a", new, &mut [&mut a], 2_100));
    let old = s.view();
    wins(request, "s", old, &mut [&mut b, &mut s], 2_100)
}

#[test]
fn a_restarted_seat_waits_while_a_roster_is_on_the_way() {
    let off = ClaimRules {
        join_waits: false,
        ..ALL()
    };
    assert!(!join_while_a_roster_is_on_the_way(ALL()));
    assert!(join_while_a_roster_is_on_the_way(off), "the rule is needed");
}

/// Operators publish rosters 2 to 5 faster than the hosts take them up; roster 5 is
/// d alone, a new host. Roster 1 is still active. If d bootstraps roster 5 because all
/// of its seats are voiceless, ids run on both sides.
#[test]
fn a_new_seat_does_not_found_a_roster_that_never_became_active() {
    let mut d = open("d", 1_000, ALL());
    d.offer(&plan(5, &["d"], Some(&["a", "d", "e"])), 1_000);
    assert!(!d.is_voting());
    // The operators' word that nothing older is in use.
    let word = RosterPlan::new(&roster(5, &["d"]), None, false);
    d.offer(&word, 1_001);
    assert!(d.is_voting());
}

/// Two operators edit at once; both documents replace roster 1, and some hosts read
/// only the first, others only the second. At most one may become active, and the
/// hosts that took up the other must follow, or they turn callers away for good.
#[test]
fn of_two_racing_successors_at_most_one_becomes_active() {
    let hosts = ["a", "b", "c", "d", "e"];
    let [mut a, mut b, mut c, mut d, mut e] = taken(found(&hosts, 100, ALL()));
    let first = plan(2, &["a", "b", "c", "d"], Some(&hosts));
    let second = RosterPlan::new(
        &roster(3, &["a", "d", "e"]),
        Some(&roster(1, &hosts)),
        false,
    );
    for seat in [&mut a, &mut b, &mut c] {
        seat.offer(&first, 1_000);
    }
    for seat in [&mut d, &mut e] {
        seat.offer(&second, 1_000);
    }
    exchange(&mut [&mut a, &mut b, &mut c, &mut d, &mut e], 1_000);
    let active = [&a, &b, &c, &d, &e].map(TestSeat::active);
    assert_eq!(active, [2; 5]);
    let next = RosterPlan::new(
        &roster(4, &["a", "b", "d"]),
        Some(&roster(2, &["a", "b", "c", "d"])),
        false,
    );
    for seat in [&mut a, &mut b, &mut c, &mut d, &mut e] {
        seat.offer(&next, 2_000);
    }
    exchange(&mut [&mut a, &mut b, &mut c, &mut d, &mut e], 2_000);
    let active = [&a, &b, &c, &d, &e].map(TestSeat::active);
    assert_eq!(active, [4; 5]);
}

/// All hosts restart, and the document still names the former roster. Nobody can
/// tell any more whether the new one ever became active, so all wait, until the
/// operators publish it without `former`.
#[test]
fn after_a_full_restart_a_document_with_a_former_roster_waits_for_the_operators() {
    let next = plan(2, &["a", "b", "d"], Some(&["a", "b", "c"]));
    let word = plan(2, &["a", "b", "d"], None);
    let [mut a, mut b, mut d] = ["a", "b", "d"].map(|host| open(host, 2_000, ALL()));
    for seat in [&mut a, &mut b, &mut d] {
        seat.offer(&next, 2_000);
    }
    exchange(&mut [&mut a, &mut b, &mut d], 2_000);
    assert!(!a.is_voting() && !b.is_voting() && !d.is_voting());
    for seat in [&mut a, &mut b, &mut d] {
        seat.offer(&word, 3_000);
    }
    exchange(&mut [&mut a, &mut b, &mut d], 3_000);
    assert!(a.is_voting() && b.is_voting() && d.is_voting());
}

/// Two of three hosts are lost. The operators say `former_lost` and give c, which
/// still runs, a seat beside the new host d. Host d learns from c that the old roster
/// is active, and roster 2 waits for c, which refuses it. Before, d stayed unready
/// and nothing told the operators which host to restart.
#[test]
fn a_survivor_of_a_lost_roster_is_named_until_it_restarts() {
    let [_, _, mut c] = taken(found(&["a", "b", "c"], 0, ALL()));
    let mut d = open("d", 200, ALL());
    let former = roster(1, &["a", "b", "c"]);
    let second = RosterPlan::new(&roster(2, &["c", "d"]), Some(&former), true);
    d.offer(&plan(1, &["a", "b", "c"], None), 299);
    exchange(&mut [&mut c, &mut d], 300);
    d.offer(&second, 300);

    let refusal = c.seat.roster_mut().offer(second.clone(), 300).unwrap_err();
    exchange(&mut [&mut c, &mut d], 301);
    let block = d.seat.roster().bootstrap_block();
    let mut c = open("c", 400, ALL());
    c.offer(&second, 400);
    exchange(&mut [&mut c, &mut d], 401);

    assert!(refusal.to_string().ends_with("stop this host"), "{refusal}");
    let text = block.map(|block| block.to_string()).unwrap_or_default();
    assert!(text.ends_with("stop or restart: c"), "{text}");
    assert!(c.is_voting() && d.is_voting());
    assert_eq!(d.seat.roster().bootstrap_block(), None);
}
