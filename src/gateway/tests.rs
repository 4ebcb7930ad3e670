//! Tests of the check that decides which answers are passed on between hosts.

use super::join_filter::is_valid_for_any_attempt;
use crate::http::AnswerHead;

fn head(outcome: &str) -> AnswerHead {
    AnswerHead {
        status: 200,
        headers: [("request-outcome".to_string(), outcome.to_string())]
            .into_iter()
            .collect(),
        length: Some(0),
    }
}

/// Guards against a false `not-run`: attempt 2 finds a claim granted to attempt 1 and asks
/// its holder, which answers `not-run` for attempt 1. Passed on, it would be taken for
/// attempt 2, which was also sent to a third host and still runs there.
#[test]
fn not_run_of_a_holder_is_never_passed_on() {
    assert!(!is_valid_for_any_attempt(&head("not-run")));
    assert!(is_valid_for_any_attempt(&head("done")));
    assert!(is_valid_for_any_attempt(&head("unknown")));
}
