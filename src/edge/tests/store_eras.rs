//! A store that comes back from an older copy of itself, without its last changes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::raw_target::RawTarget;
use super::raw_target::write_text;
use crate::view::TargetPhase;

/// Time within which a leaving target no longer gets new requests.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Pause between two requests of the caller.
const CALL_PERIOD: Duration = Duration::from_millis(20);

fn healthy_target() -> RawTarget {
    RawTarget::spawn(|request, stream| {
        write_text(stream, &request.answer("200 OK", "fine"));
        true
    })
}

/// Sends requests for `length` and returns how many of them each target received.
fn received_within(host: &EdgeFixture, targets: &[RawTarget], length: Duration) -> Vec<usize> {
    let before: Vec<usize> = targets.iter().map(|held| held.received().len()).collect();
    let started_at = Instant::now();
    for number in 0.. {
        if started_at.elapsed() >= length {
            break;
        }
        host.call(&request_for("/again/x", &format!("id{number}")));
        thread::sleep(CALL_PERIOD);
    }
    let counts = targets.iter().zip(before);
    counts
        .map(|(target, before)| target.received().len() - before)
        .collect()
}

/// Guards against a leaving target that gets requests because the store went back and gives out
/// the revisions of its lost changes again.
#[test]
fn a_target_that_leaves_in_a_new_era_gets_no_requests() {
    let targets = [healthy_target(), healthy_target()];
    let host = EdgeFixture::open(&targets);
    host.store.write(117, &targets, &["k1"]);
    let used = received_within(&host, &targets, Duration::from_millis(500));

    host.store.go_back(115);
    received_within(&host, &targets, Duration::from_millis(500));
    host.store.set_phase(116, 0, TargetPhase::Draining);
    thread::sleep(DRAIN_BOUND);
    let late = received_within(&host, &targets, Duration::from_millis(500));

    assert!(used[0] > 0, "{used:?}");
    assert!(late[0] == 0 && late[1] > 0, "{late:?}");
}

/// Guards against a target that had left before the store went back, and gets requests again
/// because the older copy shows it as ready.
#[test]
fn a_target_that_left_before_the_store_went_back_gets_no_requests() {
    let targets = [healthy_target(), healthy_target()];
    let host = EdgeFixture::open(&targets);
    host.store.set_phase(117, 0, TargetPhase::Draining);
    thread::sleep(DRAIN_BOUND);

    host.store.go_back(115);
    thread::sleep(DRAIN_BOUND);
    let late = received_within(&host, &targets, Duration::from_millis(500));

    assert!(late[0] == 0 && late[1] > 0, "{late:?}");
}
