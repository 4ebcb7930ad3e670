//! Both deployments under each pattern of load: what callers get.
//!
//! The traces are shortened for CI; docs/POLICY.md has the full ones.

use std::time::Duration;

use cardamomgw::replay::GroupReport;
use cardamomgw::replay::LoadPattern;
use cardamomgw::replay::PolicyKind;
use cardamomgw::replay::PolicyReport;
use cardamomgw::replay::ReplayOptions;
use cardamomgw::replay::ReplayReport;
use cardamomgw::replay::ReplayTrace;
use cardamomgw::replay::TraceDeployment;
use cardamomgw::replay::generate_trace;
use cardamomgw::replay::replay_trace;

const DEPLOYMENTS: [TraceDeployment; 2] = [TraceDeployment::Harmattan, TraceDeployment::Vaalkloof];
const LENGTH: Duration = Duration::from_secs(45);

fn trace(deployment: TraceDeployment, pattern: LoadPattern) -> ReplayTrace {
    generate_trace(deployment, pattern, LENGTH, 1)
}

fn play_with(trace: &ReplayTrace, policies: &[PolicyKind]) -> ReplayReport {
    let options = ReplayOptions {
        policies: policies.to_vec(),
        seed: 1,
    };
    replay_trace(trace, &options)
}

fn current(report: &ReplayReport) -> &PolicyReport {
    report.policy(PolicyKind::Current).expect("played")
}

fn top(report: &PolicyReport) -> &GroupReport {
    report.tier(0).expect("in every trace")
}

/// Plays a pattern on both deployments and checks what holds in all of them:
/// the top tier keeps its goodput, nobody waits long for a refusal of urgent
/// work, and useful work keeps near the bound.
fn check_pattern(pattern: LoadPattern) {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, pattern);

        let report = play_with(&trace, &[PolicyKind::Current]);

        let policy = current(&report);
        let name = &report.trace;
        assert!(top(policy).goodput() >= 0.99, "{name}: {:?}", top(policy));
        assert!(policy.fairness >= 0.9, "{name}: {}", policy.fairness);
        let useful = policy.useful_seconds / report.bound_seconds;
        assert!(useful >= 0.9, "{name}: {useful} of the bound");
    }
}

#[test]
fn steady_load_is_served_whole() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::Steady);

        let report = play_with(&trace, &[PolicyKind::Current]);

        for tier in &current(&report).tiers {
            assert_eq!(tier.useful, tier.offered, "{}: {tier:?}", report.trace);
        }
    }
}

#[test]
fn a_burst_at_four_times_the_capacity_leaves_the_top_tier_whole() {
    check_pattern(LoadPattern::Burst);
}

#[test]
fn two_large_accounts_and_a_hot_prefix_leave_the_others_their_part() {
    check_pattern(LoadPattern::HotAccounts);
}

#[test]
fn a_slow_engine_costs_next_to_nothing() {
    check_pattern(LoadPattern::SlowEngine);
}

#[test]
fn saturation_leaves_the_top_tier_whole() {
    check_pattern(LoadPattern::Saturation);
}

#[test]
fn a_partition_costs_nothing() {
    check_pattern(LoadPattern::Partition);
}

#[test]
fn late_reports_cost_nothing() {
    check_pattern(LoadPattern::LateReports);
}

/// Half the hosts die with what they hold. What arrives afterwards is served:
/// the other half takes over the shares once the list has dropped the dead.
#[test]
fn losing_half_the_hosts_loses_only_what_they_held() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::HalfLost);

        let report = play_with(&trace, &[PolicyKind::Current]);

        let policy = current(&report);
        assert!(top(policy).goodput() >= 0.99, "{:?}", top(policy));
        for tier in &policy.tiers {
            assert_eq!(tier.useful + tier.lost, tier.offered, "{tier:?}");
        }
    }
}

/// Long work alone saturates the engines. Urgent checks must not wait behind
/// it: their first token takes at most half as long again as when alone.
#[test]
fn urgent_work_hardly_notices_that_long_work_saturates_the_fleet() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::LongAmongShort);
        let alone = trace.filtered(|arrival| arrival.tier == 0);

        let loaded = play_with(&trace, &[PolicyKind::Current]);
        let idle = play_with(&alone, &[PolicyKind::Current]);

        let p99 = |report: &ReplayReport| current(report).classes[0].first_token_ms.p99;
        let (loaded, idle) = (p99(&loaded), p99(&idle));
        assert!(loaded <= 1.5 * idle, "{loaded} ms, alone {idle} ms");
    }
}

/// Prefixes go to their homes, so far fewer prompt tokens are read again than
/// with the better baseline on the same trace.
#[test]
fn steady_load_wastes_at_most_half_of_the_best_baseline() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::Steady);
        let kinds = [
            PolicyKind::Current,
            PolicyKind::RoundRobin,
            PolicyKind::LeastLoad,
        ];

        let report = play_with(&trace, &kinds);

        let waste = |kind| report.policy(kind).unwrap().waste.total();
        let best = waste(PolicyKind::RoundRobin).min(waste(PolicyKind::LeastLoad));
        let own = waste(PolicyKind::Current);
        assert!(2 * own <= best, "{}: {own} of {best}", report.trace);
    }
}

/// The top tier is served at least as well as by every baseline.
#[test]
fn no_baseline_serves_the_top_tier_better_in_a_burst() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::Burst);

        let report = play_with(&trace, &PolicyKind::ALL);

        let own = top(current(&report));
        for policy in &report.policies {
            assert!(own.useful >= top(policy).useful, "{}", policy.policy);
        }
    }
}
