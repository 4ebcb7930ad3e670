//! The decisions under load, one host at a time and in pairs, in virtual time.

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

/// Long work fills every slot it can get, then an urgent check arrives. It must
/// not wait until a digest ends, so some slots are kept from long work.
#[test]
fn urgent_work_finds_a_slot_while_long_work_saturates_the_engines() {
    let mut bench = PolicyBench::new(6, 4);
    for _ in 0..60 {
        bench.arrive(long("account-1"));
    }

    let actions = bench.arrive(brief(0));

    assert!(matches!(actions[..], [PolicyAction::Dispatch { .. }]));
}

/// One account sends ten times the work of another. First come first served
/// would make the small one wait behind all of it.
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

/// Short work of the same account goes first, but not for ever: work that has
/// waited for the age bound goes before younger and shorter work.
#[test]
fn long_work_is_passed_by_only_until_it_has_aged() {
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
fn a_higher_tier_goes_first_whatever_its_account_had() {
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

/// A burst: far more urgent work than can be in time. What is too much is
/// refused when it arrives and not near its deadline, with advice that is
/// spread so that the callers do not come back as the next burst.
#[test]
fn a_burst_is_refused_at_arrival_with_spread_advice() {
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

/// The queue is full of lower work when urgent work arrives: a digest is
/// refused in its place, and no further digest is let in for a while.
#[test]
fn urgent_work_displaces_lower_work_and_shuts_its_tier() {
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

/// Two hosts: one must refuse urgent work, the other still lets digests in.
/// The digest between hosts carries the level, so the other stops as well.
#[test]
fn a_peer_that_hears_of_refused_urgent_work_lets_no_lower_work_in() {
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

/// Urgent work that finds no slot goes to a peer that showed free ones before
/// it is ever refused.
#[test]
fn urgent_work_goes_to_a_peer_with_room_before_it_is_refused() {
    let mut busy = PolicyBench::in_cell("entry-1", 1, 4);
    let mut idle = PolicyBench::in_cell("entry-2", 1, 4);
    let digest = idle.policy.digest(idle.now);
    busy.policy
        .apply_peer_digest(busy.now, &"entry-2".to_string(), digest);

    let actions: Vec<PolicyAction> = (0..6).flat_map(|_| busy.arrive(brief(0))).collect();

    let handed = actions
        .iter()
        .any(|action| matches!(action, PolicyAction::HandOver { host, .. } if host == "entry-2"));
    assert!(handed, "{actions:?}");
    assert!(refusals(&actions).is_empty());
}

/// A host that leaves gives each waiting request its answer or a new host now.
#[test]
fn a_leaving_host_keeps_no_work_waiting() {
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

/// A waiting request that no target can finish in time any more is told so
/// then, and not when its deadline comes.
#[test]
fn hopeless_work_is_refused_before_its_deadline() {
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

/// No byte reached the target: the work is tried again, on another one.
#[test]
fn work_that_was_not_sent_goes_to_another_target() {
    let mut bench = PolicyBench::new(2, 4);
    bench.arrive(brief(0));
    let first = bench.last_target();

    bench.end_oldest(WorkOutcome::NotSent);

    assert_ne!(bench.last_target(), first);
}

/// An engine becomes ten times slower and its reports still look well. Its
/// streams show it: within two seconds new work goes elsewhere. When it has
/// recovered the work comes back.
#[test]
fn a_slow_engine_is_left_within_two_seconds_and_comes_back() {
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
