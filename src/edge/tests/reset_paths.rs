//! Hosts whose connections to sound targets are reset.

use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::PathMode;

use super::edge_fixture::FleetFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::partitions::send_many;
use super::partitions::serve_request;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;

const TARGETS: usize = 5;
/// Requests that run when the connections are reset, several at each target.
const RUNNING: usize = 12;
/// Time until they have reached the targets.
const SEND_TIME: Duration = Duration::from_millis(80);
/// Time between the resets of two targets' connections.
const RESET_INTERVAL: Duration = Duration::from_millis(15);
/// Time within which crash checks end.
const CHECK_TIME: Duration = Duration::from_secs(2);
/// Time from the reset within which an interrupted request is answered. A wait for the checks takes
/// a second.
const MAX_DELAY: Duration = Duration::from_millis(950);
const CRASHED: &str = r#""event":"target-crashed""#;

/// Returns targets that answer requests for a path with `slow` after `time`, and others at once.
fn slow_targets(time: Duration) -> Vec<RawTarget> {
    let serve = move |request: &RawRequest, stream: &mut TcpStream| {
        if request.text.contains("/slow") {
            thread::sleep(time);
        }
        serve_request(request, stream)
    };
    (0..TARGETS).map(|_| RawTarget::spawn(serve)).collect()
}

/// Opens three hosts with the targets; the first has connected to each of these.
fn open_fleet(targets: &[RawTarget]) -> FleetFixture {
    let fleet = FleetFixture::open(targets, &["za", "za", "zb"]);
    for host in 0..3 {
        let time = Duration::from_millis(300);
        send_many(&fleet, host, &format!("warm{host}"), time);
    }
    fleet
}

/// Guards against sound requests that are marked as the cause of crashes since the paths of their
/// host are lost one after the other: the target probed for comparison is still reached.
#[test]
fn resets_that_follow_each_other_mark_no_request() {
    for path in ["/once/slow", "/stream/slow"] {
        let targets = slow_targets(Duration::from_millis(700));
        let fleet = open_fleet(&targets);
        thread::scope(|scope| {
            let fleet = &fleet;
            scope.spawn(|| send_many(fleet, 1, "peer", CHECK_TIME));
            for number in 0..RUNNING {
                let request = request_for(path, &format!("slow{number}"));
                scope.spawn(move || fleet.hosts[0].call(&request));
            }
            thread::sleep(SEND_TIME);

            for target in 0..TARGETS {
                fleet.set_path(0, target, PathMode::Reset);
                thread::sleep(RESET_INTERVAL);
            }
            thread::sleep(CHECK_TIME);

            assert_eq!(fleet.hosts[0].logged(CRASHED), 0, "{path}");
            let answer = fleet.hosts[1].call(&request_for(path, "again"));
            assert_eq!(status_of(&answer), 200, "{path}: {answer}");
        });
    }
}

/// Guards against sound requests that are marked as the cause of crashes since the paths of their
/// host were lost for a moment: the target was probed while they were.
#[test]
fn paths_that_are_back_at_once_mark_no_request() {
    let targets = slow_targets(Duration::from_millis(700));
    let fleet = open_fleet(&targets);
    thread::scope(|scope| {
        let fleet = &fleet;
        for number in 0..RUNNING {
            let request = request_for("/once/slow", &format!("slow{number}"));
            scope.spawn(move || fleet.hosts[0].call(&request));
        }
        thread::sleep(SEND_TIME);

        fleet.set_paths(0, PathMode::Reset);
        for target in (0..TARGETS).rev() {
            thread::sleep(RESET_INTERVAL);
            fleet.set_path(0, target, PathMode::Open);
        }
        thread::sleep(CHECK_TIME);

        assert_eq!(fleet.hosts[0].logged(CRASHED), 0);
    });
}

/// Guards against sound requests that are held back, and then refused, while their host checks
/// whether targets crashed that it no longer reaches.
#[test]
fn requests_that_a_reset_interrupts_are_retried_without_waiting_for_crash_checks() {
    let targets = slow_targets(Duration::from_millis(150));
    let fleet = open_fleet(&targets);
    thread::scope(|scope| {
        let fleet = &fleet;
        scope.spawn(|| send_many(fleet, 1, "peer", CHECK_TIME));
        let calls: Vec<_> = (0..RUNNING)
            .map(|number| {
                let request = request_for("/again/slow", &format!("slow{number}"));
                scope.spawn(move || {
                    let answer = fleet.hosts[0].call(&request);
                    (status_of(&answer), Instant::now())
                })
            })
            .collect();
        thread::sleep(SEND_TIME);
        let reset_at = Instant::now();
        // All at once: a request whose retry is lost too has no attempt left.
        thread::scope(|resets| {
            for target in 0..TARGETS {
                resets.spawn(move || fleet.set_path(0, target, PathMode::Reset));
            }
        });

        let answers = calls.into_iter().map(|call| call.join().unwrap());
        let answers: Vec<_> = answers
            .map(|(status, at)| (status, at.saturating_duration_since(reset_at)))
            .collect();

        let is_prompt = answers.iter().all(|(_, after)| *after < MAX_DELAY);
        let served = answers.iter().filter(|(status, _)| *status == 200).count();
        assert!(is_prompt && served * 2 >= RUNNING, "{answers:?}");
        assert_eq!(fleet.hosts[0].logged(CRASHED), 0);
    });
}
