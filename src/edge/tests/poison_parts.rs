//! Parts of prompts that crash each target that begins to answer them.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::FleetFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::partitions::serve_request;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;
use super::raw_target::write_text;

/// A part that crashes targets, one that most requests share, and the parts of sound requests.
const BAD: &str = "bad0";
const OTHER_BAD: &str = "bad1";
const COMMON: &str = "c0";
/// Targets that the parts may crash until they are recognized, and afterwards.
const MAX_CRASHED: usize = 5;
const MAX_LATER: usize = 3;
const TARGETS: usize = 16;
const PAUSE: Duration = Duration::from_millis(300);
/// Time from the fifth crash on after which few further requests may reach targets.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A target that crashes 50 ms after the head of an answer, if the request has such a part.
fn engine_like_target() -> RawTarget {
    RawTarget::spawn_fragile(|request: &RawRequest, stream: &mut TcpStream| {
        let parts = request.header("X-Parts").unwrap_or_default();
        if parts.contains(BAD) || parts.contains(OTHER_BAD) {
            thread::sleep(Duration::from_millis(50));
            return true;
        }
        thread::sleep(Duration::from_millis(100));
        !serve_request(request, stream)
    })
}

/// Returns a request whose body and last part no other one has.
fn request_with(path: &str, parts: &[&str], id: &str) -> String {
    let mut list: Vec<String> = parts.iter().map(|part| format!("{part}:100")).collect();
    let own = id.bytes().fold(7_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    list.push(format!("{own:x}:50"));
    let request = request_for(path, id).replace(
        "Connection: close",
        &format!("X-Parts: {}\r\nConnection: close", list.join(",")),
    );
    let body = format!("{own:016x}");
    request
        .replace(
            "Content-Length: 5",
            &format!("Content-Length: {}", body.len()),
        )
        .replace("hello", &body)
}

fn targets() -> Vec<RawTarget> {
    (0..TARGETS).map(|_| engine_like_target()).collect()
}

/// Returns how many targets received requests with one of the `parts`.
fn reached(targets: &[RawTarget], parts: &[&str]) -> usize {
    let has_part = |request: &RawRequest| {
        let list = request.header("X-Parts").unwrap_or_default();
        parts.iter().any(|part| list.contains(part))
    };
    let received = targets.iter().flat_map(RawTarget::received);
    received.filter(has_part).count()
}

fn is_served(host: &EdgeFixture, path: &str, parts: &[&str], id: &str) -> bool {
    status_of(&host.call(&request_with(path, parts, id))) == 200
}

/// Guards against requests that share nothing but one part of their prompts and crash one target
/// after another, and against sound ones that are refused for what they share with them.
#[test]
fn a_part_that_crashes_targets_is_recognized_in_other_requests() {
    for path in ["/once/x", "/again/x", "/stream/x", "/resume/x"] {
        let targets = targets();
        let host = EdgeFixture::open(&targets);
        let mut served = Vec::new();

        for number in 0..16 {
            let bad = request_with(path, &[COMMON, BAD], &format!("bad{number}"));
            host.call(&bad);
            let sound = format!("sound{number}");
            served.push(is_served(&host, path, &[COMMON, "50ab"], &sound));
            thread::sleep(PAUSE);
        }

        let crashed = reached(&targets, &[BAD]);
        assert!(crashed <= MAX_CRASHED, "{path}: {crashed} targets");
        let late = &served[4..];
        let share = late.iter().filter(|served| **served).count() * 10 / late.len();
        assert!(share >= 8, "{path}: {served:?}");
    }
}

/// Guards against two such parts that hide each other, and against marks that stay with one host.
#[test]
fn hosts_recognize_two_parts_that_crash_targets_together() {
    let targets = Arc::new(targets());
    let fleet = FleetFixture::open_direct(&targets, &["za", "za", "zb"]);
    let started_at = Instant::now();
    let mut early = None;
    let mut served = Vec::new();

    for number in 0..24 {
        let host = &fleet.hosts[number % 3];
        let part = [BAD, OTHER_BAD][number / 2 % 2];
        let bad = request_with("/again/x", &[COMMON, part], &format!("bad{number}"));
        host.call(&bad);
        let parts = [COMMON, "50ab"];
        served.push(is_served(host, "/again/x", &parts, &format!("s{number}")));
        thread::sleep(PAUSE);
        if early.is_none() && started_at.elapsed() >= CONTACT_TIME * 3 / 2 {
            early = Some([BAD, OTHER_BAD].map(|part| reached(&targets, &[part])));
        }
    }

    let all = [BAD, OTHER_BAD].map(|part| reached(&targets, &[part]));
    let early = early.unwrap();
    for (all, early) in all.into_iter().zip(early) {
        assert!(all - early <= MAX_LATER, "{early} early, {all} in all");
        assert!(all <= MAX_CRASHED, "{all} in all");
    }
    let late = &served[served.len() - 8..];
    let share = late.iter().filter(|served| **served).count();
    assert!(share >= 7, "{served:?}");
}

/// Guards against a part that many requests share and that is rejected since targets crashed for
/// other reasons.
#[test]
fn a_part_that_ran_beside_crashes_of_another_cause_is_served() {
    let targets: Vec<RawTarget> = (0..10)
        .map(|_| {
            RawTarget::spawn_fragile(|request: &RawRequest, stream: &mut TcpStream| {
                if request.text.starts_with("POST /once/crash") {
                    return true;
                }
                thread::sleep(Duration::from_millis(400));
                !serve_request(request, stream)
            })
        })
        .collect();
    let host = EdgeFixture::open(&targets);
    thread::scope(|scope| {
        for number in 0..24 {
            let id = format!("beside{number}");
            let host = &host;
            scope.spawn(move || host.call(&request_with("/once/x", &[COMMON, "50ab"], &id)));
        }
        thread::sleep(Duration::from_millis(200));
        for number in 0..6 {
            let id = format!("crash{number}");
            let host = &host;
            scope.spawn(move || host.call(&request_with("/once/crash", &[], &id)));
        }
    });

    let served = (0..6).filter(|number| {
        let id = format!("later{number}");
        is_served(&host, "/once/x", &[COMMON, "50ab"], &id)
    });

    assert!(served.count() >= 5);
}

/// Guards against a crash that is not confirmed, as the targets that are probed for comparison have
/// crashed as well.
#[test]
fn a_crash_is_confirmed_while_many_other_targets_are_down() {
    let targets: Vec<RawTarget> = (0..40).map(|_| engine_like_target()).collect();
    let fleet = FleetFixture::open_direct(&targets, &["za", "zb"]);
    for host in &fleet.hosts {
        assert!(is_served(host, "/once/x", &[COMMON], "warm"));
    }
    // A pool's targets are ordered by name.
    let mut order: Vec<usize> = (0..targets.len()).collect();
    order.sort_by_key(|index| format!("t{index}"));
    let crash = request_with("/once/x", &[BAD], "direct");
    for index in &order[..12] {
        let mut stream = TcpStream::connect(targets[*index].address).unwrap();
        write_text(&mut stream, &crash);
    }
    thread::sleep(PAUSE);

    for number in 0..6 {
        let request = request_with("/once/x", &[OTHER_BAD], "same");
        let request = request.replace("X-Request: same", &format!("X-Request: same{number}"));
        fleet.hosts[0].call(&request);
        thread::sleep(PAUSE / 6);
    }

    let crashed = reached(&targets, &[OTHER_BAD]);
    assert!(crashed <= 2, "{crashed} targets");
}
