//! The trace format, and the guarantees of a replay: deterministic output, one outcome for
//! each request, and the offline bound.

use std::path::Path;
use std::time::Duration;

use cardamomgw::replay::LoadPattern;
use cardamomgw::replay::PolicyKind;
use cardamomgw::replay::ReplayOptions;
use cardamomgw::replay::ReplayTrace;
use cardamomgw::replay::TraceDeployment;
use cardamomgw::replay::TraceError;
use cardamomgw::replay::generate_trace;
use cardamomgw::replay::jain_index;
use cardamomgw::replay::replay_file;
use cardamomgw::replay::replay_trace;
use cardamomgw::replay::report_table;

fn short_trace(pattern: LoadPattern) -> ReplayTrace {
    generate_trace(
        TraceDeployment::Vaalkloof,
        pattern,
        Duration::from_secs(6),
        7,
    )
}

#[test]
fn trace_is_unchanged_after_writing_and_parsing() {
    let trace = short_trace(LoadPattern::Partition);

    let parsed = ReplayTrace::parse(&trace.to_json_lines().unwrap()).unwrap();

    assert_eq!(parsed, trace);
}

#[test]
fn same_trace_and_seed_give_the_same_bytes() {
    let trace = short_trace(LoadPattern::Burst);
    let options = ReplayOptions::default();

    let first = serde_json::to_string(&replay_trace(&trace, &options)).unwrap();
    let second = serde_json::to_string(&replay_trace(&trace, &options)).unwrap();

    assert_eq!(first, second);
}

#[test]
fn every_request_has_one_outcome_and_no_policy_exceeds_the_bound() {
    let trace = short_trace(LoadPattern::Saturation);

    let report = replay_trace(&trace, &ReplayOptions::default());

    for policy in &report.policies {
        for tier in &policy.tiers {
            let ended = tier.useful + tier.late + tier.refused + tier.lost;
            assert_eq!(ended, tier.offered, "{} {}", policy.policy, tier.name);
        }
        assert!(policy.useful_seconds <= report.bound_seconds + 0.001);
    }
}

#[test]
fn malformed_traces_are_refused_with_the_line_number() {
    let mut lines = short_trace(LoadPattern::Steady).to_json_lines().unwrap();
    lines.push_str("{\"at_us\": \"soon\"}\n");
    let count = lines.lines().count();

    let error = ReplayTrace::parse(&lines).unwrap_err();

    assert!(matches!(error, TraceError::InvalidLine { line, .. } if line == count));
    assert!(matches!(
        ReplayTrace::parse(""),
        Err(TraceError::MissingHeader)
    ));
}

#[test]
fn the_sample_trace_can_be_replayed() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources/sample-trace.jsonl");

    let report = replay_file(&path, &ReplayOptions::default()).unwrap();

    let policy = report.policy(PolicyKind::Current).unwrap();
    assert_eq!(policy.tiers[0].useful, policy.tiers[0].offered);
    assert!(report_table(&report).contains("harmattan steady"));
}

#[test]
fn jain_index_of_equal_and_unequal_values() {
    assert!((jain_index(&[1.0, 1.0, 1.0]) - 1.0).abs() < 1e-9);
    assert!((jain_index(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-9);
}
