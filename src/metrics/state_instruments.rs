//! The instruments for faults and the daemon's own state.

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

/// The instruments for faults and the daemon's own state.
#[derive(Debug)]
pub(super) struct StateInstruments {
    pub(super) errors: Counter<u64>,
    pub(super) wasted_prefill: Counter<u64>,
    pub(super) refused_callers: Counter<u64>,
    pub(super) refused_peers: Counter<u64>,
    pub(super) refused_documents: Counter<u64>,
    pub(super) log_lines: Counter<u64>,
    pub(super) waiting: Gauge<u64>,
    pub(super) running: Gauge<u64>,
    pub(super) fleet_version: Gauge<u64>,
    pub(super) request_memory: Gauge<u64>,
    pub(super) evicted_bodies: Counter<u64>,
    pub(super) caller_connections: Gauge<u64>,
    pub(super) evicted_callers: Counter<u64>,
}

impl StateInstruments {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            errors: counter(meter, "errors", "Requests that ended as an error, by kind."),
            wasted_prefill: counter(
                meter,
                "wasted_prefill_tokens",
                "Prompt tokens whose processing was thrown away or repeated, by cause.",
            ),
            refused_callers: counter(
                meter,
                "refused_callers",
                "Connections of callers that were refused, since too many were open.",
            ),
            refused_peers: counter(
                meter,
                "refused_peers",
                "Connections of peers that were refused, by reason.",
            ),
            refused_documents: counter(
                meter,
                "refused_configurations",
                "Fleet documents that were refused.",
            ),
            log_lines: counter(meter, "log_lines", "Log lines by level, written or not."),
            request_memory: gauge(
                meter,
                "request_memory_bytes",
                "Memory that the bodies of requests and buffered answers hold.",
            ),
            evicted_bodies: counter(
                meter,
                "evicted_bodies",
                "Incomplete bodies that were evicted.",
            ),
            caller_connections: gauge(meter, "caller_connections", "Open connections of callers."),
            evicted_callers: counter(
                meter,
                "evicted_caller_connections",
                "Connections of callers that were evicted.",
            ),
            waiting: gauge(meter, "waiting_requests", "Requests that wait, by tier."),
            running: gauge(meter, "running_requests", "Requests that run, by tier."),
            fleet_version: gauge(
                meter,
                "configuration_version",
                "The version of the fleet document in force.",
            ),
        }
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
