//! Hosts that have most of the callers, or more than they can serve, while their peers have room.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::PathMode;

use super::edge_fixture::FleetFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::group_partitions::first_group;
use super::group_partitions::form_groups;
use super::group_partitions::zones_of_groups;
use super::partitions::send_many;
use super::partitions::serve_request;
use super::partitions::served_share;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::write_text;

/// Least share of the requests that a crowded host serves.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Time within which a crowded host serves its callers.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Slots of a target, and the rejections in a second after which it crashes.
const SLOTS: usize = 4;
const MAX_REJECTIONS: usize = 3;
const EXECUTION_TIME: Duration = Duration::from_millis(150);

/// A target that states how many rejections it bears, and counts the seconds that had more.
struct BrittleTarget {
    target: RawTarget,
    crashes: Arc<AtomicUsize>,
}

/// Rejections of the last second.
type RejectionTimes = Mutex<VecDeque<Instant>>;

fn brittle_target() -> BrittleTarget {
    let crashes: Arc<AtomicUsize> = Arc::default();
    let counted = Arc::clone(&crashes);
    let running = AtomicUsize::new(0);
    let rejections = RejectionTimes::default();
    let target = RawTarget::spawn(move |request, stream| {
        if running.fetch_add(1, Ordering::AcqRel) >= SLOTS {
            running.fetch_sub(1, Ordering::AcqRel);
            if record_rejection(&rejections) > MAX_REJECTIONS {
                counted.fetch_add(1, Ordering::AcqRel);
            }
            write_text(
                stream,
                &state_brittle(&request.answer("503 Full", "full"), "X-Not-Run: 1\r\n"),
            );
            return true;
        }
        thread::sleep(EXECUTION_TIME);
        write_text(stream, &brittle_answer(request));
        running.fetch_sub(1, Ordering::AcqRel);
        true
    });
    BrittleTarget { target, crashes }
}

/// Returns the number of rejections within a second, with the one that happens now.
fn record_rejection(rejections: &RejectionTimes) -> usize {
    let now = Instant::now();
    let mut times = rejections.lock().unwrap();
    times.push_back(now);
    times.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
    times.len()
}

fn brittle_answer(request: &RawRequest) -> String {
    let is_stream = ["POST /stream", "POST /resume"].map(|start| request.text.starts_with(start));
    if !is_stream.contains(&true) {
        return state_brittle(&request.answer("200 OK", "fine"), "");
    }
    let head = state_brittle(&request.stream_head(), "");
    format!("{head}{}{}0\r\n\r\n", event_chunk(1), event_chunk(2))
}

fn state_brittle(answer: &str, more: &str) -> String {
    let headers = format!("\r\nX-Brittle: {MAX_REJECTIONS}\r\n{more}");
    answer.replacen("\r\n", &headers, 1)
}

/// Sends requests to each host for a while, so that all know what the targets state.
fn send_to_all(fleet: &FleetFixture, time: Duration) {
    thread::scope(|scope| {
        for host in 0..fleet.hosts.len() {
            scope.spawn(move || {
                let started_at = Instant::now();
                for number in 0.. {
                    if started_at.elapsed() >= time {
                        return;
                    }
                    let request = request_for("/again/x", &format!("all{host}-{number}"));
                    fleet.hosts[host].call(&request);
                }
            });
        }
    });
}

/// Sends more requests to the first host than its part of the slots bears; returns the statuses.
fn crowd(fleet: &FleetFixture, name: &str) -> Vec<u16> {
    thread::scope(|scope| {
        let senders = ["a", "b"].map(|sender| {
            let name = format!("{name}-{sender}");
            scope.spawn(move || send_many(fleet, 0, &name, CONTACT_TIME))
        });
        let statuses = senders.into_iter().map(|sender| sender.join().unwrap());
        statuses.flatten().collect()
    })
}

/// Guards against a host whose callers are refused at its part of the targets' slots, while its
/// peers' parts are unused.
#[test]
fn a_host_that_has_most_callers_uses_the_slots_of_its_peers() {
    let targets: Vec<BrittleTarget> = (0..6).map(|_| brittle_target()).collect();
    let raw: Vec<RawTarget> = targets.iter().map(|held| held.target.clone()).collect();
    let fleet = FleetFixture::open(&raw, &["za", "za", "za", "zb", "zb", "zb", "zc", "zc"]);
    send_to_all(&fleet, Duration::from_secs(1));

    crowd(&fleet, "early");
    let statuses = crowd(&fleet, "late");

    let crashes = targets
        .iter()
        .map(|held| held.crashes.load(Ordering::Acquire));
    assert_eq!(crashes.sum::<usize>(), 0);
    let share = served_share(&statuses);
    assert!(share >= MIN_SERVED_SHARE, "{share}: {statuses:?}");
}

/// Guards against a crowded host of a group, which gets the reports of its leader only.
#[test]
fn a_host_of_a_group_that_has_most_callers_uses_the_slots_of_its_peers() {
    let targets: Vec<BrittleTarget> = (0..12).map(|_| brittle_target()).collect();
    let raw: Vec<RawTarget> = targets.iter().map(|held| held.target.clone()).collect();
    let fleet = FleetFixture::open(&raw, &zones_of_groups());
    let (_, members) = first_group();
    let crowded = members[0];
    form_groups(&fleet);

    send_many(&fleet, crowded, "early", CONTACT_TIME);
    let statuses = send_many(&fleet, crowded, "late", CONTACT_TIME);

    let crashes = targets
        .iter()
        .map(|held| held.crashes.load(Ordering::Acquire));
    assert_eq!(crashes.sum::<usize>(), 0);
    let share = served_share(&statuses);
    assert!(share >= MIN_SERVED_SHARE, "{share}: {statuses:?}");
}

/// A target that asks for a pause in answers to one path, and serves all others.
fn pausing_target() -> RawTarget {
    RawTarget::spawn(|request: &RawRequest, stream: &mut TcpStream| {
        if request.text.starts_with("POST /again/pause") {
            let answer = request.answer("503 Busy", "busy");
            let notice = "\r\nX-Not-Run: 1\r\nRetry-After: 30\r\n";
            write_text(stream, &answer.replacen("\r\n", notice, 1));
            return true;
        }
        serve_request(request, stream)
    })
}

/// Sends requests to a host until each target has asked for a pause.
fn pause_targets(fleet: &FleetFixture, host: usize, targets: &[RawTarget]) {
    let is_paused = |target: &RawTarget| {
        let mut received = target.received().into_iter();
        received.any(|request| request.text.starts_with("POST /again/pause"))
    };
    let started_at = Instant::now();
    for number in 0.. {
        if targets.iter().all(is_paused) {
            return;
        }
        let waited = started_at.elapsed();
        assert!(waited < CONTACT_TIME, "{number} requests, one target idle");
        let request = request_for("/again/pause", &format!("pause{number}"));
        fleet.hosts[host].call(&request);
    }
}

/// Guards against a forwarded request that ends at a peer without room while another has room.
#[test]
fn a_forwarded_request_that_a_peer_has_no_room_for_is_offered_to_another() {
    let targets: Vec<RawTarget> = (0..2).map(|_| pausing_target()).collect();
    let fleet = FleetFixture::open(&targets, &["za", "za", "zb"]);
    send_to_all(&fleet, Duration::from_millis(300));
    pause_targets(&fleet, 1, &targets);
    fleet.set_paths(0, PathMode::Reset);
    thread::scope(|scope| {
        scope.spawn(|| send_many(&fleet, 2, "peer", CONTACT_TIME * 2));
        send_many(&fleet, 0, "early", Duration::from_millis(1500));

        let statuses = send_many(&fleet, 0, "late", Duration::from_secs(1));

        let refused = fleet.hosts[1].call(&request_for("/again/x", "own"));
        assert_eq!(status_of(&refused), 503, "{refused}");
        let share = served_share(&statuses);
        assert!(share >= MIN_SERVED_SHARE, "{share}: {statuses:?}");
    });
}
