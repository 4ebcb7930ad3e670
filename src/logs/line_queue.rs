//! A bounded queue of log lines in front of an output that may block.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;

/// Capacity of the queue in bytes: some seconds of lines at the usual rate.
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// How long lines are collected before they are written in one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// How often the queue is checked while waiting for it to empty.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A bounded queue of log lines; lines that don't fit are dropped and counted.
///
/// It protects requests from a log reader that stops reading: a full pipe blocks its
/// writer, and without the queue the request that writes a line would block.
#[derive(Clone, Debug)]
pub struct LineQueue {
    shared: Arc<QueueShared>,
}

#[derive(Debug, Default)]
struct QueueShared {
    waiting: Mutex<Vec<u8>>,
    filled: Condvar,
    dropped: AtomicU64,
}

impl LineQueue {
    /// Starts a thread that writes queued lines to `output`.
    pub fn spawn(mut output: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(QueueShared::default());
        let reader = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                let lines = reader.take_lines();
                // A failed write means that the output is closed; the lines are lost.
                if output
                    .write_all(&lines)
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    reader.dropped.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(BATCH_INTERVAL);
            }
        });
        Self { shared }
    }

    /// Returns how many lines were dropped.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines are written, for a bounded time; called when the process ends.
    pub async fn wait_written(&self) {
        let deadline = 2 * BATCH_INTERVAL;
        let written = async {
            while !self.shared.lock().is_empty() {
                task::sleep(POLL_INTERVAL).await;
            }
        };
        // If the output blocks, the remaining lines are lost.
        timeout(deadline, written).await.ok();
    }
}

impl QueueShared {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_lines(&self) -> Vec<u8> {
        let mut waiting = self.lock();
        while waiting.is_empty() {
            waiting = self
                .filled
                .wait(waiting)
                .unwrap_or_else(PoisonError::into_inner);
        }
        std::mem::take(&mut *waiting)
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.shared.lock();
        if waiting.len() + line.len() > MAX_QUEUED_BYTES {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let was_empty = waiting.is_empty();
        waiting.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.shared.filled.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
