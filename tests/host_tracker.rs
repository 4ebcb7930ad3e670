//! Log lines for changes of a host's own state.

use cardamomgw::controllers::HostSnapshot;
use cardamomgw::controllers::HostTracker;

fn serving() -> HostSnapshot {
    HostSnapshot {
        unready_reason: None,
        majority: true,
        roster: Some(1),
    }
}

fn isolated() -> HostSnapshot {
    HostSnapshot {
        unready_reason: Some("no majority".to_owned()),
        majority: false,
        ..serving()
    }
}

fn lines(tracker: &mut HostTracker, snapshot: HostSnapshot) -> Vec<String> {
    let changes = tracker.update(snapshot);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn start_reports_readiness_and_no_loss() {
    let mut tracker = HostTracker::default();
    let starting = HostSnapshot {
        unready_reason: Some("no configuration yet".to_owned()),
        ..HostSnapshot::default()
    };

    let first = lines(&mut tracker, starting);

    assert_eq!(first, ["not ready: no configuration yet"]);
}

#[test]
fn nothing_is_reported_twice() {
    let mut tracker = HostTracker::default();

    let first = lines(&mut tracker, serving());
    let second = lines(&mut tracker, serving());

    assert_eq!(first, ["roster 1 is active", "ready"]);
    assert!(second.is_empty());
}

#[test]
fn lost_and_regained_majority_is_reported() {
    let mut tracker = HostTracker::default();
    lines(&mut tracker, serving());

    let lost = lines(&mut tracker, isolated());
    let back = lines(&mut tracker, serving());

    assert_eq!(
        lost,
        ["no majority of seats answers", "not ready: no majority"]
    );
    assert_eq!(back, ["a majority of seats answers", "ready"]);
}

#[test]
fn another_roster_and_another_reason_are_reported() {
    let mut tracker = HostTracker::default();
    lines(&mut tracker, serving());
    let leaving = HostSnapshot {
        unready_reason: Some("the host is leaving".to_owned()),
        roster: Some(2),
        ..serving()
    };

    let changes = lines(&mut tracker, leaving);

    assert_eq!(
        changes,
        ["roster 2 is active", "not ready: the host is leaving"]
    );
}
