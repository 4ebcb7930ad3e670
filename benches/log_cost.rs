//! Cost of a decision log line for the request that writes it.
//!
//! Prints the size of a line, and the time from the decision until the line is queued, for
//! lines that are exempt from the rate limit.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cardamomgw::errors::ErrorKind;
use cardamomgw::logs::DecisionLine;
use cardamomgw::logs::DecisionLog;
use cardamomgw::logs::LineQueue;

/// Lines per round, few enough to fit in the queue.
const LINES: usize = 400;
/// Number of rounds.
const ROUNDS: usize = 20;
/// Time in which the writer empties the queue.
const FLUSH_TIME: Duration = Duration::from_millis(600);

/// Counts the bytes written.
struct CountingOutput(Arc<AtomicUsize>);

impl Write for CountingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.fetch_add(bytes.len(), Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn refusal(number: usize) -> DecisionLine {
    DecisionLine::RequestRefused {
        request: format!("{number:016x}"),
        account: Some("huzi262".into()),
        cost: Some(3076.0),
        kind: ErrorKind::AccountLimit,
        status: 429,
        retry_after_ms: Some(3500),
        attempts: 0,
        total_ms: 1,
        catalog: 3,
        evidence_age_ms: Some(981),
        waiting: 0,
        expected_wait_ms: None,
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let bytes = Arc::new(AtomicUsize::new(0));
    let output = CountingOutput(Arc::clone(&bytes));
    let log = DecisionLog::open_on(LineQueue::spawn(output))?;
    let mut times: Vec<u128> = Vec::new();
    for round in 0..ROUNDS {
        let start = Instant::now();
        for number in 0..LINES {
            log.write(&refusal(round * LINES + number));
        }
        times.push(start.elapsed().as_nanos() / LINES as u128);
        std::thread::sleep(FLUSH_TIME);
    }
    times.sort_unstable();
    let written = bytes.load(Ordering::Relaxed) / (ROUNDS * LINES);
    println!(
        "{written} bytes per line, {} ns per line at the median, {} ns at worst, {:?} lost",
        times[ROUNDS / 2],
        times[ROUNDS - 1],
        log.lost_lines()
    );
    Ok(())
}
