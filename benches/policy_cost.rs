//! Cost of dispatch decisions: time of a tick, of a digest, and of an arrival with its end,
//! by the number of targets and waiting requests.
//!
//! Run with `cargo bench --bench policy_cost`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::policy::DispatchPolicy;
use cardamomgw::policy::PolicySettings;
use cardamomgw::policy::TargetFacts;
use cardamomgw::policy::WorkItem;
use cardamomgw::policy::WorkOutcome;

const SLOTS: u32 = 8;
const ITERATIONS: u32 = 200;
/// Long enough that no request expires during the benchmark.
const DEADLINE: Duration = Duration::from_secs(86_400);

fn main() {
    for targets in [15, 60, 150] {
        for waiting in [0, 100, 1_000] {
            measure(targets, waiting);
        }
    }
}

fn measure(targets: usize, waiting: u64) {
    let now = Duration::from_secs(1);
    let mut policy = policy(targets);
    let allowed = Arc::new(names(targets));
    // Fills all slots, then the queue.
    let slots = targets as u64 * u64::from(SLOTS);
    let fill = if waiting == 0 { 0 } else { slots + waiting };
    for work in 0..fill {
        black_box(policy.arrive(now, work_item(work, &allowed)));
    }
    let queued: u32 = policy.waiting().values().sum();
    let tick = mean_time(|_| {
        black_box(policy.tick(now));
    });
    let digest = mean_time(|_| {
        black_box(policy.digest(now));
    });
    let request = mean_time(|index| {
        let work = 1_000_000 + u64::from(index);
        black_box(policy.arrive(now, work_item(work, &allowed)));
        black_box(policy.withdraw(now, work));
        black_box(policy.record_end(now, work, WorkOutcome::Finished));
    });
    println!(
        "{targets:3} targets, {queued:4} waiting: tick {tick:.1?}, digest {digest:.1?}, \
         arrival and end {request:.1?}"
    );
}

fn mean_time(mut step: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    for index in 0..ITERATIONS {
        step(index);
    }
    start.elapsed() / ITERATIONS
}

fn names(targets: usize) -> Vec<String> {
    (0..targets)
        .map(|index| format!("engine-{index:03}"))
        .collect()
}

fn policy(targets: usize) -> DispatchPolicy {
    let facts = names(targets).into_iter().map(|name| TargetFacts {
        name,
        kind: TargetKind::Engine,
        slots: SLOTS,
        state: TargetState::Live,
        availability_zone: "zone-a".to_owned(),
    });
    let mut policy = DispatchPolicy::new("entry-1".to_owned(), PolicySettings::default());
    policy.set_targets(Duration::ZERO, facts.collect());
    policy.set_hosts(Duration::ZERO, vec!["entry-1".to_owned()]);
    policy
}

fn work_item(work: u64, allowed: &Arc<Vec<String>>) -> WorkItem {
    WorkItem {
        work,
        tier: 1,
        account: format!("account-{}", work % 50),
        weight: 1,
        class: "briefing".to_owned(),
        prompt_tokens: 2_000,
        output_tokens: 230,
        prefix: work,
        deadline: DEADLINE,
        first_token_goal: None,
        allowed: allowed.clone(),
    }
}
