//! The daemon's metrics: histograms, counters and gauges in Prometheus format.

mod bucket_bounds;
mod metric_causes;
mod metrics_error;
mod request_instruments;
mod request_metrics;
mod request_series;
mod series_table;
mod state_instruments;

pub use metric_causes::PrefillWaste;
pub use metric_causes::RefusedPeer;
pub use metrics_error::MetricsError;
pub use request_metrics::RequestMetrics;
pub use request_series::RequestSeries;
