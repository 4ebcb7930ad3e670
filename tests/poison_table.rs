//! Detection of requests that crash targets, over several hosts.

use std::time::Duration;

use cardamomgw::ids::TargetName;
use cardamomgw::poison::LossHistory;
use cardamomgw::poison::LossScope;
use cardamomgw::poison::LostRun;
use cardamomgw::poison::PoisonTable;
use cardamomgw::poison::RequestFingerprint;
use cardamomgw::poison::fingerprint_request;
use cardamomgw::poison::trial_host;

const MINUTE_MS: u64 = 60_000;

fn poison() -> RequestFingerprint {
    fingerprint_request("harbour", "digest", b"poison")
}

fn harmless() -> RequestFingerprint {
    fingerprint_request("harbour", "digest", b"weather")
}

fn target(number: u32) -> TargetName {
    format!("engine-{number}")
}

/// Time from the sending of a request to the loss of its target.
const RUN_TIME: u64 = 50;

/// Records the loss of a target by a request that was sent shortly before.
fn lose(table: &mut PoisonTable, request: RequestFingerprint, number: u32, now: u64) {
    lose_after(table, request, number, RUN_TIME, now);
}

fn lose_after(
    table: &mut PoisonTable,
    request: RequestFingerprint,
    number: u32,
    run_time: u64,
    now: u64,
) {
    let target = target(number);
    let lost = LostRun {
        target: &target,
        sent_at: now - run_time,
        lost_at: now,
    };
    table.record_loss(request, lost);
}

/// Exchanges all entries in both directions, as gossip messages do.
fn exchange(left: &mut PoisonTable, right: &mut PoisonTable) {
    for entry in left.entries() {
        right.merge(&entry);
    }
    for entry in right.entries() {
        left.merge(&entry);
    }
}

/// Guards against a caller that resends a crashing request to different hosts with new ids. Two
/// hosts observed one loss each; after one exchange both must reject the request.
#[test]
fn second_loss_on_another_host_rejects_on_both() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    lose(&mut left, poison(), 1, MINUTE_MS);
    lose(&mut right, poison(), 2, MINUTE_MS + 5_000);
    assert!(!left.is_refused(poison()));

    exchange(&mut left, &mut right);

    assert!(left.is_refused(poison()) && right.is_refused(poison()));
}

#[test]
fn concurrent_request_is_cleared_everywhere_by_one_success() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    lose(&mut left, harmless(), 1, MINUTE_MS);
    exchange(&mut left, &mut right);

    right.record_success(harmless(), MINUTE_MS + 3_000);
    exchange(&mut left, &mut right);
    exchange(&mut left, &mut right);

    assert!(!left.is_suspect(harmless()) && !right.is_suspect(harmless()));
}

#[test]
fn copies_lost_with_one_target_count_as_one_loss() {
    let mut table = PoisonTable::default();

    lose(&mut table, poison(), 1, MINUTE_MS);
    lose(&mut table, poison(), 1, MINUTE_MS + 10);

    assert!(table.is_suspect(poison()));
    assert!(!table.is_refused(poison()));
}

#[test]
fn rejection_ends_after_retention_and_table_size_is_limited() {
    let mut table = PoisonTable::default();
    lose(&mut table, poison(), 1, MINUTE_MS);
    lose(&mut table, poison(), 2, MINUTE_MS);
    for other in 0..1000u32 {
        let other = fingerprint_request("harbour", "digest", &other.to_le_bytes());
        lose(&mut table, other, 3, MINUTE_MS / 2);
    }
    assert!(table.is_refused(poison()));
    assert!(table.entries().len() <= 64);

    table.evict_expired(20 * MINUTE_MS);

    assert!(!table.is_suspect(poison()));
}

/// Records that `target` was lost while it ran the request and `others` harmless ones.
fn record_crash(
    table: &mut PoisonTable,
    request: Option<RequestFingerprint>,
    crash: u32,
    others: u32,
    now: u64,
) {
    for other in 0..others {
        let body = (crash * 1000 + other).to_le_bytes();
        let other = fingerprint_request("harbour", "digest", &body);
        lose(table, other, crash, now);
    }
    if let Some(request) = request {
        lose(table, request, crash, now);
    }
}

/// Guards against a rejected request that is forgotten while other targets crash.
#[test]
fn a_rejected_request_is_remembered_while_many_others_become_suspects() {
    let mut table = PoisonTable::default();
    record_crash(&mut table, Some(poison()), 1, 12, MINUTE_MS);
    record_crash(&mut table, Some(poison()), 2, 12, MINUTE_MS + 1_000);

    for crash in 3..=200 {
        let now = MINUTE_MS + u64::from(crash) * 1_000;
        record_crash(&mut table, None, crash, 12, now);
    }

    assert!(table.is_refused(poison()));
}

/// Guards against a request that never becomes rejected, since each of its losses is forgotten
/// before the next one while other targets crash.
#[test]
fn losses_of_a_request_are_counted_across_many_crashes_of_other_targets() {
    let mut table = PoisonTable::default();
    record_crash(&mut table, Some(poison()), 1, 12, MINUTE_MS);

    // One target of 3,000 crashes each 100 ms for 8 s.
    for crash in 2..=81 {
        let now = MINUTE_MS + u64::from(crash) * 100;
        record_crash(&mut table, None, crash, 12, now);
    }
    record_crash(&mut table, Some(poison()), 82, 12, MINUTE_MS + 8_200);

    assert!(table.is_refused(poison()));
}

/// Guards against messages that grow with the number of suspects, and leave out the requests
/// that peers must reject.
#[test]
fn a_message_lists_the_rejected_requests_first() {
    let (mut left, mut right) = (PoisonTable::default(), PoisonTable::default());
    record_crash(&mut left, Some(poison()), 1, 12, MINUTE_MS);
    record_crash(&mut left, Some(poison()), 2, 12, MINUTE_MS + 1_000);
    record_crash(&mut left, None, 3, 500, MINUTE_MS + 2_000);

    exchange(&mut left, &mut right);

    assert!(left.entries().len() <= 64);
    assert!(right.is_refused(poison()));
}

/// Guards against a crashing request that is not marked, since the target broke off the answer to
/// another request just before, and was gone when that was checked.
#[test]
fn a_loss_just_before_a_crash_does_not_excuse_its_cause() {
    let mut table = PoisonTable::default();
    lose(&mut table, harmless(), 1, MINUTE_MS);

    lose_after(&mut table, poison(), 1, 30, MINUTE_MS + 31);

    assert!(table.is_suspect(poison()));
}

/// Guards against one crash that counts as two, as a paused host or a slow check notices it
/// seconds later.
#[test]
fn copies_whose_loss_is_noticed_late_count_as_one_loss() {
    let mut table = PoisonTable::default();
    lose(&mut table, poison(), 1, MINUTE_MS);

    lose_after(&mut table, poison(), 1, 5_000, MINUTE_MS + 4_000);

    assert!(table.is_suspect(poison()) && !table.is_refused(poison()));
}

/// Guards against a harmless request that stays rejected for as long as losses are remembered.
#[test]
fn a_request_that_ran_beside_others_at_each_crash_is_soon_due_for_a_trial() {
    let mut table = PoisonTable::default();
    for crash in 1..=2 {
        lose(&mut table, poison(), crash, MINUTE_MS);
        lose(&mut table, harmless(), crash, MINUTE_MS + 5);
    }

    let due_at = table.trial_due_at(harmless(), 0);
    let again_at = table.trial_due_at(harmless(), MINUTE_MS + 5_000);

    assert_eq!(due_at, Some(MINUTE_MS + 5_000));
    assert_eq!(again_at, Some(MINUTE_MS + 10_000));
}

/// Guards against trials of a request that does crash targets, again and again.
#[test]
fn a_request_that_ran_alone_or_crashes_further_targets_has_few_trials() {
    let mut table = PoisonTable::default();
    lose(&mut table, poison(), 1, MINUTE_MS);
    lose(&mut table, poison(), 2, MINUTE_MS + 1_000);
    assert_eq!(table.trial_due_at(poison(), 0), Some(2 * MINUTE_MS + 1_000));

    lose(&mut table, poison(), 3, 2 * MINUTE_MS + 2_000);

    assert_eq!(
        table.trial_due_at(poison(), 0),
        Some(12 * MINUTE_MS + 2_000)
    );
    assert_eq!(table.trial_due_at(harmless(), 0), None);
}

/// Guards against an early trial of a request that alone ran at both crashes, among many others
/// that ran at one of them.
#[test]
fn requests_beside_one_crash_do_not_excuse_the_one_beside_both() {
    let mut table = PoisonTable::default();
    record_crash(&mut table, Some(poison()), 1, 12, MINUTE_MS);
    record_crash(&mut table, Some(poison()), 2, 12, MINUTE_MS + 1_000);

    let due_at = table.trial_due_at(poison(), 0);

    assert_eq!(due_at, Some(2 * MINUTE_MS + 1_000));
}

/// Guards against one trial for each host of a fleet, and against hosts that never have one.
#[test]
fn hosts_take_turns_with_trials() {
    let hosts: Vec<String> = (1..=5).map(|number| format!("e{number}")).collect();

    let turns: Vec<_> = (0..200)
        .map(|turn| trial_host(poison(), &hosts, turn * 5_000))
        .collect();

    for host in &hosts {
        let count = turns.iter().filter(|turn| **turn == Some(host)).count();
        assert!((10..=80).contains(&count), "{host}: {count}");
    }
    assert_eq!(trial_host(poison(), &[], 0), None);
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(MINUTE_MS + millis)
}

/// Records the loss of a connection to a target that is unreachable from then on.
fn lose_target(history: &mut LossHistory, request: RequestFingerprint, number: u32, millis: u64) {
    history.record(&target(number), vec![request], at(millis));
    history.record_probe(&target(number), false, at(millis + 30));
}

fn other_request(number: u32) -> RequestFingerprint {
    fingerprint_request("harbour", "digest", &number.to_le_bytes())
}

/// Records the losses of targets by different requests, `interval` milliseconds apart.
fn lose_all(history: &mut LossHistory, targets: std::ops::Range<u32>, interval: u64) {
    for number in targets {
        let millis = u64::from(number) * interval;
        lose_target(history, other_request(number), number, millis);
    }
}

/// Guards against a crash that is not counted because other targets, which are alive, close
/// connections all the time.
#[test]
fn closed_connections_of_targets_that_are_alive_explain_nothing() {
    let mut history = LossHistory::default();
    for number in 1..8 {
        history.record(&target(number), vec![other_request(number)], at(0));
    }
    lose_target(&mut history, poison(), 0, 0);
    let early = history.scope(&target(0), &[poison()], at(0));
    for number in 1..8 {
        history.record_probe(&target(number), true, at(30));
    }
    let late = history.scope(&target(0), &[poison()], at(0));

    assert_eq!((early, late), (LossScope::Unknown, LossScope::Single));
}

/// Guards against requests that are marked as the cause of crashes while their host loses its paths,
/// as for 28 hosts within 60 ms.
#[test]
fn a_loss_beside_those_of_several_other_targets_is_none_of_the_request() {
    let mut history = LossHistory::default();
    lose_target(&mut history, harmless(), 0, 0);
    lose_all(&mut history, 1..4, 20);

    assert_eq!(
        history.scope(&target(0), &[harmless()], at(0)),
        LossScope::Many
    );
}

/// Guards against a crash that is taken for a lost path: of one target, or of two or three at once,
/// for which the paths are looked at once more.
#[test]
fn losses_of_up_to_three_targets_may_be_crashes() {
    let mut history = LossHistory::default();
    lose_target(&mut history, poison(), 0, 0);
    let single = history.scope(&target(0), &[poison()], at(0));
    lose_all(&mut history, 1..3, 30);
    let three = history.scope(&target(0), &[poison()], at(0));

    assert_eq!(single, LossScope::Single);
    assert_eq!(three, LossScope::Several(at(160)));
}

/// Guards against a request that crashes several targets in copies sent at once, and is excused by
/// its own crashes.
#[test]
fn copies_of_a_request_do_not_excuse_each_other() {
    let mut history = LossHistory::default();
    for number in 0..6 {
        lose_target(&mut history, poison(), number, 0);
    }
    lose_target(&mut history, harmless(), 5, 0);

    let copies = history.scope(&target(0), &[poison()], at(0));
    let beside = history.scope(&target(5), &[harmless()], at(0));

    assert_eq!(copies, LossScope::Several(at(100)));
    assert_eq!(beside, LossScope::Many);
}

/// Guards against a part of prompts that crashes several targets at once, in different requests, and
/// is excused by its own crashes.
#[test]
fn requests_with_a_common_part_do_not_excuse_each_other() {
    let part = 17;
    let mut history = LossHistory::default();
    for number in 0..6 {
        let causes = vec![other_request(number), part];
        history.record(&target(number), causes, at(0));
        history.record_probe(&target(number), false, at(30));
    }

    let scope = history.scope(&target(0), &[other_request(0), part], at(0));

    assert_eq!(scope, LossScope::Several(at(100)));
}

/// Guards against a request that is sent again and again and crashes a target each time, as each of
/// its losses is excused by those before.
#[test]
fn losses_one_after_the_other_are_not_one_moment() {
    let mut history = LossHistory::default();
    lose_all(&mut history, 0..8, 101);

    let last = other_request(7);
    assert_eq!(
        history.scope(&target(7), &[last], at(707)),
        LossScope::Single
    );
}
