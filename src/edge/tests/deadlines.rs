//! How long callers have waited, by their deadlines.

use std::time::Duration;

use crate::edge::deadline_history::DeadlineHistory;

const NOW: Duration = Duration::from_secs(100);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a caller that comes back and takes the slot of one that can be in time.
#[test]
fn a_caller_that_comes_back_is_told_from_a_new_one() {
    let mut history = DeadlineHistory::default();
    for _ in 0..10 {
        history.record("r", millis(12_000), NOW);
        history.record("r", millis(3_000), NOW);
    }

    assert_eq!(history.record("r", millis(12_000), NOW), Duration::ZERO);
    assert_eq!(history.record("r", millis(9_731), NOW), millis(2_269));
    assert_eq!(history.record("r", millis(3_000), NOW), Duration::ZERO);
    assert_eq!(history.record("r", millis(1_213), NOW), millis(1_787));
    assert_eq!(history.record("other", millis(9_731), NOW), Duration::ZERO);
}

/// Guards against deadlines of callers that come back which push out the usual ones.
#[test]
fn odd_deadlines_push_no_usual_one_out() {
    let mut history = DeadlineHistory::default();
    for odd in 0..1000 {
        history.record("r", millis(10_000), NOW);
        history.record("r", millis(5_000 + odd), NOW);
    }

    assert_eq!(history.record("r", millis(10_000), NOW), Duration::ZERO);
    assert_eq!(history.record("r", millis(4_000), NOW), millis(6_000));
}

/// Guards against callers with deadlines of their own, none of which comes twice: those that
/// came back were taken for new ones, and took the slots of others that could be in time.
#[test]
fn a_caller_that_comes_back_has_less_left_than_any_new_one() {
    let mut history = DeadlineHistory::default();
    for odd in 0..600 {
        history.record("r", millis(10_200 + 3 * odd), NOW);
        history.record("r", millis(6_500 + 4 * odd), NOW);
    }

    assert_eq!(history.record("r", millis(10_201), NOW), Duration::ZERO);
    assert!(history.record("r", millis(8_850), NOW) >= millis(1_300));
    assert!(history.record("r", millis(6_501), NOW) >= millis(3_600));
}

/// Guards against new callers that are taken for ones that came back, since their deadlines
/// were shortened.
#[test]
fn a_longest_deadline_is_forgotten() {
    let mut history = DeadlineHistory::default();
    history.record("r", millis(12_000), NOW);
    let later = NOW + Duration::from_secs(30);
    history.record("r", millis(3_000), later);

    let waited = history.record("r", millis(3_100), later + Duration::from_secs(30));

    assert_eq!(waited, Duration::ZERO);
}
