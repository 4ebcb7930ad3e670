//! The age of a view, which sources confirm it, and when a host may serve.

use std::time::Duration;

use cardamomgw::controllers::MAX_VIEW_AGE;
use cardamomgw::controllers::PEER_WAIT;
use cardamomgw::controllers::READY_MAX_AGE;
use cardamomgw::controllers::UnreadyReason;
use cardamomgw::controllers::ViewFreshness;

/// The start time of the process under test, on the boot clock.
const START: Duration = Duration::from_secs(1000);

fn after(seconds: u64) -> Duration {
    START + Duration::from_secs(seconds)
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Returns the state of host `a` with a document in force whose roster has these seats.
fn seated(seats: &[&str]) -> ViewFreshness {
    let mut freshness = ViewFreshness::new(START);
    freshness.set_seats("a", &names(seats));
    freshness
}

fn confirm(freshness: &mut ViewFreshness, hosts: &[&str], asked: Duration) {
    for host in hosts {
        freshness.record_peer_confirmation(&(*host).to_owned(), asked);
    }
}

#[test]
fn view_is_fresh_while_a_majority_confirms_it() {
    let mut freshness = seated(&["a", "b", "c", "d", "e"]);

    confirm(&mut freshness, &["b"], after(10));
    let one = freshness.is_fresh(after(10));
    confirm(&mut freshness, &["c"], after(11));

    assert!(!one);
    assert!(freshness.is_fresh(after(11)));
    assert_eq!(freshness.age(after(12)), Some(Duration::from_secs(2)));
    assert!(!freshness.is_fresh(after(10) + MAX_VIEW_AGE));
}

/// A host is paused for ten minutes. When it resumes, its sockets hold answers from
/// before the pause. If they counted from when they are read, they would make the old
/// view fresh, and work would be sent to targets that have left in the meantime.
#[test]
fn answers_from_before_a_pause_do_not_make_the_view_fresh() {
    let mut freshness = seated(&["a", "b", "c"]);
    confirm(&mut freshness, &["b", "c"], after(10));
    let resumed = after(610);

    confirm(&mut freshness, &["b", "c"], after(11));
    freshness.record_platform_request(after(11), true);

    assert!(!freshness.is_fresh(resumed));
    confirm(&mut freshness, &["c"], resumed);
    assert!(freshness.is_fresh(resumed));
}

/// The resumed host's platform is stale and is the first to answer that it has nothing
/// newer.
#[test]
fn platform_alone_does_not_confirm_where_peers_hold_the_majority() {
    let mut freshness = seated(&["a", "b", "c"]);

    freshness.record_platform_request(after(10), true);

    assert!(!freshness.is_fresh(after(10)));
}

#[test]
fn only_seat_asks_the_platform_and_continues_when_it_is_down() {
    let mut freshness = seated(&["a"]);
    let unasked = freshness.is_fresh(after(1));

    freshness.record_platform_request(after(1), false);

    assert!(!unasked);
    assert!(freshness.is_fresh(after(2)));
    assert!(!freshness.is_fresh(after(60)));
}

#[test]
fn host_without_a_seat_needs_a_full_majority_of_others() {
    let mut freshness = seated(&["b", "c", "d"]);

    confirm(&mut freshness, &["b"], after(10));
    let one = freshness.is_fresh(after(10));
    confirm(&mut freshness, &["c"], after(10));

    assert!(!one);
    assert!(freshness.is_fresh(after(10)));
}

#[test]
fn host_outside_the_roster_confirms_nothing() {
    let mut freshness = seated(&["a", "b", "c"]);

    confirm(&mut freshness, &["x", "y"], after(10));

    assert!(!freshness.is_fresh(after(10)));
}

#[test]
fn confirmations_of_seats_that_stay_outlive_a_change_of_the_roster() {
    let mut freshness = seated(&["a", "b", "c"]);
    confirm(&mut freshness, &["b"], after(10));

    freshness.set_seats("a", &names(&["a", "b", "d"]));
    let kept = freshness.is_fresh(after(11));
    freshness.set_seats("a", &names(&["a", "d", "e"]));

    assert!(kept);
    assert!(!freshness.is_fresh(after(11)));
}

/// All hosts restart while the platform is stale. The first one must not serve by the
/// platform's old document while its peers still have the newer one.
#[test]
fn new_process_asks_its_peers_before_the_platform_is_sufficient() {
    let mut freshness = ViewFreshness::new(START);
    let empty = freshness.readiness(START);
    freshness.set_seats("a", &names(&["a", "b", "c"]));
    freshness.record_platform_request(START, true);

    let early = freshness.readiness(START);
    let late = freshness.readiness(START + PEER_WAIT);
    confirm(&mut freshness, &["b"], START);
    let confirmed = freshness.readiness(START);

    assert_eq!(empty, Err(UnreadyReason::NoDocument));
    assert_eq!(early, Err(UnreadyReason::AskingPeers));
    assert_eq!(late, Ok(()));
    assert_eq!(confirmed, Ok(()));
}

#[test]
fn isolated_host_is_not_ready_and_gives_the_reason() {
    let mut freshness = seated(&["a", "b", "c", "d", "e"]);
    confirm(&mut freshness, &["b", "c"], after(10));
    freshness.record_platform_request(after(10), true);
    confirm(&mut freshness, &["b"], after(15));

    let before = freshness.readiness(after(15));
    let alone = freshness.readiness(after(10) + READY_MAX_AGE);

    assert_eq!(before, Ok(()));
    let (responding, needed) = (1, 2);
    assert_eq!(alone, Err(UnreadyReason::Isolated { responding, needed }));
}

#[test]
fn platform_outage_leaves_a_host_with_peers_ready() {
    let mut freshness = seated(&["a", "b", "c"]);

    freshness.record_platform_request(after(900), false);
    confirm(&mut freshness, &["b"], after(900));

    assert_eq!(freshness.readiness(after(901)), Ok(()));
    assert!(freshness.is_fresh(after(901)));
}
