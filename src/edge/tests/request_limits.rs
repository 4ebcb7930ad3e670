//! Targets that declare a request limit.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::raw_target::RawTarget;
use super::raw_target::write_text;

/// The declared limit, in requests per second.
const LIMIT: f64 = 2.0;
/// The window over which requests are counted, and its start after the first response
/// that declares the limit.
const WINDOW: Duration = Duration::from_secs(4);
const DELAY: Duration = Duration::from_secs(1);

/// Starts a target that declares its limit and records when requests arrive.
fn limited_target(arrivals: Arc<Mutex<Vec<Instant>>>) -> RawTarget {
    RawTarget::spawn(move |request, stream| {
        arrivals.lock().unwrap().push(Instant::now());
        let answer = request.answer("200 OK", "fine");
        let declared = format!("HTTP/1.1 200 OK\r\nX-Limit: {LIMIT}\r\n");
        write_text(
            stream,
            &answer.replacen("HTTP/1.1 200 OK\r\n", &declared, 1),
        );
        true
    })
}

fn unlimited_target() -> RawTarget {
    RawTarget::spawn(|request, stream| {
        write_text(stream, &request.answer("200 OK", "fine"));
        true
    })
}

/// Guards against an overloaded target that receives as many requests as before.
#[test]
fn a_target_receives_no_more_requests_than_it_declares() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let targets = [limited_target(Arc::clone(&arrivals)), unlimited_target()];
    let host = EdgeFixture::open(&targets);

    let started_at = Instant::now();
    for number in 0.. {
        if started_at.elapsed() >= DELAY + WINDOW {
            break;
        }
        host.call(&request_for("/again/x", &format!("id{number}")));
        thread::sleep(Duration::from_millis(40));
    }

    let arrivals = arrivals.lock().unwrap();
    let first = *arrivals.first().expect("the target was never used");
    let counted = arrivals.iter().filter(|at| **at >= first + DELAY).count();
    let allowed = WINDOW.as_secs_f64() * LIMIT * 1.5 + 5.0;
    assert!(counted as f64 <= allowed, "{counted} of {allowed}");
}

/// Guards against a plain service that gets more requests than it has slots, although its targets
/// crash when they have to reject some.
#[test]
fn brittle_targets_get_no_more_requests_than_they_have_slots() {
    let running = Arc::new(Mutex::new((0_u32, 0_u32)));
    let counted = Arc::clone(&running);
    let brittle = RawTarget::spawn(move |request, stream| {
        {
            let mut counts = counted.lock().unwrap();
            counts.0 += 1;
            counts.1 = counts.1.max(counts.0);
        }
        thread::sleep(Duration::from_millis(100));
        counted.lock().unwrap().0 -= 1;
        let answer = request.answer("200 OK", "fine");
        let declared = "HTTP/1.1 200 OK\r\nX-Brittle: 3\r\n";
        write_text(stream, &answer.replacen("HTTP/1.1 200 OK\r\n", declared, 1));
        true
    });
    let host = EdgeFixture::open(&[brittle]);
    host.call(&request_for("/once/x", "first"));

    thread::scope(|scope| {
        for number in 0..16 {
            let host = &host;
            scope.spawn(move || host.call(&request_for("/once/x", &format!("id{number}"))));
        }
    });

    // The target has four slots.
    let (_, most) = *running.lock().unwrap();
    assert!((2..=4).contains(&most), "{most} at once");
}
