//! Results of a load run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use super::load_caller::CallOutcome;
use super::load_caller::CallRecord;

/// Upper bound of the histograms, in microseconds.
const MAX_RECORDED_MICROS: u64 = 600_000_000;
/// Decimal precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Request counts by outcome, and latency histograms.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests with a complete and correct answer.
    pub done: u64,
    /// Requests whose last answer was `not-run`.
    pub not_run: u64,
    /// Requests whose outcome was reported as `unknown`.
    pub unknown: u64,
    /// Requests that were refused permanently or without an outcome.
    pub refused: u64,
    /// Requests whose last connection failed.
    pub lost: u64,
    /// Requests with a 200 answer that failed verification.
    pub wrong: u64,
    /// Sends after the first one of each request.
    pub resends: u64,
    /// Refusals with a retry delay.
    pub refusals: u64,
    /// Ids of the requests that ended as `unknown`, lost or wrong.
    pub unconfirmed_ids: Vec<String>,
    /// Ids of the requests with a correct answer.
    pub done_ids: Vec<String>,
    /// Ids of the requests whose last answer was `not-run`.
    pub not_run_ids: Vec<String>,
    /// Counts of the last HTTP status of each request, sorted by status.
    pub statuses: Vec<(u16, u64)>,
    /// Duration of the whole run.
    pub elapsed: Duration,
    first_byte: Histogram<u64>,
    last_byte: Histogram<u64>,
    token_gap: Histogram<u64>,
}

/// Creates an empty latency histogram.
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant histogram bounds are valid")
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            done: 0,
            not_run: 0,
            unknown: 0,
            refused: 0,
            lost: 0,
            wrong: 0,
            resends: 0,
            refusals: 0,
            unconfirmed_ids: Vec::new(),
            done_ids: Vec::new(),
            not_run_ids: Vec::new(),
            statuses: Vec::new(),
            elapsed: Duration::ZERO,
            first_byte: latency_histogram(),
            last_byte: latency_histogram(),
            token_gap: latency_histogram(),
        }
    }
}

impl LoadReport {
    /// Returns the number of requests.
    pub const fn total(&self) -> u64 {
        self.done + self.not_run + self.unknown + self.refused + self.lost + self.wrong
    }

    /// Returns a quantile of the time to the first body byte of correct answers.
    pub fn first_byte(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.first_byte.value_at_quantile(quantile))
    }

    /// Returns a quantile of the time to the last body byte of correct answers.
    pub fn last_byte(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.last_byte.value_at_quantile(quantile))
    }

    /// Returns a quantile of the time between two chunks of a stream.
    pub fn token_gap(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.token_gap.value_at_quantile(quantile))
    }

    /// Returns the report as JSON, with times in microseconds.
    pub fn to_json(&self) -> Value {
        json!({
            "total": self.total(),
            "done": self.done,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "refused": self.refused,
            "lost": self.lost,
            "wrong": self.wrong,
            "resends": self.resends,
            "refusals": self.refusals,
            "statuses": self.statuses,
            "elapsed_us": self.elapsed.as_micros() as u64,
            "first_byte_us": quantiles(&self.first_byte),
            "whole_us": quantiles(&self.last_byte),
            "token_gap_us": quantiles(&self.token_gap),
        })
    }

    /// Adds the result of one request.
    pub(crate) fn record(&mut self, record: &CallRecord) {
        let count = match record.outcome {
            CallOutcome::Done => &mut self.done,
            CallOutcome::NotRun => &mut self.not_run,
            CallOutcome::Unknown => &mut self.unknown,
            CallOutcome::Refused => &mut self.refused,
            CallOutcome::Lost => &mut self.lost,
            CallOutcome::Invalid => &mut self.wrong,
        };
        *count += 1;
        match record.outcome {
            CallOutcome::Done => self.done_ids.push(record.id.clone()),
            CallOutcome::NotRun => self.not_run_ids.push(record.id.clone()),
            CallOutcome::Unknown | CallOutcome::Lost | CallOutcome::Invalid => {
                self.unconfirmed_ids.push(record.id.clone());
            }
            CallOutcome::Refused => {}
        }
        self.resends += record.resends;
        self.refusals += record.refusals;
        if let Some(status) = record.status {
            self.record_status(status);
        }
        if record.outcome == CallOutcome::Done {
            self.record_times(record);
        }
    }

    fn record_status(&mut self, status: u16) {
        match self.statuses.binary_search_by_key(&status, |entry| entry.0) {
            Ok(index) => self.statuses[index].1 += 1,
            Err(index) => self.statuses.insert(index, (status, 1)),
        }
    }

    fn record_times(&mut self, record: &CallRecord) {
        let first = record.chunk_times.first().unwrap_or(&record.total_time);
        self.first_byte.saturating_record(micros(*first));
        self.last_byte.saturating_record(micros(record.total_time));
        for pair in record.chunk_times.windows(2) {
            self.token_gap.saturating_record(micros(pair[1] - pair[0]));
        }
    }
}

fn micros(time: Duration) -> u64 {
    (time.as_micros() as u64).max(1)
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    json!({
        "count": histogram.len(),
        "p50": histogram.value_at_quantile(0.50),
        "p95": histogram.value_at_quantile(0.95),
        "p99": histogram.value_at_quantile(0.99),
    })
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64().max(f64::EPSILON);
        writeln!(
            formatter,
            "{} requests in {:.2} s ({:.0}/s)",
            self.total(),
            seconds,
            self.total() as f64 / seconds
        )?;
        writeln!(
            formatter,
            "done {}  not-run {}  unknown {}  refused {}  lost {}  WRONG {}",
            self.done, self.not_run, self.unknown, self.refused, self.lost, self.wrong
        )?;
        writeln!(
            formatter,
            "resends {}  refusals {}  last statuses {:?}",
            self.resends, self.refusals, self.statuses
        )?;
        writeln!(
            formatter,
            "{:<12}{:>12}{:>12}{:>12}",
            "ms", "p50", "p95", "p99"
        )?;
        let rows = [
            ("first byte", &self.first_byte),
            ("last byte", &self.last_byte),
            ("token gap", &self.token_gap),
        ];
        for (name, histogram) in rows {
            write!(formatter, "{name:<12}")?;
            for quantile in [0.50, 0.95, 0.99] {
                let millis = histogram.value_at_quantile(quantile) as f64 / 1000.0;
                write!(formatter, "{millis:>12.3}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
