//! How the demo prints what happened.

use std::time::Duration;

use standins::CallerAnswer;
use standins::CallerError;

use crate::demo_fleet::DemoFleet;

/// One call and what came of it.
pub(crate) struct CallRecord {
    /// The request's id.
    pub(crate) id: String,
    /// What it was for.
    pub(crate) what: &'static str,
    /// Its tier.
    pub(crate) tier: u8,
    /// The host that took it.
    pub(crate) host: String,
    /// The time from the send to the end of the answer.
    pub(crate) took: Duration,
    /// The answer.
    pub(crate) answer: Result<CallerAnswer, CallerError>,
}

/// Begins a scene.
pub(crate) fn scene(number: u32, title: &str) {
    println!("\n{number}. {title}");
}

/// Prints one sentence below a scene.
pub(crate) fn tell(sentence: &str) {
    println!("   {sentence}");
}

/// Prints calls as a table.
pub(crate) fn print_calls(fleet: &DemoFleet, records: &[CallRecord]) {
    println!(
        "   {:<18}{:<6}{:<10}{:<11}{:>6}  {:<9}{:>10}{:>10}",
        "request", "tier", "host", "ran on", "status", "outcome", "first byte", "whole"
    );
    for record in records {
        println!("   {}", call_line(record, &fleet.target_of(&record.id)));
    }
}

fn call_line(record: &CallRecord, target: &str) -> String {
    let (status, outcome, first) = match &record.answer {
        Ok(answer) => {
            let first = answer.chunk_times.first().copied().unwrap_or_default();
            (
                answer.status.to_string(),
                told(answer),
                millis(first.max(answer.head_time)),
            )
        }
        Err(error) => ("-".to_owned(), error.to_string(), String::new()),
    };
    format!(
        "{:<18}{:<6}{:<10}{:<11}{:>6}  {:<9}{:>10}{:>10}",
        record.what,
        record.tier,
        record.host,
        target,
        status,
        outcome,
        first,
        millis(record.took),
    )
}

/// Returns what an answer says about whether its request ran.
pub(crate) fn told(answer: &CallerAnswer) -> String {
    match answer.is_complete {
        true => answer.outcome().to_owned(),
        false => "cut".to_owned(),
    }
}

/// Writes a time in milliseconds.
pub(crate) fn millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

/// Returns the middle one of some times.
pub(crate) fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
