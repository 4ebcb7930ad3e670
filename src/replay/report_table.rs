//! Formats the report of a replay as a text table.

use std::fmt::Write;

use super::GroupReport;
use super::PolicyReport;
use super::ReplayReport;

/// Formats the report as a text table.
pub fn report_table(report: &ReplayReport) -> String {
    let mut text = String::new();
    let bound = report.bound_seconds;
    // Writing to a String never fails.
    let _ = writeln!(
        text,
        "trace {}, seed {}; offline bound {bound:.0} engine seconds",
        report.trace, report.seed
    );
    for policy in &report.policies {
        write_policy(&mut text, policy, bound);
    }
    text
}

fn write_policy(text: &mut String, policy: &PolicyReport, bound: f64) {
    let part = 100.0 * policy.useful_seconds / bound.max(f64::MIN_POSITIVE);
    let _ = writeln!(
        text,
        "\n{}: useful {:.0} engine seconds ({part:.1}% of the bound), fairness {:.3}",
        policy.policy, policy.useful_seconds, policy.fairness
    );
    let _ = writeln!(
        text,
        "  {:<20} {:>7} {:>7} {:>6} {:>7} {:>5} {:>6} | first token ms {:>7} {:>8} {:>8} | refused after ms p50 {:>8} {:>8}",
        "",
        "offered",
        "useful",
        "late",
        "refused",
        "lost",
        "moved",
        "p50",
        "p95",
        "p99",
        "p95",
        "p99"
    );
    for group in policy.tiers.iter().chain(&policy.classes) {
        write_group(text, group);
    }
    let waste = &policy.waste;
    let _ = writeln!(
        text,
        "  prefill tokens {}: wasted {} (repeated {}, late {}, lost {})",
        waste.computed,
        waste.total(),
        waste.repeated,
        waste.late,
        waste.lost
    );
}

fn write_group(text: &mut String, group: &GroupReport) {
    let first = &group.first_token_ms;
    let _ = writeln!(
        text,
        "  {:<20} {:>7} {:>7} {:>6} {:>7} {:>5} {:>6} | {:>22.1} {:>8.1} {:>8.1} | {:>20.1} {:>8.1} {:>8.1}",
        group.name,
        group.offered,
        group.useful,
        group.late,
        group.refused,
        group.lost,
        group.handed_over,
        first.p50,
        first.p95,
        first.p99,
        group.refusal_ms.p50,
        group.refusal_ms.p95,
        group.refusal_ms.p99
    );
}
