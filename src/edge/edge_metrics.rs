//! Counters of the host, as text.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::errors::ANSWER_TABLE;
use crate::errors::ErrorKind;

/// Upper ends of the latency buckets, in milliseconds.
const BUCKETS_MS: [u64; 10] = [10, 25, 50, 100, 200, 400, 600, 1000, 2500, 5000];

/// Counts of latencies, by bucket.
#[derive(Debug, Default)]
pub(crate) struct LatencyBuckets {
    counts: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_ms: AtomicU64,
}

/// Counters of the host; one a process.
#[derive(Debug)]
pub(crate) struct EdgeMetrics {
    /// Requests that a target answered.
    pub(crate) answered: AtomicU64,
    /// Requests whose caller left.
    pub(crate) callers_left: AtomicU64,
    /// Sends to targets.
    pub(crate) sends: AtomicU64,
    /// Sends beyond a request's first.
    pub(crate) repeats: AtomicU64,
    /// New connections to targets.
    pub(crate) connects: AtomicU64,
    /// Calls to the store.
    pub(crate) store_calls: AtomicU64,
    /// From the arrival to the first byte towards the caller.
    pub(crate) first_byte: LatencyBuckets,
    /// From the arrival to the dispatch.
    pub(crate) queue: LatencyBuckets,
    refused: Vec<AtomicU64>,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        Self {
            answered: AtomicU64::new(0),
            callers_left: AtomicU64::new(0),
            sends: AtomicU64::new(0),
            repeats: AtomicU64::new(0),
            connects: AtomicU64::new(0),
            store_calls: AtomicU64::new(0),
            first_byte: LatencyBuckets::default(),
            queue: LatencyBuckets::default(),
            refused: ANSWER_TABLE.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

/// Adds one.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl LatencyBuckets {
    /// Counts a latency.
    pub(crate) fn note(&self, latency: Duration) {
        let millis = latency.as_millis() as u64;
        let bucket = BUCKETS_MS.partition_point(|end| *end < millis);
        count(&self.counts[bucket]);
        self.sum_ms.fetch_add(millis, Ordering::Relaxed);
    }

    fn write_to(&self, name: &str, text: &mut String) {
        let mut total = 0;
        let ends = BUCKETS_MS.iter().map(u64::to_string);
        let ends = ends.chain(["+Inf".to_owned()]);
        for (end, counter) in ends.zip(&self.counts) {
            total += counter.load(Ordering::Relaxed);
            line(text, &format!("{name}_ms_bucket{{le=\"{end}\"}}"), total);
        }
        line(text, &format!("{name}_ms_count"), total);
        line(
            text,
            &format!("{name}_ms_sum"),
            self.sum_ms.load(Ordering::Relaxed),
        );
    }
}

impl EdgeMetrics {
    /// Counts an answer of the host's own.
    pub(crate) fn count_refusal(&self, kind: ErrorKind) {
        count(&self.refused[kind as usize]);
    }

    /// Returns all counters as text; `gauges` are added.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        let counters = [
            ("requests_answered_total", &self.answered),
            ("callers_left_total", &self.callers_left),
            ("target_sends_total", &self.sends),
            ("target_repeats_total", &self.repeats),
            ("target_connects_total", &self.connects),
            ("store_calls_total", &self.store_calls),
        ];
        for (name, counter) in counters {
            line(&mut text, name, counter.load(Ordering::Relaxed));
        }
        for (row, counter) in ANSWER_TABLE.iter().zip(&self.refused) {
            let name = format!("requests_refused_total{{kind=\"{}\"}}", row.kind);
            line(&mut text, &name, counter.load(Ordering::Relaxed));
        }
        self.first_byte.write_to("first_byte", &mut text);
        self.queue.write_to("queue", &mut text);
        for (name, value) in gauges {
            line(&mut text, name, *value);
        }
        text
    }
}

fn line(text: &mut String, name: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "cardamomgw_{name} {value}");
}
