//! Estimates of how long callers have waited, from their deadlines.

use std::time::Duration;

use crate::edge::deadline_history::DeadlineHistory;

const NOW: Duration = Duration::from_secs(100);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a retry that takes the slot of a request that can still meet its
/// objective.
#[test]
fn a_retry_is_distinguished_from_a_first_attempt() {
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

/// Guards against uncommon deadlines of retries that displace the common ones.
#[test]
fn uncommon_deadlines_do_not_displace_common_ones() {
    let mut history = DeadlineHistory::default();
    for odd in 0..1000 {
        history.record("r", millis(10_000), NOW);
        history.record("r", millis(5_000 + odd), NOW);
    }

    assert_eq!(history.record("r", millis(10_000), NOW), Duration::ZERO);
    assert_eq!(history.record("r", millis(4_000), NOW), millis(6_000));
}

/// Guards against retries that are taken for first attempts, and so take the slots of
/// requests that can still meet their objective, when every caller has an individual
/// deadline.
#[test]
fn a_retry_has_less_time_left_than_any_first_attempt() {
    let mut history = DeadlineHistory::default();
    for odd in 0..600 {
        history.record("r", millis(10_200 + 3 * odd), NOW);
        history.record("r", millis(6_500 + 4 * odd), NOW);
    }

    assert_eq!(history.record("r", millis(10_201), NOW), Duration::ZERO);
    assert!(history.record("r", millis(8_850), NOW) >= millis(1_300));
    assert!(history.record("r", millis(6_501), NOW) >= millis(3_600));
}

/// Guards against first attempts that are taken for retries after deadlines became
/// shorter.
#[test]
fn the_longest_deadline_expires() {
    let mut history = DeadlineHistory::default();
    history.record("r", millis(12_000), NOW);
    let later = NOW + Duration::from_secs(30);
    history.record("r", millis(3_000), later);

    let waited = history.record("r", millis(3_100), later + Duration::from_secs(30));

    assert_eq!(waited, Duration::ZERO);
}

/// Guards against one caller with an absurd deadline, after which all others are taken for returning
/// callers that have missed their objective.
#[test]
fn absurd_deadlines_leave_others_first_attempts() {
    let mut history = DeadlineHistory::default();
    for left in [u64::MAX, u64::MAX - 1, 1_000_000_000_000] {
        for _ in 0..10 {
            history.record("r", millis(left), NOW);
        }
    }

    assert_eq!(history.record("r", millis(2_000), NOW), Duration::ZERO);
}
