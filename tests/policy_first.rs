//! Basic behaviour of the policy: strict tiers and refusal at arrival.

use std::sync::Arc;
use std::time::Duration;

use cardamomgw::errors::ErrorKind;
use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::policy::DispatchPolicy;
use cardamomgw::policy::PolicyAction;
use cardamomgw::policy::PolicySettings;
use cardamomgw::policy::TargetFacts;
use cardamomgw::policy::WorkItem;
use cardamomgw::policy::WorkOutcome;

fn engine(name: &str, slots: u32) -> TargetFacts {
    TargetFacts {
        name: name.to_string(),
        kind: TargetKind::Engine,
        slots,
        state: TargetState::Live,
        availability_zone: "zone-a".to_string(),
    }
}

fn policy(slots: u32) -> DispatchPolicy {
    let mut policy = DispatchPolicy::new("entry-1".to_string(), PolicySettings::default());
    policy.set_targets(Duration::ZERO, vec![engine("engine-1", slots)]);
    policy.set_hosts(Duration::ZERO, vec!["entry-1".to_string()]);
    policy
}

fn item(work: u64, tier: u8) -> WorkItem {
    WorkItem {
        work,
        tier,
        account: "account-1".to_string(),
        weight: 1,
        class: "check".to_string(),
        prompt_tokens: 100,
        output_tokens: 10,
        prefix: 0,
        deadline: Duration::from_secs(30),
        first_token_goal: None,
        allowed: Arc::new(vec!["engine-1".to_string()]),
    }
}

fn dispatched(actions: &[PolicyAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            PolicyAction::Dispatch { work, .. } => Some(*work),
            _ => None,
        })
        .collect()
}

#[test]
fn a_higher_tier_gets_the_next_slot() {
    let mut policy = policy(1);
    policy.arrive(Duration::ZERO, item(1, 1));
    policy.arrive(Duration::ZERO, item(2, 1));
    policy.arrive(Duration::ZERO, item(3, 0));

    let actions = policy.record_end(Duration::from_secs(1), 1, WorkOutcome::Finished);

    assert_eq!(dispatched(&actions), [3]);
}

#[test]
fn work_that_cannot_meet_its_deadline_is_refused_at_arrival() {
    let mut policy = policy(1);
    let mut late = item(1, 0);
    late.deadline = Duration::from_millis(10);

    let actions = policy.arrive(Duration::ZERO, late);

    assert!(matches!(
        actions[..],
        [PolicyAction::Refuse {
            work: 1,
            kind: ErrorKind::Overloaded,
            ..
        }]
    ));
}
