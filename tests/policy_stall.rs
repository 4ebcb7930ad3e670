//! Cases in which work must not wait while slots are free.

use std::sync::Arc;
use std::time::Duration;

use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::policy::DispatchPolicy;
use cardamomgw::policy::PolicyAction;
use cardamomgw::policy::PolicySettings;
use cardamomgw::policy::TargetFacts;
use cardamomgw::policy::WorkItem;
use cardamomgw::policy::WorkOutcome;

fn hosts() -> Vec<String> {
    (1..=3).map(|number| format!("entry-{number}")).collect()
}

fn engines(first: TargetState) -> Vec<TargetFacts> {
    [first, TargetState::Live]
        .into_iter()
        .enumerate()
        .map(|(index, state)| TargetFacts {
            name: format!("engine-{}", index + 1),
            kind: TargetKind::Engine,
            slots: 16,
            state,
            availability_zone: "zone-a".into(),
        })
        .collect()
}

fn briefing(work: u64, now: Duration) -> WorkItem {
    WorkItem {
        work,
        tier: 1,
        account: "harmattan".into(),
        weight: 1,
        class: "briefing".into(),
        prompt_tokens: 20,
        output_tokens: 0,
        prefix: work,
        deadline: now + Duration::from_secs(120),
        first_token_goal: None,
        allowed: Arc::new(vec!["engine-1".into(), "engine-2".into()]),
    }
}

fn cell() -> Vec<DispatchPolicy> {
    hosts()
        .into_iter()
        .enumerate()
        .map(|(index, host)| {
            let settings = PolicySettings {
                incarnation: index as u64 + 1,
                ..PolicySettings::default()
            };
            let mut policy = DispatchPolicy::new(host, settings);
            policy.set_hosts(Duration::ZERO, hosts());
            policy.set_targets(Duration::ZERO, engines(TargetState::Live));
            policy
        })
        .collect()
}

/// Exchanges the digests of all hosts.
fn exchange(cell: &mut [DispatchPolicy], now: Duration) {
    for from in 0..cell.len() {
        let digest = cell[from].digest(now);
        for to in (0..cell.len()).filter(|to| *to != from) {
            cell[to].apply_peer_digest(now, &hosts()[from], digest.clone());
        }
    }
}

/// Guards against work that waits until its deadline although an engine is idle: the other of
/// its two engines left the fleet just before.
#[test]
fn work_goes_to_the_remaining_engine_when_the_other_leaves() {
    let mut cell = cell();
    let mut now = Duration::ZERO;
    for _ in 0..4 {
        now += Duration::from_millis(500);
        exchange(&mut cell, now);
    }
    for policy in &mut cell {
        policy.set_targets(now, engines(TargetState::Leaving));
    }

    let mut dispatched = 0;
    for (index, policy) in cell.iter_mut().enumerate() {
        for work in 0..2 {
            let item = briefing(index as u64 * 10 + work, now);
            dispatched += count_dispatches(&policy.arrive(now, item));
        }
    }
    for step in 0..500 {
        now += Duration::from_millis(20);
        if step % 25 == 0 {
            exchange(&mut cell, now);
        }
        for policy in &mut cell {
            dispatched += count_dispatches(&policy.tick(now));
        }
    }

    assert_eq!(dispatched, 6);
}

/// Guards against work that waits until its deadline although an engine is idle: the other
/// engine crashed, and the reserve for urgent work was computed from the slots of both.
#[test]
fn the_reserve_follows_the_remaining_slots() {
    let mut policy = DispatchPolicy::new("entry-1".into(), PolicySettings::default());
    policy.set_hosts(Duration::ZERO, vec!["entry-1".into()]);
    let two_slots = |state| {
        let mut engines = engines(state);
        engines.iter_mut().for_each(|engine| engine.slots = 2);
        engines
    };
    policy.set_targets(Duration::ZERO, two_slots(TargetState::Live));
    let mut now = Duration::ZERO;
    for work in 1..=100 {
        now += Duration::from_millis(110);
        let urgent = WorkItem {
            tier: 0,
            ..briefing(work, now)
        };
        policy.arrive(now, urgent);
        policy.tick(now);
        policy.withdraw(now, work);
        policy.record_end(now, work.saturating_sub(2), WorkOutcome::Finished);
    }
    policy.record_end(now, 99, WorkOutcome::Finished);
    policy.record_end(now, 100, WorkOutcome::Finished);
    policy.set_targets(now, two_slots(TargetState::Leaving));

    let actions = policy.arrive(now, briefing(200, now));

    assert_eq!(count_dispatches(&actions), 1, "{actions:?}");
}

/// Guards against work that waits until its deadline although a service is idle: its only
/// service became ten times slower, and slow targets are avoided.
#[test]
fn work_goes_to_a_slow_target_if_it_is_the_only_one() {
    let mut policy = DispatchPolicy::new("entry-1".into(), PolicySettings::default());
    policy.set_hosts(Duration::ZERO, vec!["entry-1".into()]);
    policy.set_targets(Duration::ZERO, vec![service()]);
    let mut now = Duration::ZERO;

    let mut dispatched = 0;
    for work in 1..=60 {
        now += Duration::from_millis(20);
        dispatched += count_dispatches(&policy.arrive(now, booking(work, now)));
        policy.record_start(now, work);
        // The first calls take 50 ms, the later ones 500 ms.
        now += Duration::from_millis(if work <= 20 { 50 } else { 500 });
        policy.record_progress(now, work, 1);
        policy.record_end(now, work, WorkOutcome::Finished);
    }

    assert_eq!(dispatched, 60);
}

/// Guards against work that waits after it could not connect to its only service. It must be
/// sent there again at once.
#[test]
fn work_is_retried_at_the_only_target_after_a_failed_connection() {
    let mut policy = DispatchPolicy::new("entry-1".into(), PolicySettings::default());
    policy.set_hosts(Duration::ZERO, vec!["entry-1".into()]);
    policy.set_targets(Duration::ZERO, vec![service()]);
    let now = Duration::from_millis(20);
    let first = policy.arrive(now, booking(1, now));

    let second = policy.record_end(now, 1, WorkOutcome::NotSent);

    assert_eq!(count_dispatches(&first), 1);
    assert_eq!(count_dispatches(&second), 1, "{second:?}");
}

fn service() -> TargetFacts {
    TargetFacts {
        name: "service-1".into(),
        kind: TargetKind::Service,
        slots: 16,
        state: TargetState::Live,
        availability_zone: "zone-a".into(),
    }
}

fn booking(work: u64, now: Duration) -> WorkItem {
    WorkItem {
        tier: 0,
        class: "slot".into(),
        allowed: Arc::new(vec!["service-1".into()]),
        ..briefing(work, now)
    }
}

fn count_dispatches(actions: &[PolicyAction]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, PolicyAction::Dispatch { .. }))
        .count()
}
