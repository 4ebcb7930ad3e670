//! What a host may have outstanding at one plain target, in virtual time.

use std::time::Duration;

use cardamomgw::capacity::ConcurrencyWindow;
use cardamomgw::capacity::WindowCause;

const SLOTS: u32 = 6;
const SERVICE: Duration = Duration::from_millis(30);
const OBJECTIVE: Duration = Duration::from_millis(150);
/// Requests that the host offers at once.
const OFFERED: usize = 60;
const STEP: Duration = Duration::from_millis(1);

fn start() -> Duration {
    Duration::from_secs(100)
}

fn window_of(hosts: usize) -> ConcurrencyWindow {
    let mut window = ConcurrencyWindow::new(SLOTS);
    window.set_hosts(hosts);
    window
}

/// One host that always has requests for one target, which takes `SERVICE` times a factor for each
/// and runs [`SLOTS`] at once.
struct BusyHost {
    window: ConcurrencyWindow,
    now: Duration,
    /// Start and end of the outstanding requests.
    outstanding: Vec<(Duration, Duration)>,
    /// When each slot is free.
    free_at: Vec<Duration>,
}

impl BusyHost {
    fn new() -> Self {
        Self {
            window: window_of(1),
            now: start(),
            outstanding: Vec::new(),
            free_at: vec![start(); SLOTS as usize],
        }
    }

    /// Runs for a time; returns the answers per second.
    fn run(&mut self, length: Duration, factor: f64) -> f64 {
        let end = self.now + length;
        let mut answers = 0;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let (ended, left) = self.outstanding.iter().partition(|held| held.1 <= now);
            let ended: Vec<(Duration, Duration)> = ended;
            self.outstanding = left;
            let mut running = (self.outstanding.len() + ended.len()) as u32;
            for (sent, _) in ended {
                self.window
                    .record_answer(now - sent, running, OBJECTIVE, now);
                running -= 1;
                answers += 1;
            }
            while self.outstanding.len() < OFFERED && self.window.allows(running, now) {
                self.window.record_dispatch(running, now);
                let slot = self.free_at.iter_mut().min().expect("a slot");
                *slot = (*slot).max(now) + SERVICE.mul_f64(factor);
                self.outstanding.push((now, *slot));
                running += 1;
            }
        }
        f64::from(answers) / length.as_secs_f64()
    }
}

/// Guards against a limit that leaves the target idle, or that lets its queue grow to the end.
#[test]
fn a_busy_target_runs_all_its_slots_with_a_short_queue() {
    let capacity = f64::from(SLOTS) / SERVICE.as_secs_f64();
    let mut host = BusyHost::new();
    host.run(Duration::from_secs(3), 1.0);

    let rate = host.run(Duration::from_secs(5), 1.0);

    assert!(rate > capacity * 0.95, "{rate}/s of {capacity}/s");
    let latency = host.window.latency().expect("a latency");
    assert!(latency < OBJECTIVE, "{latency:?}");
}

/// Guards against a target that keeps its requests when it becomes five times slower, and against
/// one that does not get them back.
#[test]
fn a_target_that_slows_down_gets_fewer_requests_until_it_recovers() {
    let mut host = BusyHost::new();
    let before = host.run(Duration::from_secs(4), 1.0);
    let sent_before = host.outstanding.len();

    host.run(Duration::from_secs(1), 5.0);
    let slow = host.run(Duration::from_secs(1), 5.0);
    let sent_slow = host.outstanding.len();
    host.run(Duration::from_secs(5), 1.0);
    let after = host.run(Duration::from_secs(2), 1.0);

    assert!(slow < before * 0.3, "{slow} of {before}");
    assert!(sent_slow < sent_before, "{sent_slow} of {sent_before}");
    assert!(after > before * 0.9, "{after} of {before}");
}

/// Guards against one request that takes longer than others being taken for a queue.
#[test]
fn a_single_long_answer_does_not_begin_a_limit() {
    let mut window = window_of(34);
    for index in 0..100 {
        let now = start() + Duration::from_millis(10) * index;
        let factor = if index == 50 { 5 } else { 1 };
        window.record_answer(SERVICE * factor, 1, OBJECTIVE, now);
        assert_eq!(window.window(), None, "after answer {index}");
    }
}

/// Guards against windows that can never open, as a fleet's share is below one request: each host
/// still measures the target at least every 4 s, whatever it learned.
#[test]
fn the_least_window_opens_within_four_seconds() {
    let mut window = window_of(79);
    window.record_answer(SERVICE, 1, OBJECTIVE, start());
    let mut now = start();
    for _ in 0..50 {
        now += Duration::from_millis(200);
        window.record_rejection(now);
    }
    window.record_dispatch(0, now);

    let at_once = window.allows(0, now + Duration::from_millis(10));
    let later = window.allows(0, now + Duration::from_secs(4));

    assert!(!at_once);
    assert!(later);
}

/// Guards against a burst of rejections, which tell the same, reducing the window to nothing.
#[test]
fn rejections_at_the_same_time_count_once() {
    let mut window = window_of(3);
    for _ in 0..20 {
        window.record_dispatch(4, start());
    }
    window.record_answer(SERVICE, 20, OBJECTIVE, start());
    window.record_rejection(start());
    let first = window.window();
    for offset in 1..20 {
        window.record_rejection(start() + Duration::from_millis(offset));
    }

    assert!(first.is_some());
    assert_eq!(window.window(), first);
    assert_eq!(window.cause(), Some(WindowCause::Rejection));
}

/// Guards against a limit that stays after the load is over: it ends within 4 s.
#[test]
fn a_limit_ends_once_the_target_is_no_longer_full() {
    let mut window = window_of(3);
    window.record_answer(SERVICE, 1, OBJECTIVE, start());
    window.record_rejection(start());
    assert!(window.take_change());

    let mut now = start();
    for _ in 0..40 {
        now += Duration::from_millis(100);
        window.record_answer(SERVICE, 1, OBJECTIVE, now);
    }

    assert_eq!(window.window(), None);
    assert!(window.take_change());
    assert!(!window.take_change());
}
