//! Printed output of the demo.

use std::time::Duration;

use standins::CallerAnswer;
use standins::CallerError;

use crate::demo_fleet::DemoFleet;

/// A call and its result.
pub(crate) struct CallRecord {
    /// The request id.
    pub(crate) id: String,
    /// Description of the request.
    pub(crate) label: &'static str,
    /// Priority tier.
    pub(crate) tier: u8,
    /// The host that received the request.
    pub(crate) host: String,
    /// The time from sending the request to the end of the answer.
    pub(crate) elapsed: Duration,
    /// The answer.
    pub(crate) answer: Result<CallerAnswer, CallerError>,
}

/// Prints the heading of a scene.
pub(crate) fn print_heading(number: u32, title: &str) {
    println!("\n{number}. {title}");
}

/// Prints an indented line below a heading.
pub(crate) fn print_line(sentence: &str) {
    println!("   {sentence}");
}

/// Prints calls as a table.
pub(crate) fn print_calls(fleet: &DemoFleet, records: &[CallRecord]) {
    println!(
        "   {:<18}{:<6}{:<10}{:<11}{:>6}  {:<9}{:>10}{:>10}",
        "request", "tier", "host", "ran on", "status", "outcome", "first byte", "last byte"
    );
    for record in records {
        println!(
            "   {}",
            call_line(record, &fleet.executing_target(&record.id))
        );
    }
}

fn call_line(record: &CallRecord, target: &str) -> String {
    let (status, outcome, first) = match &record.answer {
        Ok(answer) => {
            let first = answer.chunk_times.first().copied().unwrap_or_default();
            (
                answer.status.to_string(),
                outcome_text(answer),
                millis(first.max(answer.head_time)),
            )
        }
        Err(error) => ("-".to_owned(), error.to_string(), String::new()),
    };
    format!(
        "{:<18}{:<6}{:<10}{:<11}{:>6}  {:<9}{:>10}{:>10}",
        record.label,
        record.tier,
        record.host,
        target,
        status,
        outcome,
        first,
        millis(record.elapsed),
    )
}

/// Returns the outcome that an answer reports, or `truncated` if it is incomplete.
pub(crate) fn outcome_text(answer: &CallerAnswer) -> String {
    match answer.is_complete {
        true => answer.outcome().to_owned(),
        false => "truncated".to_owned(),
    }
}

/// Formats a time in milliseconds.
pub(crate) fn millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

/// Returns the median, or zero if there are no times.
pub(crate) fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
