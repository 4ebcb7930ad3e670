//! Errors of setting up or exporting the metrics.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use opentelemetry_sdk::error::OTelSdkError;

/// Why the metrics can't be set up or exported.
#[derive(Debug, Display, Error, From)]
pub enum MetricsError {
    /// The exporter could not be registered.
    #[display("the exporter could not be set up: {_0}")]
    Exporter(OTelSdkError),
    /// The text could not be written.
    #[display("the metrics could not be written as text: {_0}")]
    Encoding(prometheus::Error),
}
