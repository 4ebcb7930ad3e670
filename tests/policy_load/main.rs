//! The policy's decisions under load, on one host and on pairs of hosts, in virtual time.

mod policy_bench;
mod policy_shed;

use std::time::Duration;

use cardamomgw::errors::ErrorKind;
use cardamomgw::policy::PolicyAction;
use cardamomgw::policy::WorkOutcome;
use policy_bench::PolicyBench;
use policy_bench::WorkShape;
use policy_bench::refusals;

const SECOND: Duration = Duration::from_secs(1);

fn long(account: &str) -> WorkShape {
    WorkShape {
        tier: 2,
        account: account.to_string(),
        prompt_tokens: 4_000,
        output_tokens: 3_000,
        deadline: Duration::from_secs(3_000),
    }
}

fn brief(tier: u8) -> WorkShape {
    WorkShape {
        tier,
        account: "account-1".to_string(),
        prompt_tokens: 100,
        output_tokens: 20,
        deadline: Duration::from_secs(5),
    }
}

/// Long work fills every slot that it may use, then urgent work arrives. It must not wait for
/// long work to end, so some slots are reserved.
#[test]
fn urgent_work_finds_a_slot_while_long_work_saturates_the_engines() {
    let mut bench = PolicyBench::new(6, 4);
    for _ in 0..60 {
        bench.arrive(long("account-1"));
    }

    let actions = bench.arrive(brief(0));

    assert!(matches!(actions[..], [PolicyAction::Dispatch { .. }]));
}

/// One account sends 40 requests, another sends one. In order of arrival, the small account
/// would wait for all work of the large one.
#[test]
fn a_small_account_does_not_wait_behind_a_large_one() {
    let mut bench = PolicyBench::new(1, 4);
    for _ in 0..40 {
        bench.arrive(long("large"));
    }
    let small = bench.next_work();
    bench.arrive(long("small"));

    bench.now += 20 * SECOND;
    let dispatched = bench.end_oldest(WorkOutcome::Finished);

    assert_eq!(dispatched, [small]);
}

/// Shorter work of the same account goes first, but long work must not starve: work that has
/// reached the aging threshold goes before newer and shorter work.
#[test]
fn long_work_is_overtaken_only_until_it_has_aged() {
    let mut bench = PolicyBench::new(1, 2);
    bench.arrive(long("account-1"));
    let aged = bench.next_work();
    bench.arrive(long("account-1"));
    bench.now += 11 * SECOND;
    for _ in 0..5 {
        let mut shape = long("account-1");
        shape.output_tokens = 2_000;
        bench.arrive(shape);
    }

    let dispatched = bench.end_oldest(WorkOutcome::Finished);

    assert_eq!(dispatched, [aged]);
}

#[test]
fn a_higher_tier_goes_first_regardless_of_its_accounts_usage() {
    let mut bench = PolicyBench::new(1, 2);
    for _ in 0..6 {
        bench.arrive(long("account-2"));
    }
    let mut shape = long("account-1");
    shape.tier = 1;
    let higher = bench.next_work();
    bench.arrive(shape);

    let dispatched = bench.end_oldest(WorkOutcome::Finished);

    assert_eq!(dispatched, [higher]);
}

/// In a burst of far more urgent work than can meet its deadline, the excess is refused at
/// arrival and not near its deadline, with jittered advice, so that the callers do not return as
/// the next burst.
#[test]
fn a_burst_is_refused_at_arrival_with_jittered_retry_advice() {
    let mut bench = PolicyBench::new(1, 4);

    let mut refused = Vec::new();
    for _ in 0..400 {
        refused.extend(refusals(&bench.arrive(brief(0))));
    }

    assert!(refused.len() > 100, "{} refused", refused.len());
    assert!(
        refused
            .iter()
            .all(|(_, kind, _)| *kind == ErrorKind::Overloaded)
    );
    let mut advice: Vec<Duration> = refused.iter().map(|(_, _, advice)| *advice).collect();
    advice.sort();
    advice.dedup();
    assert!(advice.len() > 50, "{} times", advice.len());
    assert!(advice[0] >= Duration::from_millis(100));
}

/// The queue is full of lower work when urgent work arrives: lower work is refused in its place,
/// and no further work of its tier is admitted for a while.
#[test]
fn urgent_work_displaces_lower_work_and_sheds_its_tier() {
    let mut bench = PolicyBench::with_queue(1, 2, 10);
    for _ in 0..12 {
        bench.arrive(long("account-1"));
    }
    bench.arrive(brief(0));
    let mut patient = brief(0);
    patient.deadline = 600 * SECOND;

    let displaced = refusals(&bench.arrive(patient));
    let later = refusals(&bench.arrive(long("account-1")));

    assert_eq!(displaced.len(), 1);
    assert!(
        displaced[0].0 <= 12,
        "work {} was displaced",
        displaced[0].0
    );
    assert_eq!(later.len(), 1);
}

/// One host must refuse urgent work while another still admits lower work. The digest between
/// hosts carries the shed level, so the other host stops as well.
#[test]
fn a_peer_sheds_lower_work_after_a_digest_with_refused_urgent_work() {
    let mut busy = PolicyBench::in_cell("entry-1", 1, 4);
    let mut idle = PolicyBench::in_cell("entry-2", 1, 4);
    let refused = (0..400)
        .map(|_| refusals(&busy.arrive(brief(0))).len())
        .sum::<usize>();
    let before = refusals(&idle.arrive(long("account-1")));

    let digest = busy.policy.digest(busy.now);
    idle.policy
        .apply_peer_digest(idle.now, &"entry-1".to_string(), digest);
    let after = refusals(&idle.arrive(long("account-1")));
    idle.now += 3 * SECOND;
    let reopened = refusals(&idle.arrive(long("account-1")));

    assert!(refused > 0);
    assert_eq!((before.len(), after.len(), reopened.len()), (0, 1, 0));
}

/// Urgent work that finds no slot is forwarded to a peer with free slots before it is
/// refused.
#[test]
fn urgent_work_goes_to_a_peer_with_free_slots_before_it_is_refused() {
    let mut busy = PolicyBench::in_cell("entry-1", 1, 4);
    let mut idle = PolicyBench::in_cell("entry-2", 1, 4);
    let digest = idle.policy.digest(idle.now);
    busy.policy
        .apply_peer_digest(busy.now, &"entry-2".to_string(), digest);

    let actions: Vec<PolicyAction> = (0..6).flat_map(|_| busy.arrive(brief(0))).collect();

    let handed = actions
        .iter()
        .any(|action| matches!(action, PolicyAction::Forward { host, .. } if host == "entry-2"));
    assert!(handed, "{actions:?}");
    assert!(refusals(&actions).is_empty());
}

/// A leaving host refuses each waiting request or hands it over at once.
#[test]
fn a_leaving_host_keeps_no_work_queued() {
    let mut bench = PolicyBench::new(1, 2);
    for _ in 0..6 {
        bench.arrive(long("account-1"));
    }

    let actions = bench.policy.drain(bench.now);

    assert_eq!(actions.len(), 5);
    assert!(bench.policy.waiting().is_empty());
    let kinds = refusals(&actions);
    assert!(
        kinds
            .iter()
            .all(|(_, kind, _)| *kind == ErrorKind::HostLeaving)
    );
}

/// A waiting request that can no longer meet its deadline is refused at once, and not when the
/// deadline passes.
#[test]
fn unattainable_work_is_refused_before_its_deadline() {
    let mut bench = PolicyBench::new(1, 2);
    bench.arrive(long("account-1"));
    let mut shape = long("account-1");
    shape.deadline = 150 * SECOND;
    let admitted = bench.arrive(shape);
    assert!(refusals(&admitted).is_empty());

    bench.now += 100 * SECOND;
    let refused = refusals(&bench.policy.tick(bench.now));

    assert_eq!(refused.len(), 1);
}

/// Work of which nothing was sent to the target is retried at another one.
#[test]
fn work_that_was_not_sent_goes_to_another_target() {
    let mut bench = PolicyBench::new(2, 4);
    bench.arrive(brief(0));
    let first = bench.last_target();

    bench.end_oldest(WorkOutcome::NotSent);

    assert_ne!(bench.last_target(), first);
}

/// An engine becomes ten times slower while its reports still look normal. Its streams show it:
/// within two seconds new work goes elsewhere. After recovery the engine is used again.
#[test]
fn a_slow_engine_is_avoided_within_two_seconds_and_used_again_later() {
    let mut bench = PolicyBench::new(3, 8);
    bench.run_streams(10 * SECOND, "", 1);
    let before = bench.dispatched_to("engine-1");

    bench.run_streams(2 * SECOND, "engine-1", 10);
    let at_two_seconds = bench.dispatched_to("engine-1");
    bench.run_streams(10 * SECOND, "engine-1", 10);
    let slow = bench.dispatched_to("engine-1") - at_two_seconds;
    bench.run_streams(4 * SECOND, "", 1);
    let recovered = bench.dispatched_to("engine-1");
    bench.run_streams(10 * SECOND, "", 1);
    let back = bench.dispatched_to("engine-1") - recovered;

    assert!(before > 10, "{before} before");
    assert!(slow <= 6, "{slow} while slow");
    assert!(back > 10, "{back} after");
}
