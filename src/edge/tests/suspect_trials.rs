//! Harmless requests that ran beside a request that crashes targets.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawTarget;
use super::raw_target::write_text;

const HARMLESS: &str = "/once/harmless";
const POISON: &str = "/once/poison";
/// Execution time of a harmless request that runs beside a crashing one, longer than its deadline.
const EXECUTION_TIME: Duration = Duration::from_secs(5);
/// Time until a target crashes.
const CRASH_DELAY: Duration = Duration::from_millis(200);
/// Time within which a harmless request must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Number of targets that one request may crash.
const MAX_CRASHED: usize = 3;
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// A target that a poison request crashes, and that runs others for `execution_time`.
fn fragile_target(execution_time: Duration) -> RawTarget {
    RawTarget::spawn_fragile(move |request, stream| {
        if request.text.contains(POISON) {
            thread::sleep(CRASH_DELAY);
            return true;
        }
        thread::sleep(execution_time);
        write_text(stream, &request.answer("200 OK", "done"));
        false
    })
}

fn has_received(target: &RawTarget, path: &str) -> bool {
    let received = target.received();
    received.iter().any(|request| request.text.contains(path))
}

/// Crashes the target by a poison request while it runs a harmless one.
fn crash_beside(host: &EdgeFixture, target: &RawTarget, number: usize) {
    let harmless = request_for(HARMLESS, &format!("harmless{number}"));
    thread::scope(|scope| {
        scope.spawn(|| host.call(&harmless));
        let started_at = Instant::now();
        while !has_received(target, HARMLESS) {
            assert!(started_at.elapsed() < RECOVERY_TIME, "never sent");
            thread::sleep(Duration::from_millis(5));
        }
        host.call(&request_for(POISON, &format!("poison{number}")));
    });
}

/// Waits until the harmless request is rejected, while no target can run it.
fn wait_rejected(host: &EdgeFixture) {
    let started_at = Instant::now();
    while !host
        .call(&request_for(HARMLESS, "refused"))
        .contains("suspect-request")
    {
        assert!(started_at.elapsed() < RECOVERY_TIME, "not rejected");
        thread::sleep(RESEND_PAUSE);
    }
}

/// Guards against harmless requests that are rejected for ten minutes since they ran beside a
/// request that crashes targets, and against more crashes by that request.
#[test]
fn a_request_that_ran_beside_two_crashes_is_served_again() {
    let mut targets = vec![fragile_target(EXECUTION_TIME)];
    let host = EdgeFixture::open(&targets);
    crash_beside(&host, &targets[0], 1);
    targets.push(fragile_target(EXECUTION_TIME));
    host.store.write(2, &targets, &["k1"]);
    crash_beside(&host, &targets[1], 2);
    wait_rejected(&host);
    targets.extend((0..6).map(|_| fragile_target(Duration::ZERO)));
    host.store.write(3, &targets, &["k1"]);

    let started_at = Instant::now();
    let mut served = false;
    for number in 0.. {
        host.call(&request_for(POISON, &format!("resent{number}")));
        let answer = host.call(&request_for(HARMLESS, &format!("again{number}")));
        served |= status_of(&answer) == 200;
        if started_at.elapsed() > RECOVERY_TIME {
            break;
        }
        thread::sleep(RESEND_PAUSE);
    }

    assert!(served, "still rejected");
    let crashed = targets.iter().filter(|target| has_received(target, POISON));
    assert!(crashed.count() <= MAX_CRASHED);
}
