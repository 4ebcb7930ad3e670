//! Replays generated traces:
//! `replay_patterns [DEPLOYMENT [PATTERN [SECONDS [SEED [table|own|trace]]]]]`.
//!
//! `own` omits the baseline policies; `trace` prints the traces instead of results.

use std::time::Duration;

use cardamomgw::replay::LoadPattern;
use cardamomgw::replay::PolicyKind;
use cardamomgw::replay::ReplayOptions;
use cardamomgw::replay::ReplayReport;
use cardamomgw::replay::ReplayTrace;
use cardamomgw::replay::TraceDeployment;
use cardamomgw::replay::generate_trace;
use cardamomgw::replay::replay_trace;
use cardamomgw::replay::report_table;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize| arguments.get(index).map_or("all", String::as_str);
    let seconds = argument(2).parse().unwrap_or(120);
    let seed = argument(3).parse().unwrap_or(1);
    for deployment in [TraceDeployment::Harmattan, TraceDeployment::Vaalkloof] {
        for pattern in LoadPattern::ALL {
            let wanted = matches(argument(0), &deployment.to_string());
            if !wanted || !matches(argument(1), &pattern.to_string()) {
                continue;
            }
            let length = Duration::from_secs(seconds);
            let trace = generate_trace(deployment, pattern, length, seed);
            let mut options = ReplayOptions::default();
            if argument(4) == "own" {
                options.policies.truncate(1);
            }
            let report = replay_trace(&trace, &options);
            if argument(4) == "trace" {
                print!("{}", trace.to_json_lines().unwrap_or_default());
                continue;
            }
            print_unloaded(&trace);
            if argument(4) == "table" {
                println!("{}", report_table(&report));
            } else {
                print_summary(&report);
            }
        }
    }
}

/// Prints the time to first token of urgent requests in the absence of other load.
fn print_unloaded(trace: &ReplayTrace) {
    let urgent_only = trace.filtered(|arrival| arrival.tier == 0);
    let options = ReplayOptions {
        policies: vec![PolicyKind::Current],
        ..ReplayOptions::default()
    };
    for policy in &replay_trace(&urgent_only, &options).policies {
        let first = &policy.classes[0].first_token_ms;
        println!("urgent only: first token p99 {:.1} ms", first.p99);
    }
}

fn print_summary(report: &ReplayReport) {
    println!("{}", report.trace);
    for policy in &report.policies {
        let goodput = |tier: u8| {
            let group = policy.tier(tier);
            group.map_or(100.0, |group| 100.0 * group.goodput())
        };
        let urgent = &policy.classes[0];
        let refusals = policy.tiers.iter().map(|tier| tier.refusal_ms.p99);
        println!(
            "  {:<12} goodput {:6.2} {:6.2} {:6.2} | urgent first token {:7.1} {:7.1} {:7.1} | bound {:5.1}% | wasted {:>8} of {:>9} | fair {:.3} | late {:>4} | refusal p99 {:.0}",
            policy.policy.to_string(),
            goodput(0),
            goodput(1),
            goodput(2),
            urgent.first_token_ms.p50,
            urgent.first_token_ms.p95,
            urgent.first_token_ms.p99,
            100.0 * policy.useful_seconds / report.bound_seconds,
            policy.waste.total(),
            policy.waste.computed,
            policy.fairness,
            policy.tiers.iter().map(|tier| tier.late).sum::<usize>(),
            refusals.fold(0.0, f64::max),
        );
    }
}

fn matches(argument: &str, name: &str) -> bool {
    argument == "all" || argument == name
}
