//! Log lines of a host, printed if the test fails.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

/// Number of lines that are kept.
const MAX_LINES: usize = 400;

/// The last lines that a host logged, without those of single successful requests.
#[derive(Clone, Default)]
pub(super) struct RecentLines {
    lines: Arc<Mutex<VecDeque<String>>>,
}

impl RecentLines {
    /// Returns whether one of the lines contains `text`.
    pub(super) fn contain(&self, text: &str) -> bool {
        let lines = self.lines.lock().unwrap();
        lines.iter().any(|line| line.contains(text))
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
        let relevant = text
            .lines()
            .filter(|line| !line.contains(r#""event":"request-answered""#));
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
