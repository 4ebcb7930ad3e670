//! The handle to all metrics of the daemon.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::Instrument;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Stream;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::errors::ErrorKind;
use crate::ids::FleetVersion;
use crate::ids::TierRank;
use crate::ids::TokenCount;

use super::metric_causes::PrefillWaste;
use super::metric_causes::RefusedPeer;
use super::metrics_error::MetricsError;
use super::request_instruments::ANSWERS_NAME;
use super::request_instruments::RequestInstruments;
use super::request_series::RequestSeries;
use super::series_table::SeriesTable;
use super::state_instruments::StateInstruments;

/// The prefix of every metric's name.
const NAMESPACE: &str = "cardamomgw";

/// Maximum number of series per histogram; further ones are counted under
/// `otel_metric_overflow`. Label values come from the configuration, so only a cell with
/// very many accounts reaches this limit. It bounds the memory and the size of `/metrics`
/// (7.5 KB per series) to what a small host can afford.
const MAX_SERIES: usize = 1000;

/// Label sets of the answer counter per series: in time, late, not run, unknown.
const ANSWERS_PER_SERIES: usize = 4;

/// The handle to all metrics of the daemon; one per process, shared by reference.
#[derive(Debug)]
pub struct RequestMetrics {
    registry: Registry,
    // Kept alive, because the instruments record only while the provider exists.
    _provider: SdkMeterProvider,
    requests: RequestInstruments,
    state: StateInstruments,
    series: SeriesTable,
    /// Evictions that are counted already.
    evicted_bodies: AtomicU64,
    evicted_callers: AtomicU64,
}

impl RequestMetrics {
    /// Sets up the metrics, with all counts at zero.
    ///
    /// # Errors
    ///
    /// The exporter can't be registered.
    pub fn open() -> Result<Arc<Self>, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(limit_cardinality)
            .build();
        let meter = provider.meter(NAMESPACE);
        Ok(Arc::new(Self {
            registry,
            requests: RequestInstruments::new(&meter),
            state: StateInstruments::new(&meter),
            series: SeriesTable::default(),
            evicted_bodies: AtomicU64::new(0),
            evicted_callers: AtomicU64::new(0),
            _provider: provider,
        }))
    }

    /// Returns the series of a tier, class and account. A request keeps it, so that it is
    /// looked up only once.
    pub fn series(&self, tier: TierRank, class: &str, account: &str) -> Arc<RequestSeries> {
        self.series.get_or_create(tier, class, account, || {
            self.requests.bind(&[
                KeyValue::new("tier", i64::from(tier)),
                KeyValue::new("class", String::from(class)),
                KeyValue::new("account", String::from(account)),
            ])
        })
    }

    /// Counts a request that ended with an error; the tier is absent if the request was
    /// refused before it was classified.
    pub fn count_error(&self, kind: ErrorKind, tier: Option<TierRank>) {
        let tier = tier.map_or_else(|| String::from("none"), |tier| tier.to_string());
        let labels = [
            KeyValue::new("kind", kind.to_string()),
            KeyValue::new("tier", tier),
        ];
        self.state.errors.add(1, &labels);
    }

    /// Counts prompt tokens whose processing was wasted or repeated.
    pub fn count_wasted_prefill(&self, cause: PrefillWaste, tokens: TokenCount) {
        let labels = [KeyValue::new("cause", cause.to_string())];
        self.state.wasted_prefill.add(u64::from(tokens), &labels);
    }

    /// Counts a caller's connection that was refused because too many were open.
    pub fn count_refused_caller(&self) {
        self.state.refused_callers.add(1, &[]);
    }

    /// Counts a peer's connection that was refused.
    pub fn count_refused_peer(&self, reason: RefusedPeer) {
        let labels = [KeyValue::new("reason", reason.to_string())];
        self.state.refused_peers.add(1, &labels);
    }

    /// Counts a fleet document that was refused.
    pub fn count_refused_configuration(&self) {
        self.state.refused_documents.add(1, &[]);
    }

    /// Counts a log line, whether its level is enabled or not.
    pub fn count_log_line(&self, level: &'static str) {
        let labels = [KeyValue::new("level", level)];
        self.state.log_lines.add(1, &labels);
    }

    /// Sets the number of waiting requests of a tier.
    pub fn set_waiting(&self, tier: TierRank, count: u64) {
        self.state.waiting.record(count, &[tier_label(tier)]);
    }

    /// Sets the number of running requests of a tier.
    pub fn set_running(&self, tier: TierRank, count: u64) {
        self.state.running.record(count, &[tier_label(tier)]);
    }

    /// Sets the version of the fleet document in force.
    pub fn set_fleet_version(&self, version: FleetVersion) {
        self.state.fleet_version.record(version, &[]);
    }

    /// Sets the memory that requests hold, in bytes, and the total of evicted bodies.
    pub fn set_request_memory(&self, held_bytes: usize, evicted_total: u64) {
        self.state.request_memory.record(held_bytes as u64, &[]);
        let counted = self.evicted_bodies.swap(evicted_total, Ordering::Relaxed);
        let more = evicted_total.saturating_sub(counted);
        self.state.evicted_bodies.add(more, &[]);
    }

    /// Sets the number of callers' open connections, and the total of evicted ones.
    pub fn set_callers(&self, open: usize, evicted_total: u64) {
        self.state.caller_connections.record(open as u64, &[]);
        let counted = self.evicted_callers.swap(evicted_total, Ordering::Relaxed);
        let more = evicted_total.saturating_sub(counted);
        self.state.evicted_callers.add(more, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// The metrics can't be encoded.
    pub fn text(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }
}

fn tier_label(tier: TierRank) -> KeyValue {
    KeyValue::new("tier", i64::from(tier))
}

fn limit_cardinality(instrument: &Instrument) -> Option<Stream> {
    let limit = match instrument.name() {
        ANSWERS_NAME => MAX_SERIES * ANSWERS_PER_SERIES,
        _ => MAX_SERIES,
    };
    Stream::builder().with_cardinality_limit(limit).build().ok()
}
