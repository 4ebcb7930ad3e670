//! Random load: urgent work is not refused while lower work is admitted.

use std::time::Duration;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use cardamomgw::policy::PolicyAction;
use cardamomgw::policy::WorkOutcome;

use super::policy_bench::PolicyBench;
use super::policy_bench::WorkShape;
use super::policy_bench::refusals;

/// How long lower work is shed after a refusal of urgent work.
const HOLD_TIME: Duration = Duration::from_secs(2);

fn shape(tier: u8, output_tokens: u32, deadline: Duration) -> WorkShape {
    WorkShape {
        tier,
        account: format!("account-{}", output_tokens % 3),
        prompt_tokens: 100,
        output_tokens,
        deadline,
    }
}

/// Returns whether the newest work is among the refused.
fn is_refused(bench: &PolicyBench, actions: &[PolicyAction]) -> bool {
    let newest = bench.next_work() - 1;
    let mut refused = refusals(actions).into_iter();
    refused.any(|(work, _, _)| work == newest)
}

fn run_random_load(random: &mut Unstructured<'_>) -> Result<()> {
    let queue = random.int_in_range(1..=20)?;
    let mut bench = PolicyBench::with_queue(2, 3, queue);
    let mut refused_at = None;
    while !random.is_empty() {
        match random.int_in_range(0..=9)? {
            0..=4 => {
                let urgent = shape(0, 20, Duration::from_secs(4));
                let actions = bench.arrive(urgent);
                if is_refused(&bench, &actions) {
                    refused_at = Some(bench.now);
                }
            }
            5 | 6 => {
                let tokens = random.int_in_range(20..=500)?;
                let tier = random.int_in_range(1..=2)?;
                let lower = shape(tier, tokens, Duration::from_secs(100));
                let actions = bench.arrive(lower);
                let shut = refused_at.is_some_and(|at| bench.now < at + HOLD_TIME);
                if shut {
                    assert!(is_refused(&bench, &actions), "tier {tier} was admitted");
                }
            }
            7 => bench.now += Duration::from_millis(random.int_in_range(0..=900)?),
            8 => bench.tick(),
            _ => {
                if bench.has_running() {
                    bench.end_oldest(WorkOutcome::Finished);
                }
            }
        }
    }
    Ok(())
}

/// A seed with which running work made no progress, so the engines seemed too slow for urgent
/// work, which was refused as unattainable. Long work with late deadlines was admitted and kept
/// the engines slow.
#[test]
fn urgent_work_that_seems_unattainable_under_load_sheds_lower_work() {
    arbtest(run_random_load).seed(0x8ca6_7545_0000_00c3);
}

#[test]
fn urgent_work_is_never_refused_while_lower_work_is_admitted() {
    arbtest(run_random_load)
        .size_min(64)
        .size_max(4096)
        .budget_ms(2_000);
}
