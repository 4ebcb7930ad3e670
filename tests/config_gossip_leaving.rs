//! Leaving targets, while sources lag and disagree.

use arbtest::arbtest;
use cardamomgw::controllers::LeavingTracker;
use cardamomgw::documents::HostList;
use cardamomgw::documents::ListedHost;
use cardamomgw::fleet::TargetState::Leaving;
use cardamomgw::fleet::TargetState::Live;

#[test]
fn unknown_name_is_not_leaving() {
    let tracker = LeavingTracker::default();

    assert!(!tracker.is_leaving("e1"));
}

/// An engine reports that it is leaving, while the platform's list, which lags, still
/// shows it as live with a newer time. New work on the engine would be cut off when it
/// ends.
#[test]
fn list_does_not_override_a_target_that_reports_itself_as_leaving() {
    let mut tracker = LeavingTracker::default();

    let changed = tracker.record_target_state("e1", Leaving, 100);
    let changed_back = tracker.record_list_state("e1", Live, 200);

    assert!(changed);
    assert!(!changed_back);
    assert!(tracker.is_leaving("e1"));
}

/// The list shows a target as leaving; the target has not been notified yet and reports
/// live.
#[test]
fn target_does_not_override_the_list() {
    let mut tracker = LeavingTracker::default();

    tracker.record_list_state("e1", Leaving, 100);
    tracker.record_target_state("e1", Live, 200);

    assert!(tracker.is_leaving("e1"));
}

/// Two reads of the list overtake each other, or a stale replica answers.
#[test]
fn older_report_of_the_same_source_changes_nothing() {
    let mut tracker = LeavingTracker::default();

    tracker.record_list_state("e1", Leaving, 200);
    let older = tracker.record_list_state("e1", Live, 100);
    let same = tracker.record_list_state("e1", Live, 200);

    assert!(!older);
    assert!(!same);
    assert!(tracker.is_leaving("e1"));
}

#[test]
fn source_replaces_its_own_report_by_a_newer_one() {
    let mut tracker = LeavingTracker::default();
    tracker.record_list_state("e1", Leaving, 100);
    tracker.record_target_state("e1", Leaving, 100);

    let first = tracker.record_list_state("e1", Live, 101);
    let second = tracker.record_target_state("e1", Live, 101);

    assert!(!first);
    assert!(second);
    assert!(!tracker.is_leaving("e1"));
}

#[test]
fn target_that_is_no_longer_named_starts_afresh() {
    let mut tracker = LeavingTracker::default();
    tracker.record_target_state("e1", Leaving, 100);
    tracker.record_target_state("e2", Leaving, 100);

    tracker.retain(&["e2".to_owned()]);

    assert!(!tracker.is_leaving("e1"));
    assert!(tracker.is_leaving("e2"));
}

/// Reports arrive in any order. The state is that of each source's newest report, and
/// leaving where two reports of one source have the same time.
#[test]
fn order_of_arrival_does_not_matter() {
    arbtest(|u| {
        let mut reports: Vec<(bool, bool, u64)> = u.arbitrary()?;
        for report in &mut reports {
            report.2 %= 8;
        }
        let mut forward = LeavingTracker::default();
        let mut backward = LeavingTracker::default();

        for (index, report) in reports.iter().enumerate() {
            apply(&mut forward, *report);
            apply(&mut backward, reports[reports.len() - 1 - index]);
        }

        assert_eq!(forward.is_leaving("e1"), backward.is_leaving("e1"));
        Ok(())
    });
}

fn apply(tracker: &mut LeavingTracker, (by_list, leaves, taken): (bool, bool, u64)) {
    let state = if leaves { Leaving } else { Live };
    if by_list {
        tracker.record_list_state("e1", state, taken);
    } else {
        tracker.record_target_state("e1", state, taken);
    }
}

/// The list shows an engine as leaving that no document names yet. Other documents
/// arrive, the platform goes down, and then a peer provides the document that adds the
/// engine. If the list's report were lost, the engine would get work that is cut off
/// when it ends.
#[test]
fn listed_as_leaving_before_a_document_names_it_is_not_forgotten() {
    let mut tracker = LeavingTracker::default();
    tracker.apply_list(HostList {
        taken_ms: 100,
        hosts: vec![ListedHost {
            name: "e2".to_owned(),
            state: Leaving,
        }],
    });

    tracker.set_names(&["e1".to_owned()]);
    tracker.set_names(&["e1".to_owned(), "e2".to_owned()]);

    assert!(tracker.is_leaving("e2"));
}

/// Operators remove a leaving engine, replace it, and add it again under the same name.
#[test]
fn target_that_was_removed_starts_afresh() {
    let mut tracker = LeavingTracker::default();
    tracker.record_target_state("e1", Leaving, 100);

    tracker.set_names(&[]);
    tracker.set_names(&["e1".to_owned()]);

    assert!(!tracker.is_leaving("e1"));
}
