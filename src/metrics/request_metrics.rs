//! The handle to every metric of the daemon.

use std::sync::Arc;

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

/// Stands before every metric's name.
const NAMESPACE: &str = "cardamomgw";

/// How many series one histogram keeps; what comes later is counted under
/// `otel_metric_overflow`. Names come from the configuration, so only a cell with
/// very many accounts gets there; the bound keeps memory and the length of
/// `/metrics` (7.5 KB a series) within what a small host has.
const MAX_SERIES: usize = 1000;

/// The answers of one series: in time, late, not run, unknown.
const ANSWERS_PER_SERIES: usize = 4;

/// The handle to every metric of the daemon; one a process, shared by reference.
#[derive(Debug)]
pub struct RequestMetrics {
    registry: Registry,
    // The instruments write into the provider for as long as it stands.
    _provider: SdkMeterProvider,
    requests: RequestInstruments,
    state: StateInstruments,
    series: SeriesTable,
}

impl RequestMetrics {
    /// Sets the metrics up, with nothing counted.
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
            .with_view(bound_label_sets)
            .build();
        let meter = provider.meter(NAMESPACE);
        Ok(Arc::new(Self {
            registry,
            requests: RequestInstruments::new(&meter),
            state: StateInstruments::new(&meter),
            series: SeriesTable::default(),
            _provider: provider,
        }))
    }

    /// Returns the series of a tier, class and account; kept by the request's
    /// state, so that it is looked up once.
    pub fn series(&self, tier: TierRank, class: &str, account: &str) -> Arc<RequestSeries> {
        self.series.get_or_make(tier, class, account, || {
            self.requests.bind(&[
                KeyValue::new("tier", i64::from(tier)),
                KeyValue::new("class", String::from(class)),
                KeyValue::new("account", String::from(account)),
            ])
        })
    }

    /// Counts a request that ended as an error; the tier is absent where the
    /// request was refused before it had a class.
    pub fn count_error(&self, kind: ErrorKind, tier: Option<TierRank>) {
        let tier = tier.map_or_else(|| String::from("none"), |tier| tier.to_string());
        let labels = [
            KeyValue::new("kind", kind.to_string()),
            KeyValue::new("tier", tier),
        ];
        self.state.errors.add(1, &labels);
    }

    /// Counts prompt tokens whose processing was thrown away or repeated.
    pub fn count_wasted_prefill(&self, cause: PrefillWaste, tokens: TokenCount) {
        let labels = [KeyValue::new("cause", cause.to_string())];
        self.state.wasted_prefill.add(u64::from(tokens), &labels);
    }

    /// Counts a caller's connection that was refused, since too many were open.
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

    /// Counts a log line, whether its level is written or not.
    pub fn count_log_line(&self, level: &'static str) {
        let labels = [KeyValue::new("level", level)];
        self.state.log_lines.add(1, &labels);
    }

    /// Shows how many requests of a tier wait.
    pub fn set_waiting(&self, tier: TierRank, count: u64) {
        self.state.waiting.record(count, &[tier_label(tier)]);
    }

    /// Shows how many requests of a tier run.
    pub fn set_running(&self, tier: TierRank, count: u64) {
        self.state.running.record(count, &[tier_label(tier)]);
    }

    /// Shows the version of the fleet document in force.
    pub fn set_fleet_version(&self, version: FleetVersion) {
        self.state.fleet_version.record(version, &[]);
    }

    /// Returns everything in Prometheus' text format.
    ///
    /// # Errors
    ///
    /// The text can't be written.
    pub fn text(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }
}

fn tier_label(tier: TierRank) -> KeyValue {
    KeyValue::new("tier", i64::from(tier))
}

fn bound_label_sets(instrument: &Instrument) -> Option<Stream> {
    let limit = match instrument.name() {
        ANSWERS_NAME => MAX_SERIES * ANSWERS_PER_SERIES,
        _ => MAX_SERIES,
    };
    Stream::builder().with_cardinality_limit(limit).build().ok()
}
