//! The writer of decision lines.

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

/// How many lines a second may be written before plain ones are left out: four
/// times what a host writes at its usual 30 requests a second.
const LINES_PER_SECOND: u32 = 300;

/// The writer of decision lines: JSON objects on standard output, bounded, and
/// never waited for.
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

    /// Opens the log on a queue of the caller's.
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

    /// Writes a line, unless it is plain and there are too many this second.
    pub fn write(&self, line: &DecisionLine) {
        if !self.take_turn() && line.is_plain() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let level = line.level();
        spdlog::log!(logger: self.logger, level, "{line}", kv: { line:serde });
    }

    /// Returns how many plain lines were left out and how many others were dropped.
    pub fn lost_lines(&self) -> (u64, u64) {
        (self.left_out.load(Ordering::Relaxed), self.queue.dropped())
    }

    /// Waits for a moment until all lines are written, at the process's end.
    pub async fn flush(&self) {
        self.queue.settle().await;
    }

    /// Counts a line; returns whether this second still has room.
    fn take_turn(&self) -> bool {
        let second = boot_now().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND
    }
}
