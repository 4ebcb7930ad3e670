//! The results of the current policy for both deployments under each load pattern.
//!
//! The traces are shortened for CI; docs/POLICY.md has the results of the full ones.

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

fn replay_with(trace: &ReplayTrace, policies: &[PolicyKind]) -> ReplayReport {
    let options = ReplayOptions {
        policies: policies.to_vec(),
        seed: 1,
    };
    replay_trace(trace, &options)
}

fn current_report(report: &ReplayReport) -> &PolicyReport {
    report
        .policy(PolicyKind::Current)
        .expect("report of the current policy")
}

fn top_tier(report: &PolicyReport) -> &GroupReport {
    report.tier(0).expect("tier 0 in every trace")
}

/// Replays a pattern for both deployments and checks the thresholds common to the
/// patterns: goodput of the top tier, fairness among accounts, and useful work
/// relative to the offline bound.
fn check_pattern(pattern: LoadPattern) {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, pattern);

        let report = replay_with(&trace, &[PolicyKind::Current]);

        let policy = current_report(&report);
        let name = &report.trace;
        assert!(
            top_tier(policy).goodput() >= 0.99,
            "{name}: {:?}",
            top_tier(policy)
        );
        assert!(policy.fairness >= 0.9, "{name}: {}", policy.fairness);
        let useful = policy.useful_seconds / report.bound_seconds;
        assert!(useful >= 0.9, "{name}: {useful} of the bound");
    }
}

#[test]
fn steady_load_is_served_completely() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::Steady);

        let report = replay_with(&trace, &[PolicyKind::Current]);

        for tier in &current_report(&report).tiers {
            assert_eq!(tier.useful, tier.offered, "{}: {tier:?}", report.trace);
        }
    }
}

#[test]
fn a_burst_at_four_times_the_capacity_does_not_affect_the_top_tier() {
    check_pattern(LoadPattern::Burst);
}

#[test]
fn two_large_accounts_and_a_hot_prefix_leave_the_others_their_share() {
    check_pattern(LoadPattern::HotAccounts);
}

#[test]
fn a_slow_engine_hardly_reduces_useful_work() {
    check_pattern(LoadPattern::SlowEngine);
}

#[test]
fn saturation_does_not_affect_the_top_tier() {
    check_pattern(LoadPattern::Saturation);
}

#[test]
fn a_partition_does_not_reduce_useful_work() {
    check_pattern(LoadPattern::Partition);
}

#[test]
fn late_reports_do_not_reduce_useful_work() {
    check_pattern(LoadPattern::LateReports);
}

/// Half of the hosts fail, and the requests that they hold are lost. Later requests are
/// served: the other half takes over their slot shares once the platform's list no longer
/// contains the failed hosts.
#[test]
fn losing_half_the_hosts_loses_only_their_requests() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::HalfLost);

        let report = replay_with(&trace, &[PolicyKind::Current]);

        let policy = current_report(&report);
        assert!(top_tier(policy).goodput() >= 0.99, "{:?}", top_tier(policy));
        for tier in &policy.tiers {
            assert_eq!(tier.useful + tier.lost, tier.offered, "{tier:?}");
        }
    }
}

/// Long requests alone saturate the engines. Urgent ones must not wait behind them: their
/// time to the first token is at most 1.5 times that without the long requests.
#[test]
fn long_work_that_saturates_the_fleet_hardly_delays_urgent_work() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::LongAmongShort);
        let alone = trace.filtered(|arrival| arrival.tier == 0);

        let loaded = replay_with(&trace, &[PolicyKind::Current]);
        let idle = replay_with(&alone, &[PolicyKind::Current]);

        let p99 = |report: &ReplayReport| current_report(report).classes[0].first_token_ms.p99;
        let (loaded, idle) = (p99(&loaded), p99(&idle));
        assert!(loaded <= 1.5 * idle, "{loaded} ms, alone {idle} ms");
    }
}

/// Requests with the same prefix go to the same engines, so the prefill of at most half as
/// many prompt tokens is wasted as with the better baseline on the same trace.
#[test]
fn steady_load_wastes_at_most_half_of_the_best_baseline() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::Steady);
        let kinds = [
            PolicyKind::Current,
            PolicyKind::RoundRobin,
            PolicyKind::LeastLoad,
        ];

        let report = replay_with(&trace, &kinds);

        let waste = |kind| report.policy(kind).unwrap().waste.total();
        let best = waste(PolicyKind::RoundRobin).min(waste(PolicyKind::LeastLoad));
        let own = waste(PolicyKind::Current);
        assert!(2 * own <= best, "{}: {own} of {best}", report.trace);
    }
}

/// At least as many requests of the top tier are useful as with every baseline.
#[test]
fn no_baseline_serves_the_top_tier_better_in_a_burst() {
    for deployment in DEPLOYMENTS {
        let trace = trace(deployment, LoadPattern::Burst);

        let report = replay_with(&trace, &PolicyKind::ALL);

        let own = top_tier(current_report(&report));
        for policy in &report.policies {
            assert!(own.useful >= top_tier(policy).useful, "{}", policy.policy);
        }
    }
}
