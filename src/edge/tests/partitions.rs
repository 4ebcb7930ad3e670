//! Hosts that have lost their paths to targets, while callers, peers and the store reach them.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::PathMode;

use super::edge_fixture::FleetFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::write_text;

const CUT_MODES: [PathMode; 3] = [PathMode::Reset, PathMode::Refusing, PathMode::Hanging];
/// Time from the start of a partition within which its hosts serve their callers again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which peers report that they reach targets.
const REPORT_TIME: Duration = Duration::from_millis(300);
/// Least share of the first attempts that hosts without a path serve.
const MIN_SERVED_SHARE: f64 = 0.67;

/// A target that answers calls, and streams of two events, at once.
fn healthy_target() -> RawTarget {
    RawTarget::spawn(serve_request)
}

pub(super) fn serve_request(request: &RawRequest, stream: &mut TcpStream) -> bool {
    if request.text.starts_with("POST /stream") || request.text.starts_with("POST /resume") {
        let after = request.header("X-Resume-After");
        let first = after.map_or(1, |id| id.parse::<u32>().unwrap() + 1);
        write_text(stream, &request.stream_head());
        for id in first..=2 {
            write_text(stream, &event_chunk(id));
        }
        write_text(stream, "0\r\n\r\n");
    } else {
        write_text(stream, &request.answer("200 OK", "fine"));
    }
    true
}

pub(super) fn healthy_targets(count: usize) -> Vec<RawTarget> {
    (0..count).map(|_| healthy_target()).collect()
}

/// Returns the ids of all requests that targets received.
fn received_ids(targets: &[RawTarget]) -> Vec<String> {
    let requests = targets.iter().flat_map(RawTarget::received);
    let mut ids: Vec<String> = requests
        .filter_map(|request| request.header("X-Request"))
        .collect();
    ids.sort();
    ids
}

/// Sends requests to each host for a while, so that they have reached the targets.
fn warm_up(fleet: &FleetFixture) {
    for (number, host) in fleet.hosts.iter().enumerate() {
        for call in 0..6 {
            let answer = host.call(&request_for("/again/x", &format!("warm-{number}-{call}")));
            assert_eq!(status_of(&answer), 200, "{answer}");
        }
    }
}

/// Sends a request to a host every 20 ms for `time`; returns the statuses. Each has its own
/// connection, since callers don't wait for each other.
pub(super) fn send_many(fleet: &FleetFixture, host: usize, name: &str, time: Duration) -> Vec<u16> {
    let paths = ["/once/x", "/again/x", "/stream/x", "/resume/x"];
    thread::scope(|scope| {
        let started_at = Instant::now();
        let mut calls = Vec::new();
        while started_at.elapsed() < time {
            let id = format!("{name}-{}", calls.len());
            let request = request_for(paths[calls.len() % paths.len()], &id);
            calls.push(scope.spawn(move || status_of(&fleet.hosts[host].call(&request))));
            thread::sleep(Duration::from_millis(20));
        }
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

pub(super) fn served_share(statuses: &[u16]) -> f64 {
    let served = statuses.iter().filter(|status| **status == 200).count();
    served as f64 / statuses.len() as f64
}

/// Guards against callers that are turned away because their host reaches no target.
#[test]
fn a_host_without_paths_to_targets_serves_its_callers() {
    for mode in CUT_MODES {
        let targets = healthy_targets(4);
        let fleet = FleetFixture::open(&targets, &["za", "za", "zb"]);
        warm_up(&fleet);
        thread::scope(|scope| {
            for host in [1, 2] {
                let fleet = &fleet;
                scope.spawn(move || {
                    send_many(fleet, host, &format!("peer{host}"), CONTACT_TIME * 2)
                });
            }
            fleet.set_paths(0, mode);
            send_many(&fleet, 0, "early", CONTACT_TIME);

            let statuses = send_many(&fleet, 0, "late", Duration::from_secs(2));

            assert!(
                served_share(&statuses) >= MIN_SERVED_SHARE,
                "{mode:?}: {statuses:?}"
            );
            assert!(served_share(&statuses) >= 0.98, "{mode:?}: {statuses:?}");
        });
        let ids = received_ids(&targets);
        let once = ids.windows(2).filter(|pair| pair[0] == pair[1]);
        let repeated: Vec<_> = once
            .filter(|pair| pair[0].rsplit('-').next().unwrap().parse::<u32>().unwrap() % 4 == 0)
            .filter(|pair| !pair[0].starts_with("warm"))
            .collect();
        assert!(repeated.is_empty(), "{mode:?}: {repeated:?}");
    }
}

/// Guards against a host that marks requests as crashing targets because its own paths are lost.
#[test]
fn requests_that_a_partition_interrupts_are_not_refused() {
    for mode in [PathMode::Reset, PathMode::Hanging] {
        let slow = |request: &RawRequest, stream: &mut TcpStream| {
            if request.text.contains("id: slow") || request.text.contains("slow") {
                thread::sleep(Duration::from_millis(700));
            }
            serve_request(request, stream)
        };
        let targets: Vec<RawTarget> = (0..4).map(|_| RawTarget::spawn(slow)).collect();
        let fleet = FleetFixture::open(&targets, &["za", "za", "zb"]);
        warm_up(&fleet);
        thread::scope(|scope| {
            let fleet = &fleet;
            scope.spawn(|| send_many(fleet, 1, "peer", Duration::from_secs(4)));
            // The same body each time, so that all have one fingerprint.
            let calls = (0..8).map(|number| {
                let request = request_for("/once/slow", &format!("slow-{number}"));
                scope.spawn(move || fleet.hosts[0].call(&request))
            });
            let calls: Vec<_> = calls.collect();
            thread::sleep(Duration::from_millis(200));
            fleet.set_paths(0, mode);
            for call in calls {
                call.join().unwrap();
            }
            thread::sleep(Duration::from_millis(1500));

            let answer = fleet.hosts[1].call(&request_for("/once/slow", "again"));

            assert_eq!(status_of(&answer), 200, "{mode:?}: {answer}");
        });
    }
}

/// Guards against a host that goes on without its paths after they are back, or returns to them
/// with a rush of connections.
#[test]
fn a_host_returns_to_its_paths() {
    let targets = healthy_targets(4);
    let fleet = FleetFixture::open(&targets, &["za", "za"]);
    warm_up(&fleet);
    thread::scope(|scope| {
        let fleet = &fleet;
        scope.spawn(|| send_many(fleet, 1, "peer", Duration::from_secs(9)));
        fleet.set_paths(0, PathMode::Reset);
        send_many(fleet, 0, "cut", CONTACT_TIME);
        let before = fleet.opened_connections(0);
        fleet.set_paths(0, PathMode::Open);

        let first = send_many(fleet, 0, "first", Duration::from_millis(300));
        let early = fleet.opened_connections(0) - before;
        let back = send_many(fleet, 0, "back", Duration::from_secs(4));

        let opened = fleet.opened_connections(0) - before;
        assert!(served_share(&first) >= 0.98 && served_share(&back) >= 0.98);
        assert!(early <= 8, "{early} connections at once");
        assert!(opened > 4, "the host does not use its paths");
    });
}

/// Guards against a request that goes from host to host where none reaches targets.
#[test]
fn a_request_is_refused_as_not_run_where_no_host_reaches_targets() {
    let targets = healthy_targets(3);
    let fleet = FleetFixture::open(&targets, &["za", "zb"]);
    warm_up(&fleet);
    for host in [0, 1] {
        fleet.set_paths(host, PathMode::Reset);
    }
    send_many(&fleet, 0, "early", CONTACT_TIME);

    let started_at = Instant::now();
    let answer = fleet.hosts[0].call(&request_for("/once/x", "late"));

    assert_eq!(status_of(&answer), 503, "{answer}");
    assert!(started_at.elapsed() < Duration::from_millis(1500));
    assert!(!received_ids(&targets).contains(&"late".to_owned()));
}

/// Opens a fleet whose first host has lost its paths and whose others serve.
pub(super) fn cut_fleet(targets: &[RawTarget], zones: &[&str]) -> FleetFixture {
    let fleet = FleetFixture::open(targets, zones);
    warm_up(&fleet);
    fleet.set_paths(0, PathMode::Reset);
    thread::scope(|scope| {
        scope.spawn(|| send_many(&fleet, 1, "peer", Duration::from_secs(2)));
        send_many(&fleet, 0, "early", Duration::from_secs(2));
    });
    fleet
}

/// Guards against events of a forwarded stream that are held back, lost or repeated.
#[test]
fn a_forwarded_stream_arrives_event_by_event() {
    let pausing = |request: &RawRequest, stream: &mut TcpStream| {
        if !request.text.contains("/paused") {
            return serve_request(request, stream);
        }
        write_text(stream, &request.stream_head());
        write_text(stream, &event_chunk(1));
        thread::sleep(Duration::from_millis(600));
        write_text(stream, &event_chunk(2));
        write_text(stream, "0\r\n\r\n");
        true
    };
    let targets = [RawTarget::spawn(pausing), RawTarget::spawn(pausing)];
    let fleet = cut_fleet(&targets, &["za", "za"]);
    let mut caller = fleet.hosts[0].connect();
    let started_at = Instant::now();
    caller
        .write_all(request_for("/stream/paused", "id1").as_bytes())
        .unwrap();

    let mut received = Vec::new();
    let mut chunk = [0; 512];
    while !String::from_utf8_lossy(&received).contains("data: e1") {
        let count = caller.read(&mut chunk).unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&chunk[..count]);
    }
    let first_after = started_at.elapsed();
    caller.read_to_end(&mut received).unwrap();

    let text = String::from_utf8_lossy(&received);
    assert!(first_after < Duration::from_millis(400), "{first_after:?}");
    assert!(text.ends_with("0\r\n\r\n"), "{text}");
    for event in ["data: e1", "data: e2"] {
        assert_eq!(text.matches(event).count(), 1, "{text}");
    }
}

/// Guards against a forwarded stream that its target breaks off and that looks complete.
#[test]
fn a_forwarded_stream_that_is_broken_off_is_not_complete() {
    let torn = |request: &RawRequest, stream: &mut TcpStream| {
        if !request.text.contains("/torn") {
            return serve_request(request, stream);
        }
        write_text(stream, &request.stream_head());
        write_text(stream, &event_chunk(1));
        write_text(stream, "14\r\nid: 2\nda");
        false
    };
    let targets = [RawTarget::spawn(torn), RawTarget::spawn(torn)];
    let fleet = cut_fleet(&targets, &["za", "za"]);

    let answer = fleet.hosts[0].call_to_end(&request_for("/stream/torn", "id1"));

    assert!(answer.text.contains("data: e1"), "{answer:?}");
    assert!(
        !answer.is_complete(200) && !answer.text.contains("id: 2"),
        "{answer:?}"
    );
}

/// Guards against a forwarded request that runs on after its caller has left.
#[test]
fn a_forwarded_request_is_cancelled_when_its_caller_leaves() {
    let (ended, end) = std::sync::mpsc::channel();
    let ended = std::sync::Mutex::new(ended);
    let waiting = move |request: &RawRequest, stream: &mut TcpStream| {
        if !request.text.contains("/waiting") {
            return serve_request(request, stream);
        }
        let started_at = Instant::now();
        stream
            .set_read_timeout(Some(Duration::from_secs(3)))
            .unwrap();
        let mut byte = [0];
        let closed = matches!(stream.read(&mut byte), Ok(0) | Err(_));
        let elapsed = started_at.elapsed();
        ended.lock().unwrap().send((closed, elapsed)).unwrap();
        false
    };
    let targets = [RawTarget::spawn(waiting)];
    let fleet = cut_fleet(&targets, &["za", "za"]);
    let mut caller = fleet.hosts[0].connect();
    caller
        .write_all(request_for("/stream/waiting", "id1").as_bytes())
        .unwrap();
    thread::sleep(Duration::from_millis(300));

    caller.shutdown(Shutdown::Both).unwrap();

    let (closed, elapsed) = end.recv_timeout(Duration::from_secs(4)).unwrap();
    assert!(
        closed && elapsed < Duration::from_millis(800),
        "{elapsed:?}"
    );
}

/// Guards against a forwarded request that gets more time, or other headers, than its caller sent.
#[test]
fn a_forwarded_request_keeps_its_deadline_account_and_response() {
    let targets = healthy_targets(2);
    let fleet = cut_fleet(&targets, &["za", "za"]);

    let answer = fleet.hosts[0].call(&request_for("/once/x?q=1", "id1"));

    assert_eq!(status_of(&answer), 200);
    assert!(answer.contains("X-Signed: s") && answer.contains("X-Request: id1\r\n"));
    let requests = targets.iter().flat_map(RawTarget::received);
    let received = requests
        .into_iter()
        .find(|request| request.header("X-Request").as_deref() == Some("id1"));
    let received = received.unwrap();
    assert!(received.text.starts_with("POST /once/x?q=1 HTTP/1.1\r\n"));
    assert!(received.text.ends_with("hello"));
    assert_eq!(received.header("X-Account").as_deref(), Some("acme"));
    assert_eq!(received.header("Authorization"), None);
    let left: u64 = received.header("X-Left-Ms").unwrap().parse().unwrap();
    assert!((1000..=2000).contains(&left), "{left}");
}

/// Guards against a peer that does not use a target because the host that forwards the request does
/// not reach it.
#[test]
fn a_forwarded_request_runs_at_a_target_that_its_own_host_does_not_reach() {
    let targets = healthy_targets(2);
    let fleet = FleetFixture::open(&targets, &["za", "za", "zb"]);
    for host in [1, 2] {
        send_many(&fleet, host, &format!("peer{host}"), REPORT_TIME);
    }
    fleet.set_paths(0, PathMode::Reset);

    let statuses: Vec<u16> = (0..4)
        .map(|number| request_for("/once/x", &format!("cut{number}")))
        .map(|request| status_of(&fleet.hosts[0].call(&request)))
        .collect();

    assert_eq!(statuses, [200; 4]);
}

/// Guards against a request that is forwarded again after a peer has sent it to all targets that
/// its route allows.
#[test]
fn a_forwarded_request_runs_at_no_more_targets_than_its_route_allows() {
    let torn = |request: &RawRequest, stream: &mut TcpStream| {
        if !request.text.contains("/torn") {
            return serve_request(request, stream);
        }
        write_text(stream, &request.stream_head());
        if request.header("X-Resume-After").is_none() {
            write_text(stream, &event_chunk(1));
        }
        write_text(stream, "14\r\nid: 2\nda");
        false
    };
    let targets: Vec<RawTarget> = (0..4).map(|_| RawTarget::spawn(torn)).collect();
    let fleet = cut_fleet(&targets, &["za", "za", "zb"]);

    let answer = fleet.hosts[0].call_to_end(&request_for("/resume/torn", "id1"));

    let ids = received_ids(&targets);
    let runs = ids.iter().filter(|id| *id == "id1").count();
    assert_eq!(runs, 2, "{answer:?}");
}
