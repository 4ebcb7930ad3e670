//! What operators are told when a host's own state changes.

use cardamomgw::controllers::HostSnapshot;
use cardamomgw::controllers::HostTracker;

fn serving() -> HostSnapshot {
    HostSnapshot {
        unready: None,
        majority: true,
        roster: Some(1),
    }
}

fn alone() -> HostSnapshot {
    HostSnapshot {
        unready: Some("no majority".to_owned()),
        majority: false,
        ..serving()
    }
}

fn lines(roll: &mut HostTracker, look: HostSnapshot) -> Vec<String> {
    let changes = roll.update(look);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn start_tells_readiness_and_no_loss() {
    let mut roll = HostTracker::default();
    let starting = HostSnapshot {
        unready: Some("no configuration yet".to_owned()),
        ..HostSnapshot::default()
    };

    let first = lines(&mut roll, starting);

    assert_eq!(first, ["not ready: no configuration yet"]);
}

#[test]
fn nothing_is_told_twice() {
    let mut roll = HostTracker::default();

    let first = lines(&mut roll, serving());
    let second = lines(&mut roll, serving());

    assert_eq!(first, ["roster 1 is active", "ready"]);
    assert!(second.is_empty());
}

#[test]
fn majority_that_goes_and_comes_back_is_told() {
    let mut roll = HostTracker::default();
    lines(&mut roll, serving());

    let lost = lines(&mut roll, alone());
    let back = lines(&mut roll, serving());

    assert_eq!(
        lost,
        ["no majority of seats answers", "not ready: no majority"]
    );
    assert_eq!(back, ["a majority of seats answers", "ready"]);
}

#[test]
fn another_roster_and_another_reason_are_told() {
    let mut roll = HostTracker::default();
    lines(&mut roll, serving());
    let leaving = HostSnapshot {
        unready: Some("the host is leaving".to_owned()),
        roster: Some(2),
        ..serving()
    };

    let told = lines(&mut roll, leaving);

    assert_eq!(
        told,
        ["roster 2 is active", "not ready: the host is leaving"]
    );
}
