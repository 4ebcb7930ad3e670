//! Log lines in front of an output that is not read.

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use cardamomgw::errors::ErrorKind;
use cardamomgw::logs::DecisionLine;
use cardamomgw::logs::DecisionLog;
use cardamomgw::logs::LineQueue;

/// An output that blocks forever, like a full pipe.
struct BlockedOutput;

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that sends what is written to a channel.
struct ChannelOutput(mpsc::Sender<Vec<u8>>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn refusal(request: &str) -> DecisionLine {
    DecisionLine::RequestRefused {
        request: request.into(),
        account: Some("acme".into()),
        cost: Some(70.0),
        kind: ErrorKind::AccountLimit,
        status: 429,
        retry_after_ms: Some(250),
        attempts: 0,
        total_ms: 1,
        catalog: 7,
        evidence_age_ms: Some(300),
        waiting: 0,
        expected_wait_ms: None,
    }
}

/// The log collector stops reading. Requests that write a line must not block; lines that
/// don't fit into the queue are counted.
#[test]
fn an_unread_output_delays_no_request() {
    let log = DecisionLog::open_on(LineQueue::spawn(BlockedOutput)).unwrap();
    let begun = Instant::now();

    for number in 0..5_000 {
        log.write(&refusal(&number.to_string()));
    }

    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
    assert!(log.lost_lines().1 > 0, "the queue is bounded");
}

/// Above the rate limit, routine lines are left out and refusals are kept.
#[test]
fn refusals_are_kept_above_the_rate_limit() {
    let (sender, receiver) = mpsc::channel();
    let log = DecisionLog::open_on(LineQueue::spawn(ChannelOutput(sender))).unwrap();
    for number in 0..1_000 {
        log.write(&DecisionLine::CallerLeft {
            request: number.to_string(),
            attempts: 1,
            total_ms: 1,
        });
    }
    log.write(&refusal("last"));

    let mut text = String::new();
    while !text.contains("\"last\"") {
        let bytes = receiver.recv_timeout(Duration::from_secs(5)).unwrap();
        text.push_str(&String::from_utf8(bytes).unwrap());
    }

    assert!(log.lost_lines().0 > 0);
    assert!(text.contains("\"kind\":\"account-limit\""));
    assert!(text.contains("\"evidence_age_ms\":300"));
}
