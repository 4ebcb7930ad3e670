//! Checks the operators' page against the code: kinds of error and names of metrics.

use std::time::Duration;

use cardamomgw::errors::ANSWER_TABLE;
use cardamomgw::errors::ErrorKind;
use cardamomgw::errors::RequestOutcome;
use cardamomgw::metrics::PrefillWaste;
use cardamomgw::metrics::RefusedPeer;
use cardamomgw::metrics::RequestMetrics;
use cardamomgw::selector::LabelSelector;

const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");

#[test]
fn the_page_has_one_row_for_each_kind_as_the_table_has_it() {
    for row in ANSWER_TABLE {
        let expected = format!("| `{}` | {} | `{}` |", row.kind, row.status, row.outcome);
        assert_eq!(OPERATIONS.matches(&expected).count(), 1, "{expected}");
    }
}

#[test]
fn the_page_names_exactly_the_metrics_that_are_shown() {
    let text = full_text();
    let mut shown: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next())
        .collect();
    let mut named: Vec<&str> = OPERATIONS
        .lines()
        .filter_map(|line| line.strip_prefix("| `cardamomgw_"))
        .filter_map(|line| line.split('`').next())
        .collect();
    shown.sort_unstable();
    named.sort_unstable();

    let shown: Vec<&str> = shown
        .into_iter()
        .map(|name| name.trim_start_matches("cardamomgw_"))
        .collect();

    assert_eq!(named, shown);
}

#[test]
fn the_conditions_on_the_page_are_well_formed() {
    let (_, section) = OPERATIONS.split_once("| Condition |").unwrap();
    let (table, _) = section.split_once("\n\n").unwrap();
    let conditions: Vec<&str> = table
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .collect();

    assert_eq!(conditions.len(), 6);
    for condition in conditions {
        assert!(condition.parse::<LabelSelector>().is_ok(), "{condition}");
    }
}

/// Uses every instrument, since one without a value is not exported.
fn full_text() -> String {
    let metrics = RequestMetrics::open().expect("the metrics open");
    let series = metrics.series(0, "weather-check", "crews");
    series.record_queue_time(Duration::ZERO);
    series.record_first_token(Duration::ZERO);
    series.record_token_gap(Duration::ZERO);
    series.record_answer(RequestOutcome::Done, Duration::ZERO, true);
    series.add_prefill_tokens(1);
    metrics.count_error(ErrorKind::Internal, None);
    metrics.count_wasted_prefill(PrefillWaste::CallerLeft, 1);
    metrics.count_refused_caller();
    metrics.set_request_memory(1, 1);
    metrics.set_callers(1, 1);
    metrics.count_refused_peer(RefusedPeer::Malformed);
    metrics.count_refused_configuration();
    metrics.count_log_line("info");
    metrics.set_waiting(0, 1);
    metrics.set_running(0, 1);
    metrics.set_fleet_version(1);
    metrics.text().expect("the text is written")
}
