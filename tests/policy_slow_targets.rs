//! Dispatch of work whose targets have all become slow.

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

fn policy() -> DispatchPolicy {
    let mut policy = DispatchPolicy::new("entry-1".to_string(), PolicySettings::default());
    let service = TargetFacts {
        name: "service-1".to_string(),
        kind: TargetKind::Service,
        slots: 4,
        state: TargetState::Live,
        availability_zone: "zone-a".to_string(),
    };
    policy.set_targets(Duration::ZERO, vec![service]);
    policy.set_hosts(Duration::ZERO, vec!["entry-1".to_string()]);
    policy
}

fn booking(work: u64, now: Duration) -> WorkItem {
    WorkItem {
        work,
        tier: 0,
        account: "crews".to_string(),
        weight: 1,
        class: "booking".to_string(),
        prompt_tokens: 10,
        output_tokens: 0,
        prefix: 0,
        deadline: now + Duration::from_secs(20),
        first_token_goal: None,
        allowed: Arc::new(vec!["service-1".to_string()]),
    }
}

fn is_dispatched(actions: &[PolicyAction]) -> bool {
    let dispatch = |action: &PolicyAction| matches!(action, PolicyAction::Dispatch { .. });
    actions.iter().any(dispatch)
}

/// Guards against work that waits until its deadline although slots are free: the only service
/// slowed down from 1 ms to 20 ms per call, so it counts as slow, and work of the top tier
/// avoids slow targets.
#[test]
fn work_goes_to_a_slow_service_if_there_is_no_other() {
    let mut policy = policy();
    let mut now = Duration::from_secs(10);
    let mut work = 0;
    for millis in [1, 1, 1, 1, 20, 20, 20, 20] {
        work += 1;
        assert!(
            is_dispatched(&policy.arrive(now, booking(work, now))),
            "call {work}"
        );
        policy.record_start(now, work);
        now += Duration::from_millis(millis);
        policy.record_end(now, work, WorkOutcome::Finished);
    }

    let actions = policy.arrive(now, booking(100, now));

    assert!(is_dispatched(&actions), "{actions:?}");
}
