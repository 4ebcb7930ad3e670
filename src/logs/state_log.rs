//! The state log.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::Sink;
use spdlog::sink::StdStreamSink;

use crate::metrics::RequestMetrics;
use crate::settings::LogLevel;

use super::StateChange;

/// Why the log can't be opened.
#[derive(Debug, Display, Error, From)]
#[display("the log can't be opened: {_0}")]
pub struct LogError(spdlog::Error);

/// The state log; one per process, shared by reference.
#[derive(Debug)]
pub struct StateLog {
    logger: Logger,
    metrics: Arc<RequestMetrics>,
}

impl StateLog {
    /// Opens the log on standard error, one JSON object per line.
    ///
    /// # Errors
    ///
    /// The sink or the logger can't be built.
    pub fn open(level: LogLevel, metrics: Arc<RequestMetrics>) -> Result<Self, LogError> {
        let sink = StdStreamSink::builder()
            .stderr()
            .formatter(JsonFormatter::new())
            .build_arc()?;
        Self::open_with_sink(level, metrics, sink)
    }

    /// Opens the log on the given sink, for embedding and tests.
    ///
    /// # Errors
    ///
    /// The logger can't be built.
    pub fn open_with_sink(
        level: LogLevel,
        metrics: Arc<RequestMetrics>,
        sink: Arc<dyn Sink>,
    ) -> Result<Self, LogError> {
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(level)))
            .flush_level_filter(LevelFilter::All)
            .build()?;
        Ok(Self { logger, metrics })
    }

    /// Counts a state change, and writes its line if its level is enabled.
    pub fn write(&self, change: &StateChange) {
        let level = change.level();
        self.metrics.count_log_line(level.as_str());
        spdlog::log!(logger: self.logger, level, "{change}", kv: { change:serde });
    }
}

fn spdlog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
