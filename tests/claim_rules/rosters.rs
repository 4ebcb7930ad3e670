//! Focused tests of roster changes: each shows the effect of a rule, and the failure
//! when the rule is off.

use crate::fixture::TestSeat;
use crate::fixture::bootstrap;
use crate::fixture::exchange;
use crate::fixture::id;
use crate::fixture::is_granted;
use crate::fixture::open;
use crate::fixture::plan;
use crate::fixture::roster;
use crate::fixture::send_digest;
use cardamomgw::claim::ClaimRules;
use cardamomgw::roster::RosterDecision;
use cardamomgw::roster::RosterPlan;
use cardamomgw::roster::RosterRefusal;

const ALL: fn() -> ClaimRules = ClaimRules::default;

fn to_array<const N: usize>(seats: Vec<TestSeat>) -> [TestSeat; N] {
    seats.try_into().ok().expect("as many seats as asked")
}

#[test]
fn a_fleet_is_bootstrapped_only_by_all_of_its_seats() {
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
    let [mut a, ..] = to_array::<3>(bootstrap(&["a", "b", "c"], 100, ALL()));
    let tracker = a.seat.roster_mut();
    let mut offer = |plan: RosterPlan| tracker.offer(plan, 200);
    let lost = RosterPlan::new(&roster(2, &["x"]), Some(&roster(1, &["a", "b", "c"])), true);
    let refused = Err(RosterRefusal::AlreadyBootstrapped { active: 1 });
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
    let follows_adopted = plan(3, &["a", "d"], Some(&["a", "b", "d"]));
    assert_eq!(offer(follows_adopted), Ok(RosterDecision::Accepted));
}

/// An operator replaces every host, one at a time, while callers keep sending. Ids
/// created just before each change must still find a majority of both rosters, or each
/// step of an ordinary replacement refuses their callers.
#[test]
fn a_rolling_replacement_never_refuses_a_new_id() {
    let mut seats = bootstrap(&["a", "b", "c"], 100, ALL());
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
            is_granted(id(now - 1, 0), "x", view.clone(), &mut all, now + 1),
            "before"
        );
        assert!(
            is_granted(id(now + 30, 0), "x", view, &mut all, now + 30),
            "after"
        );
        seats.remove(0);
        now += 1_000;
    }
    assert!(seats.iter().all(TestSeat::is_voting));
}

/// A caller's id is granted by c, d and e while a and b are disconnected. The operators
/// shrink the roster to a and b, and e adopts it after its grant. The caller sends
/// again through a: a majority of the new roster alone does not know the grant.
fn shrink_after_a_grant(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c, mut d, mut e] =
        to_array(bootstrap(&["a", "b", "c", "d", "e"], 100, rules));
    let next = plan(2, &["a", "b"], Some(&["a", "b", "c", "d", "e"]));
    let request = id(1_000, 0);
    let view = c.view();
    assert!(is_granted(
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
    let twice = is_granted(
        request,
        "a",
        view.clone(),
        &mut [&mut a, &mut b, &mut e],
        1_002,
    );
    assert!(is_granted(
        id(1_030, 0),
        "a",
        view,
        &mut [&mut a, &mut b],
        1_030
    ));
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

/// Seats a and b make roster 2 active while c, disconnected, still considers roster 1
/// active and has a caller. If b kept answering calls of roster 1, b and c would grant
/// that caller an id that a and b may grant as well.
fn call_under_an_old_roster(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c] = to_array(bootstrap(&["a", "b", "c"], 100, rules));
    let next = plan(2, &["a", "b"], Some(&["a", "b", "c"]));
    a.offer(&next, 1_000);
    b.offer(&next, 1_000);
    exchange(&mut [&mut a, &mut b], 1_000);
    let request = id(1_050, 0);
    let (old, new) = (c.view(), a.view());
    let first = is_granted(request, "c", old, &mut [&mut b, &mut c], 1_050);
    let second = is_granted(request, "a", new, &mut [&mut a, &mut b], 1_050);
    assert!(second != first);
    first
}

#[test]
fn a_seat_that_adopted_a_roster_refuses_calls_of_the_older_one() {
    let off = ClaimRules {
        refuse_older_rosters: false,
        ..ALL()
    };
    assert!(!call_under_an_old_roster(ALL()));
    assert!(call_under_an_old_roster(off));
}

/// Roster 2 shrinks to a and b, and roster 3 follows at once. Seats a and b read only
/// the third document. If they could adopt it without knowing that roster 2 is active,
/// they would elect roster 3 between them, while c, d and e, a majority of roster 1,
/// know nothing of it and continue: an id runs on both sides.
fn skip_a_roster(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c, mut d, mut e] =
        to_array(bootstrap(&["a", "b", "c", "d", "e"], 100, rules));
    let third = plan(3, &["a", "b"], Some(&["a", "b"]));
    a.offer(&third, 1_000);
    b.offer(&third, 1_000);
    exchange(&mut [&mut a, &mut b], 1_000);
    let request = id(1_050, 0);
    let (new, old) = (a.view(), c.view());
    let first = is_granted(request, "a", new, &mut [&mut a, &mut b], 1_050);
    let second = is_granted(request, "c", old, &mut [&mut c, &mut d, &mut e], 1_050);
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

/// Roster 2 replaces c by d and is active on a, b and d; c is disconnected. Seat b
/// restarts, reads the old document from a stale platform and receives the digest of c,
/// which still considers roster 1 active: b and c are a majority of it again.
fn restart_into_an_old_roster(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c] = to_array(bootstrap(&["a", "b", "c"], 100, rules));
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
    assert!(is_granted(request, "a", new, &mut [&mut a, &mut d], 2_100));
    is_granted(request, "c", old, &mut [&mut b, &mut c], 2_100)
}

#[test]
fn a_restarted_seat_may_not_vote_until_a_majority_has_reported_its_state() {
    let off = ClaimRules {
        rejoin_by_majority: false,
        ..ALL()
    };
    assert!(!restart_into_an_old_roster(ALL()));
    assert!(restart_into_an_old_roster(off), "the rule is needed");
}

/// Seat a adopts roster 2, which shrinks to b, and sends its digest to b; then a
/// restarts. It asks b and c, neither of which has adopted anything yet, and may vote
/// again in roster 1. Now b adopts roster 2 and counts itself and the vote of a's
/// earlier incarnation: roster 2 is active on b, while a and c are a majority of roster
/// 1.
fn vote_of_an_earlier_incarnation(rules: ClaimRules) -> bool {
    let [mut a, mut b, mut c] = to_array(bootstrap(&["a", "b", "c"], 100, rules));
    let first = plan(1, &["a", "b", "c"], None);
    let next = plan(2, &["b"], Some(&["a", "b", "c"]));
    a.offer(&next, 1_000);
    let late_vote = a.seat.roster().digest();
    a = open("a", 2_000, rules);
    a.offer(&first, 2_000);
    exchange(&mut [&mut a, &mut b, &mut c], 2_000);
    assert!(a.is_voting());
    b.seat.roster_mut().apply_digest(&a.name, late_vote, 2_001);
    b.offer(&next, 2_002);
    let request = id(2_100, 0);
    let old = c.view();
    assert!(is_granted(request, "c", old, &mut [&mut a, &mut c], 2_100));
    let new = b.view();
    new.tag.number == 2 && is_granted(request, "b", new, &mut [&mut b], 2_100)
}

#[test]
fn a_vote_that_its_seat_forgot_is_not_counted() {
    let off = ClaimRules {
        crash_vector: false,
        ..ALL()
    };
    assert!(!vote_of_an_earlier_incarnation(ALL()));
    assert!(vote_of_an_earlier_incarnation(off), "the rule is needed");
}

/// A power failure restarts all hosts. No grant is remembered, so ids created before
/// must not run again, and ids created after must run without an operator's
/// intervention.
#[test]
fn all_hosts_that_restart_at_once_bootstrap_again_for_newer_ids() {
    let hosts = ["a", "b", "c"];
    let [mut a, mut b, mut c] = to_array(bootstrap(&hosts, 100, ALL()));
    let view = a.view();
    assert!(is_granted(
        id(1_000, 0),
        "a",
        view,
        &mut [&mut a, &mut b, &mut c],
        1_000
    ));
    let [mut a, mut b, mut c] = to_array(bootstrap(&hosts, 2_000, ALL()));
    let view = a.view();
    let mut all = [&mut a, &mut b, &mut c];
    assert!(!is_granted(
        id(1_000, 0),
        "a",
        view.clone(),
        &mut all,
        2_001
    ));
    assert!(is_granted(id(2_021, 0), "a", view, &mut all, 2_021));
}

/// Two of three seats restart at once. The third may hold the only grants, and the two
/// can't determine whether a newer roster exists, so they wait.
#[test]
fn a_majority_that_restarts_may_not_vote() {
    let [_a, _b, mut c] = to_array(bootstrap(&["a", "b", "c"], 100, ALL()));
    let first = plan(1, &["a", "b", "c"], None);
    let [mut a, mut b] = ["a", "b"].map(|host| open(host, 2_000, ALL()));
    a.offer(&first, 2_000);
    b.offer(&first, 2_000);
    exchange(&mut [&mut a, &mut b, &mut c], 2_000);
    assert!(!a.is_voting() && !b.is_voting());
    // The operators' declaration: the two remaining seats bootstrap their own fleet.
    let declaration = RosterPlan::new(
        &roster(2, &["a", "b"]),
        Some(&roster(1, &["a", "b", "c"])),
        true,
    );
    a.offer(&declaration, 2_001);
    b.offer(&declaration, 2_001);
    exchange(&mut [&mut a, &mut b], 2_001);
    assert!(a.is_voting() && b.is_voting());
}

/// A host is paused during two roster changes and resumes: it learns the newest one and
/// votes in it, but only on ids created after it resumed.
#[test]
fn a_paused_seat_learns_a_roster_that_it_skipped() {
    let [mut a, mut b, mut c, mut d] = to_array(bootstrap(&["a", "b", "c", "d"], 100, ALL()));
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
    send_digest(&a, &mut d, 2_000);
    assert_eq!(d.active(), 3);
    assert_eq!(d.seat.roster().voting_range().unwrap().since, 2_020);
}

/// Seats s and a make roster 2 active and vote for roster 3; a counts both votes. Then
/// s restarts and asks b, c and d, which still consider roster 1 active, while c has
/// adopted roster 2. If s could vote in roster 1, it would make roster 2 active again
/// and grant in it with b, beside roster 3: its new incarnation does not remember its
/// vote.
fn join_while_a_roster_is_pending(rules: ClaimRules) -> bool {
    let hosts = ["a", "b", "c", "d", "s"];
    let [mut a, mut b, mut c, mut d, mut s] = to_array(bootstrap(&hosts, 100, rules));
    let second = plan(2, &["a", "b", "s"], Some(&hosts));
    let third = plan(3, &["a"], Some(&["a", "b", "s"]));
    for seat in [&mut a, &mut c, &mut s] {
        seat.offer(&second, 1_000);
    }
    send_digest(&a, &mut s, 1_000);
    send_digest(&c, &mut s, 1_000);
    s.offer(&third, 1_001);
    send_digest(&s, &mut a, 1_001);
    a.offer(&third, 1_001);
    assert_eq!(a.active(), 3);
    s = open("s", 2_000, rules);
    s.offer(&second, 2_000);
    b.offer(&second, 2_000);
    exchange(&mut [&mut b, &mut c, &mut d, &mut s], 2_000);
    let (request, new) = (id(2_100, 0), a.view());
    assert!(is_granted(request, "a", new, &mut [&mut a], 2_100));
    let old = s.view();
    is_granted(request, "s", old, &mut [&mut b, &mut s], 2_100)
}

#[test]
fn a_restarted_seat_waits_while_a_roster_is_pending() {
    let off = ClaimRules {
        join_waits: false,
        ..ALL()
    };
    assert!(!join_while_a_roster_is_pending(ALL()));
    assert!(join_while_a_roster_is_pending(off), "the rule is needed");
}

/// Operators publish rosters 2 to 5 faster than the hosts adopt them; roster 5 is d
/// alone, a new host. Roster 1 is still active. If d bootstrapped roster 5 because none
/// of its seats votes, ids would run on both sides.
#[test]
fn a_new_seat_does_not_bootstrap_a_roster_that_never_became_active() {
    let mut d = open("d", 1_000, ALL());
    d.offer(&plan(5, &["d"], Some(&["a", "d", "e"])), 1_000);
    assert!(!d.is_voting());
    // The operators' declaration that no older roster is in use.
    let declaration = RosterPlan::new(&roster(5, &["d"]), None, false);
    d.offer(&declaration, 1_001);
    assert!(d.is_voting());
}

/// Two operators edit at once; both documents replace roster 1, and some hosts read
/// only the first, others only the second. At most one may become active, and the hosts
/// that adopted the other must follow, or they would refuse callers permanently.
#[test]
fn of_two_racing_successors_at_most_one_becomes_active() {
    let hosts = ["a", "b", "c", "d", "e"];
    let [mut a, mut b, mut c, mut d, mut e] = to_array(bootstrap(&hosts, 100, ALL()));
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

/// All hosts restart, and the document still names the former roster. No host can
/// determine whether the new one ever became active, so all wait until the operators
/// publish it without `former`.
#[test]
fn after_a_full_restart_a_document_with_a_former_roster_waits_for_the_operators() {
    let next = plan(2, &["a", "b", "d"], Some(&["a", "b", "c"]));
    let declaration = plan(2, &["a", "b", "d"], None);
    let [mut a, mut b, mut d] = ["a", "b", "d"].map(|host| open(host, 2_000, ALL()));
    for seat in [&mut a, &mut b, &mut d] {
        seat.offer(&next, 2_000);
    }
    exchange(&mut [&mut a, &mut b, &mut d], 2_000);
    assert!(!a.is_voting() && !b.is_voting() && !d.is_voting());
    for seat in [&mut a, &mut b, &mut d] {
        seat.offer(&declaration, 3_000);
    }
    exchange(&mut [&mut a, &mut b, &mut d], 3_000);
    assert!(a.is_voting() && b.is_voting() && d.is_voting());
}

/// Two of three hosts are lost. The operators set `former_lost` and give c, which still
/// runs, a seat beside the new host d. Host d learns from c that the old roster is
/// active, and roster 2 waits for c, which refuses it. Host d must then name the host
/// that the operators have to restart, instead of staying unready without a reason.
#[test]
fn a_survivor_of_a_lost_roster_is_named_until_it_restarts() {
    let [_, _, mut c] = to_array(bootstrap(&["a", "b", "c"], 0, ALL()));
    let mut d = open("d", 200, ALL());
    let former = roster(1, &["a", "b", "c"]);
    let second = RosterPlan::new(&roster(2, &["c", "d"]), Some(&former), true);
    d.offer(&plan(1, &["a", "b", "c"], None), 299);
    exchange(&mut [&mut c, &mut d], 300);
    d.offer(&second, 300);

    let refusal = c.seat.roster_mut().offer(second.clone(), 300).unwrap_err();
    exchange(&mut [&mut c, &mut d], 301);
    let blocked = d.seat.roster().blocked_bootstrap();
    let mut c = open("c", 400, ALL());
    c.offer(&second, 400);
    exchange(&mut [&mut c, &mut d], 401);

    assert!(refusal.to_string().ends_with("stop this host"), "{refusal}");
    let text = blocked
        .map(|blocked| blocked.to_string())
        .unwrap_or_default();
    assert!(text.ends_with("stop or restart: c"), "{text}");
    assert!(c.is_voting() && d.is_voting());
    assert_eq!(d.seat.roster().blocked_bootstrap(), None);
}
