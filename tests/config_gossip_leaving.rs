//! Targets that leave, while sources lag and disagree.

use arbtest::arbtest;
use cardamomgw::controllers::LeavingTracker;
use cardamomgw::documents::HostList;
use cardamomgw::documents::ListedHost;
use cardamomgw::fleet::TargetState::Leaving;
use cardamomgw::fleet::TargetState::Live;

#[test]
fn name_that_nobody_mentioned_is_not_leaving() {
    let ledger = LeavingTracker::default();

    assert!(!ledger.is_leaving("e1"));
}

/// An engine says that it leaves; the platform's list, which lags, goes on
/// saying live, with a newer time. New work there would be cut at the engine's end.
#[test]
fn list_does_not_bring_back_a_target_that_says_itself_it_leaves() {
    let mut ledger = LeavingTracker::default();

    let news = ledger.record_target_state("e1", Leaving, 100);
    let back = ledger.record_list_state("e1", Live, 200);

    assert!(news);
    assert!(!back);
    assert!(ledger.is_leaving("e1"));
}

/// The list says that a target leaves; the target, which was not told yet, says live.
#[test]
fn target_does_not_take_back_what_the_list_says() {
    let mut ledger = LeavingTracker::default();

    ledger.record_list_state("e1", Leaving, 100);
    ledger.record_target_state("e1", Live, 200);

    assert!(ledger.is_leaving("e1"));
}

/// Two reads of the list overtake each other, or a stale replica answers.
#[test]
fn older_word_of_the_same_voice_changes_nothing() {
    let mut ledger = LeavingTracker::default();

    ledger.record_list_state("e1", Leaving, 200);
    let older = ledger.record_list_state("e1", Live, 100);
    let same = ledger.record_list_state("e1", Live, 200);

    assert!(!older);
    assert!(!same);
    assert!(ledger.is_leaving("e1"));
}

#[test]
fn voice_takes_its_own_word_back_by_a_newer_one() {
    let mut ledger = LeavingTracker::default();
    ledger.record_list_state("e1", Leaving, 100);
    ledger.record_target_state("e1", Leaving, 100);

    let first = ledger.record_list_state("e1", Live, 101);
    let second = ledger.record_target_state("e1", Live, 101);

    assert!(!first);
    assert!(second);
    assert!(!ledger.is_leaving("e1"));
}

#[test]
fn target_that_is_put_in_again_starts_afresh() {
    let mut ledger = LeavingTracker::default();
    ledger.record_target_state("e1", Leaving, 100);
    ledger.record_target_state("e2", Leaving, 100);

    ledger.retain(&["e2".to_owned()]);

    assert!(!ledger.is_leaving("e1"));
    assert!(ledger.is_leaving("e2"));
}

/// Words arrive in any order: the state is that of each voice's newest word,
/// and leaving where two words of one voice bear the same time.
#[test]
fn order_of_arrival_does_not_matter() {
    arbtest(|u| {
        let mut words: Vec<(bool, bool, u64)> = u.arbitrary()?;
        for word in &mut words {
            word.2 %= 8;
        }
        let mut forward = LeavingTracker::default();
        let mut backward = LeavingTracker::default();

        for (index, word) in words.iter().enumerate() {
            tell(&mut forward, *word);
            tell(&mut backward, words[words.len() - 1 - index]);
        }

        assert_eq!(forward.is_leaving("e1"), backward.is_leaving("e1"));
        Ok(())
    });
}

fn tell(ledger: &mut LeavingTracker, (by_list, leaves, taken): (bool, bool, u64)) {
    let state = if leaves { Leaving } else { Live };
    if by_list {
        ledger.record_list_state("e1", state, taken);
    } else {
        ledger.record_target_state("e1", state, taken);
    }
}

/// The list calls an engine leaving that no document names yet. Other documents
/// come, the platform goes down, and then a peer brings the document that adds the
/// engine. Forgotten in between, it would get work that its end cuts.
#[test]
fn listed_as_leaving_before_a_document_names_it_is_not_forgotten() {
    let mut ledger = LeavingTracker::default();
    ledger.apply_list(HostList {
        taken_ms: 100,
        hosts: vec![ListedHost {
            name: "e2".to_owned(),
            state: Leaving,
        }],
    });

    ledger.set_names(&["e1".to_owned()]);
    ledger.set_names(&["e1".to_owned(), "e2".to_owned()]);

    assert!(ledger.is_leaving("e2"));
}

/// Operators take a leaving engine out, replace it, and put it in again by its name.
#[test]
fn target_that_was_taken_out_starts_afresh() {
    let mut ledger = LeavingTracker::default();
    ledger.record_target_state("e1", Leaving, 100);

    ledger.set_names(&[]);
    ledger.set_names(&["e1".to_owned()]);

    assert!(!ledger.is_leaving("e1"));
}
