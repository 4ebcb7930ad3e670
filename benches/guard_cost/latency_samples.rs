//! Latency samples and their quantiles.

use std::time::Duration;

/// The sorted samples of one benchmark.
#[derive(Default)]
pub(crate) struct LatencySamples {
    times: Vec<Duration>,
}

impl LatencySamples {
    pub(crate) fn record(&mut self, time: Duration) {
        self.times.push(time);
        self.times.sort();
    }

    pub(crate) fn median(&self) -> Duration {
        self.times[self.times.len() / 2]
    }

    /// Prints the median and the 99th percentile.
    pub(crate) fn print_micros(&self, label: &str, hosts: usize) {
        let p99 = self.times[self.times.len() * 99 / 100].as_micros();
        let median = self.median().as_micros();
        println!("| {label} | {hosts} | {median} µs | {p99} µs |");
    }

    /// Prints the median and the maximum.
    pub(crate) fn print_millis(&self, label: &str, hosts: usize) {
        let millis = |time: &Duration| time.as_secs_f64() * 1e3;
        let worst = self.times.last().map_or(0.0, millis);
        let median = millis(&self.median());
        let count = self.times.len();
        println!("| {label} ({count} times) | {hosts} | {median:.1} ms | {worst:.1} ms |");
    }
}
