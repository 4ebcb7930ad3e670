//! The decision log.

use std::io::stdout;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;

use super::DecisionLine;
use super::LineQueue;
use super::LogError;
use crate::clock::boot_now;

/// The rate above which routine lines are left out: four times what a host writes at its
/// usual 30 requests per second.
const MAX_LINES_PER_SECOND: u32 = 300;

/// The decision log: JSON lines on standard output, through a bounded queue, so that
/// writing never blocks.
#[derive(Debug)]
pub struct DecisionLog {
    logger: Logger,
    queue: LineQueue,
    second: AtomicU64,
    lines: AtomicU32,
    left_out: AtomicU64,
}

impl DecisionLog {
    /// Opens the log on standard output.
    ///
    /// # Errors
    ///
    /// The sink or the logger can't be built.
    pub fn open() -> Result<Self, LogError> {
        Self::open_on(LineQueue::spawn(stdout()))
    }

    /// Opens the log on the given queue.
    ///
    /// # Errors
    ///
    /// The sink or the logger can't be built.
    pub fn open_on(queue: LineQueue) -> Result<Self, LogError> {
        let sink = WriteSink::builder()
            .target(queue.clone())
            .formatter(JsonFormatter::new())
            .build_arc()?;
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(LevelFilter::All)
            .build()?;
        Ok(Self {
            logger,
            queue,
            second: AtomicU64::new(0),
            lines: AtomicU32::new(0),
            left_out: AtomicU64::new(0),
        })
    }

    /// Writes a line, unless it is routine and this second's limit is reached.
    pub fn write(&self, line: &DecisionLine) {
        if !self.count_line() && line.is_routine() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let level = line.level();
        spdlog::log!(logger: self.logger, level, "{line}", kv: { line:serde });
    }

    /// Returns how many routine lines were left out, and the count of lines that the queue
    /// dropped.
    pub fn lost_lines(&self) -> (u64, u64) {
        (self.left_out.load(Ordering::Relaxed), self.queue.dropped())
    }

    /// Waits until all lines are written, for a bounded time; called when the process ends.
    pub async fn flush(&self) {
        self.queue.wait_written().await;
    }

    /// Counts a line; returns whether it is within this second's limit.
    fn count_line(&self) -> bool {
        let second = boot_now().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}
