//! A bounded queue of lines before an output that may block.

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

/// How many bytes may wait for the output: some seconds of lines at the usual rate.
const MAX_WAITING_BYTES: usize = 256 << 10;
/// How long lines are collected before they are written in one call.
const COLLECT_TIME: Duration = Duration::from_millis(250);
/// How often the queue is looked at while the process waits for its end.
const SETTLE_LOOK: Duration = Duration::from_millis(20);

/// A bounded queue of lines; what doesn't fit is dropped and counted.
///
/// Guards requests against a reader of the log that stops reading: a full pipe
/// blocks its writer, and without the queue that would be a request.
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
    /// Starts writing what is put in the queue to `output`, in a thread of its own.
    pub fn spawn(mut output: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(QueueShared::default());
        let reader = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                let lines = reader.take_lines();
                // Where the output is closed, lines have nowhere to go.
                if output
                    .write_all(&lines)
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    reader.dropped.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(COLLECT_TIME);
            }
        });
        Self { shared }
    }

    /// Returns how many lines were dropped.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Waits for a moment until all lines are written, at the process's end.
    pub async fn settle(&self) {
        let deadline = 2 * COLLECT_TIME;
        let written = async {
            while !self.shared.lock().is_empty() {
                task::sleep(SETTLE_LOOK).await;
            }
        };
        // Lines that a blocked output doesn't take are lost.
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
        if waiting.len() + line.len() > MAX_WAITING_BYTES {
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
