//! The instruments that record requests.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use super::bucket_bounds::FIRST_TOKEN_TIME;
use super::bucket_bounds::QUEUE_TIME;
use super::bucket_bounds::TOKEN_GAP;
use super::bucket_bounds::WHOLE_TIME;
use super::request_series::RequestSeries;

/// The counter of answers, which has several label sets per series.
pub(super) const ANSWERS_NAME: &str = "answers";

/// The instruments that record requests.
#[derive(Debug)]
pub(super) struct RequestInstruments {
    queue_time: Histogram<f64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    whole_time: Histogram<f64>,
    answers: Counter<u64>,
    prefill_tokens: Counter<u64>,
}

impl RequestInstruments {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            queue_time: seconds(meter, "queue_time", "Time in the queue.", QUEUE_TIME),
            first_token: seconds(
                meter,
                "first_token_time",
                "Time from arrival to the first token.",
                FIRST_TOKEN_TIME,
            ),
            token_gap: seconds(
                meter,
                "token_gap",
                "Time between two tokens of a stream.",
                TOKEN_GAP,
            ),
            whole_time: seconds(
                meter,
                "whole_time",
                "Time from arrival to the end of the answer.",
                WHOLE_TIME,
            ),
            answers: meter
                .u64_counter(ANSWERS_NAME)
                .with_description("Answers by outcome, and whether they came before the deadline.")
                .build(),
            prefill_tokens: meter
                .u64_counter("prefill_tokens")
                .with_description("Prompt tokens that targets were given to process.")
                .build(),
        }
    }

    /// Binds the instruments to the labels of a tier, class and account.
    pub(super) fn bind(&self, labels: &[KeyValue; 3]) -> RequestSeries {
        let answers = |outcome: &'static str, in_time: bool| {
            let [tier, class, account] = labels.clone();
            let outcome = KeyValue::new("outcome", outcome);
            let in_time = KeyValue::new("in_time", in_time);
            self.answers.bind(&[tier, class, account, outcome, in_time])
        };
        RequestSeries {
            queue_time: self.queue_time.bind(labels),
            first_token: self.first_token.bind(labels),
            token_gap: self.token_gap.bind(labels),
            whole_time: self.whole_time.bind(labels),
            done_in_time: answers("done", true),
            done_late: answers("done", false),
            not_run: answers("not-run", false),
            unknown: answers("unknown", false),
            prefill_tokens: self.prefill_tokens.bind(labels),
        }
    }
}

fn seconds(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(bounds.to_vec())
        .build()
}
