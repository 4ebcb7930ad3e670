//! Log lines of a host, printed if the test fails.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

/// Number of lines that are kept.
const MAX_LINES: usize = 400;
/// Lines that are not kept.
const FREQUENT: [&str; 2] = [r#""event":"request-answered""#, r#""event":"store-read""#];

/// The last lines that a host logged, but for the most frequent ones.
#[derive(Clone, Default)]
pub(super) struct RecentLines {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl RecentLines {
    /// Returns the number of lines that contain `text`.
    pub(super) fn count(&self, text: &str) -> usize {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| line.contains(text)).count()
    }

    /// Prints the lines under the name of the host.
    pub(super) fn print(&self, host: &str) {
        for line in &*self.lines.lock().unwrap() {
            eprintln!("{host}: {line}");
        }
    }
}

impl Write for RecentLines {
    /// Receives whole lines.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(bytes);
        let is_frequent = |line: &&str| FREQUENT.iter().any(|event| line.contains(event));
        let relevant = text.lines().filter(|line| !is_frequent(line));
        let mut lines = self.lines.lock().unwrap();
        lines.extend(relevant.map(str::to_owned));
        let surplus = lines.len().saturating_sub(MAX_LINES);
        lines.drain(..surplus);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
