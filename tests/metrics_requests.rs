//! Metrics as exported to operators, and the counting of log lines.

use std::sync::Arc;
use std::time::Duration;

use cardamomgw::errors::ErrorKind;
use cardamomgw::errors::RequestOutcome;
use cardamomgw::logs::StateChange;
use cardamomgw::logs::StateLog;
use cardamomgw::metrics::PrefillWaste;
use cardamomgw::metrics::RefusedPeer;
use cardamomgw::metrics::RequestMetrics;
use cardamomgw::settings::LogLevel;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;

fn open_metrics() -> Arc<RequestMetrics> {
    RequestMetrics::open().expect("the metrics open")
}

fn text(metrics: &RequestMetrics) -> String {
    metrics.text().expect("the text is written")
}

/// Returns the value of the only line that contains all of `parts`.
fn value(text: &str, parts: &[&str]) -> f64 {
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#') && parts.iter().all(|part| line.contains(part)))
        .collect();
    assert_eq!(lines.len(), 1, "{parts:?} in {text}");
    let number = lines[0].rsplit(' ').next().expect("a line has a value");
    number.parse().expect("the value is a number")
}

#[test]
fn histograms_are_labelled_by_tier_class_and_account() {
    let metrics = open_metrics();
    let series = metrics.series(0, "weather-check", "dispatch-north");

    series.record_queue_time(Duration::from_millis(3));
    series.record_first_token(Duration::from_millis(1200));
    series.record_token_gap(Duration::from_millis(78));
    series.record_token_gap(Duration::from_millis(79));
    series.record_answer(RequestOutcome::Done, Duration::from_secs(2), true);

    let text = text(&metrics);
    let labels = [
        "account=\"dispatch-north\"",
        "class=\"weather-check\"",
        "tier=\"0\"",
    ];
    let of = |name: &str, more: &str| value(&text, &[&labels[..], &[name, more]].concat());
    assert_eq!(
        of("cardamomgw_queue_time_seconds_bucket", "le=\"0.005\""),
        1.0
    );
    assert_eq!(
        of("cardamomgw_queue_time_seconds_bucket", "le=\"0.001\""),
        0.0
    );
    assert_eq!(
        of("cardamomgw_first_token_time_seconds_bucket", "le=\"1.2\""),
        1.0
    );
    assert_eq!(
        of("cardamomgw_token_gap_seconds_bucket", "le=\"0.078\""),
        1.0
    );
    assert_eq!(of("cardamomgw_token_gap_seconds_count", ""), 2.0);
    assert_eq!(of("cardamomgw_whole_time_seconds_sum", ""), 2.0);
}

#[test]
fn answers_are_counted_by_outcome_and_by_whether_they_were_in_time() {
    let metrics = open_metrics();
    let series = metrics.series(1, "cargo-answer", "crews");

    series.record_answer(RequestOutcome::Done, Duration::ZERO, true);
    series.record_answer(RequestOutcome::Done, Duration::ZERO, false);
    series.record_answer(RequestOutcome::NotRun, Duration::ZERO, true);
    series.record_answer(RequestOutcome::Unknown, Duration::ZERO, false);

    let text = text(&metrics);
    for (outcome, in_time) in [
        ("done", "true"),
        ("done", "false"),
        ("not-run", "false"),
        ("unknown", "false"),
    ] {
        let outcome = format!("outcome=\"{outcome}\"");
        let in_time = format!("in_time=\"{in_time}\"");
        assert_eq!(
            value(&text, &["cardamomgw_answers_total", &outcome, &in_time]),
            1.0
        );
    }
}

#[test]
fn one_series_is_created_per_tier_class_and_account() {
    let metrics = open_metrics();

    let first = metrics.series(1, "cargo-answer", "crews");
    let again = metrics.series(1, "cargo-answer", "crews");
    let other = metrics.series(2, "cargo-answer", "crews");

    assert!(Arc::ptr_eq(&first, &again));
    assert!(!Arc::ptr_eq(&first, &other));
}

#[test]
fn state_and_faults_are_counted() {
    let metrics = open_metrics();

    metrics.count_error(ErrorKind::Overloaded, Some(2));
    metrics.count_error(ErrorKind::UnknownAccount, None);
    metrics.count_wasted_prefill(PrefillWaste::TargetLost, 1200);
    metrics.count_wasted_prefill(PrefillWaste::TargetLost, 300);
    metrics.count_refused_peer(RefusedPeer::Version);
    metrics.count_refused_configuration();
    metrics.set_waiting(1, 7);
    metrics.set_waiting(1, 4);
    metrics.set_running(0, 2);
    metrics.set_fleet_version(17);

    let text = text(&metrics);
    let of = |parts: &[&str]| value(&text, parts);
    assert_eq!(
        of(&[
            "cardamomgw_errors_total",
            "kind=\"overloaded\"",
            "tier=\"2\""
        ]),
        1.0
    );
    assert_eq!(
        of(&[
            "cardamomgw_errors_total",
            "unknown-account",
            "tier=\"none\""
        ]),
        1.0
    );
    assert_eq!(
        of(&["cardamomgw_wasted_prefill_tokens_total", "target-lost"]),
        1500.0
    );
    assert_eq!(
        of(&["cardamomgw_refused_peers_total", "reason=\"version\""]),
        1.0
    );
    assert_eq!(of(&["cardamomgw_refused_configurations_total"]), 1.0);
    assert_eq!(of(&["cardamomgw_waiting_requests", "tier=\"1\""]), 4.0);
    assert_eq!(of(&["cardamomgw_running_requests", "tier=\"0\""]), 2.0);
    assert_eq!(of(&["cardamomgw_configuration_version"]), 17.0);
}

#[test]
fn a_log_line_is_json_and_is_counted_also_when_it_is_not_written() {
    let metrics = open_metrics();
    let sink = WriteSink::builder()
        .target(Vec::new())
        .formatter(JsonFormatter::new())
        .build_arc()
        .expect("the sink is built");
    let log = StateLog::open_with_sink(LogLevel::Warn, Arc::clone(&metrics), sink.clone())
        .expect("the log opens");

    log.write(&StateChange::Ready);
    log.write(&StateChange::PeerLost {
        host: String::from("entry-2"),
        reason: String::from("no answer to \"PING\"\nin 2 s"),
    });

    let written = String::from_utf8(sink.clone_target()).unwrap();
    let lines: Vec<&str> = written.lines().collect();
    assert_eq!(lines.len(), 1, "{written}");
    let line: serde_json::Value = serde_json::from_str(lines[0]).unwrap();
    assert_eq!(line["level"], "warn");
    assert_eq!(line["kv"]["change"]["event"], "peer-lost");
    assert_eq!(line["kv"]["change"]["host"], "entry-2");
    let text = text(&metrics);
    assert_eq!(value(&text, &["cardamomgw_log_lines_total", "info"]), 1.0);
    assert_eq!(value(&text, &["cardamomgw_log_lines_total", "warn"]), 1.0);
}

/// A fleet with very many accounts would create more series than a small host can hold and
/// export. The series beyond the limit share one, and no record is lost.
#[test]
fn series_beyond_the_limit_are_counted_together() {
    let metrics = open_metrics();

    for index in 0..1002 {
        let series = metrics.series(0, "cargo-answer", &format!("account-{index}"));
        series.record_answer(RequestOutcome::Done, Duration::ZERO, true);
    }

    let text = text(&metrics);
    let count = "cardamomgw_whole_time_seconds_count";
    let overflow = value(&text, &[count, "otel_metric_overflow=\"true\""]);
    let own = text
        .lines()
        .filter(|line| line.starts_with(count) && line.contains("account="))
        .count();
    assert!(overflow >= 2.0);
    assert_eq!(own as f64 + overflow, 1002.0);
}
