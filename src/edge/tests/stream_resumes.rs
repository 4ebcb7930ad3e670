//! Streams that are resumed, within a response or by their caller. A caller must get each event
//! once, and no response that ends early as complete.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::net::sockopt::set_socket_recv_buffer_size;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::partitions::cut_fleet;
use super::partitions::serve_request;
use super::raw_target::RawRequest;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::unframed_head;
use super::raw_target::write_text;

/// Adds header lines to a request.
fn with_lines(request: &str, lines: &str) -> String {
    request.replace("X-Left-Ms", &format!("{lines}\r\nX-Left-Ms"))
}

/// Serves a stream of five events, whatever the caller has.
fn serve_whole(request: &RawRequest, stream: &mut TcpStream) -> bool {
    write_text(stream, &request.stream_head());
    for id in 1..=5 {
        write_text(stream, &event_chunk(id));
    }
    write_text(stream, "0\r\n\r\n");
    true
}

/// Returns the ids of the events of a response.
fn ids_of(answer: &str) -> Vec<u32> {
    let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// Guards against events that a caller gets twice because the target repeats them where the caller
/// itself asks for the rest.
#[test]
fn a_caller_that_resumes_gets_no_repeated_event() {
    let host = EdgeFixture::open(&[RawTarget::spawn(serve_whole)]);
    host.call(&request_for("/resume/x", "first"));
    let cases = [
        ("X-Resume-After: 3", vec![4, 5]),
        ("X-Resume-After: 0", vec![1, 2, 3, 4, 5]),
        ("X-Resume-After: 5", vec![]),
        ("X-Resume-After: 99999999999999999999999", vec![]),
        // Values that name no event.
        ("X-Resume-After: -3", vec![1, 2, 3, 4, 5]),
        ("X-Resume-After: x", vec![1, 2, 3, 4, 5]),
        ("X-Resume-After:", vec![1, 2, 3, 4, 5]),
        (
            "X-Resume-After: 2\r\nX-Resume-After: 4",
            vec![1, 2, 3, 4, 5],
        ),
    ];
    for (number, (line, wanted)) in cases.into_iter().enumerate() {
        let request = request_for("/resume/x", &format!("id{number}"));

        let lines = format!("X-Resumes: first\r\n{line}");
        let answer = host.call_to_end(&with_lines(&request, &lines));

        assert!(answer.is_complete(200), "{line}: {answer:?}");
        assert_eq!(ids_of(&answer.text), wanted, "{line}");
    }
    // Such a header has no meaning where streams are not resumed.
    let request = with_lines(&request_for("/stream/x", "id"), "X-Resume-After: 3");
    assert_eq!(ids_of(&host.call(&request)), [1, 2, 3, 4, 5]);
}

/// Guards against an event behind the one that has no id that comes twice, and a target that is
/// given up for its silence though the stream can't go on elsewhere.
#[test]
fn a_stream_is_not_resumed_behind_an_event_without_an_id() {
    let event = "a\r\ndata: b0\n\n\r\n";
    let breaking = move |request: &RawRequest, stream: &mut TcpStream| {
        write_text(stream, &request.stream_head());
        write_text(stream, &event_chunk(1));
        write_text(stream, event);
        if request.text.contains("/resume/silent") {
            thread::sleep(Duration::from_millis(1900));
            write_text(stream, &event_chunk(2));
            write_text(stream, "0\r\n\r\n");
        }
        false
    };
    let targets = [RawTarget::spawn(breaking), RawTarget::spawn(breaking)];
    let host = EdgeFixture::open(&targets);

    let broken = host.call_to_end(&request_for("/resume/broken", "id1"));
    let request = request_for("/resume/silent", "id2").replace("Ms: 2000", "Ms: 3000");
    let silent = host.call_to_end(&request);

    assert!(!broken.is_complete(200), "{broken:?}");
    assert_eq!(broken.text.matches("data: b0").count(), 1, "{broken:?}");
    assert!(silent.is_complete(200), "{silent:?}");
    assert_eq!(silent.text.matches("data: b0").count(), 1, "{silent:?}");
}

/// Guards against a stream that ends as complete because the rest of it, without a length, is
/// closed before any event.
#[test]
fn the_rest_of_a_stream_that_is_closed_before_any_event_is_not_complete() {
    let repeated = "id: 2\ndata: e2\n\n";
    for rest in ["", ": comment\n\n", repeated] {
        let breaking = move |request: &RawRequest, stream: &mut TcpStream| {
            if request.header("X-Resume-After").is_some() {
                write_text(stream, &unframed_head(request));
                write_text(stream, rest);
                return false;
            }
            write_text(stream, &request.stream_head());
            write_text(stream, &event_chunk(1));
            write_text(stream, &event_chunk(2));
            false
        };
        let targets = [RawTarget::spawn(breaking), RawTarget::spawn(breaking)];
        let host = EdgeFixture::open(&targets);

        let answer = host.call_to_end(&request_for("/resume/x", "id1"));

        assert!(!answer.is_complete(200), "{rest:?}: {answer:?}");
        assert_eq!(ids_of(&answer.text), [1, 2], "{rest:?}");
    }
}

/// Guards against a stream that looks broken although its target declares that nothing follows the
/// last event.
#[test]
fn the_rest_of_a_stream_that_is_declared_empty_is_complete() {
    let breaking = |request: &RawRequest, stream: &mut TcpStream| {
        write_text(stream, &request.stream_head());
        if request.header("X-Resume-After").is_some() {
            write_text(stream, "0\r\n\r\n");
            return true;
        }
        write_text(stream, &event_chunk(1));
        false
    };
    let targets = [RawTarget::spawn(breaking), RawTarget::spawn(breaking)];
    let host = EdgeFixture::open(&targets);

    let answer = host.call_to_end(&request_for("/resume/x", "id1"));

    assert!(answer.is_complete(200), "{answer:?}");
    assert_eq!(ids_of(&answer.text), [1]);
}

/// Guards against a refusal that is written into the first event of a stream, of which a part was
/// written when the deadline passes.
#[test]
fn a_stream_that_is_read_too_slowly_gets_no_refusal_within_an_event() {
    let large = |request: &RawRequest, stream: &mut TcpStream| {
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(900_000));
        write_text(stream, &request.stream_head());
        write_text(
            stream,
            &format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len()),
        );
        true
    };
    for path in ["/stream/x", "/resume/x"] {
        let host = EdgeFixture::open(&[RawTarget::spawn(large)]);
        let mut caller = host.connect();
        set_socket_recv_buffer_size(&caller, 32 << 10).unwrap();
        // The responses to the first requests fill the buffers of the connection.
        for number in 0..12 {
            let request = request_for(path, &format!("id{number}")).replace("Ms: 2000", "Ms: 600");
            let kept = request.replace("Connection: close\r\n", "");
            caller.write_all(kept.as_bytes()).unwrap();
        }
        thread::sleep(Duration::from_millis(2500));

        let mut received = Vec::new();
        caller.read_to_end(&mut received).ok();

        let text = String::from_utf8_lossy(&received);
        let begun = text.matches("HTTP/1.1").count();
        assert_eq!(text.matches("HTTP/1.1 200").count(), begun, "{path}");
        assert!(begun < 12, "the buffers hold all responses");
        assert!(!text.ends_with("0\r\n\r\n"), "{path}");
    }
}

/// Guards against a chunk behind the response to a `HEAD` request, which a caller reads as part of
/// the next response.
#[test]
fn the_response_to_a_head_request_has_no_body() {
    let target = RawTarget::spawn(|request, stream| {
        write_text(stream, &request.stream_head());
        true
    });
    let host = EdgeFixture::open(&[target]);

    for path in ["/stream/x", "/resume/x"] {
        let request = request_for(path, "id1").replace("POST", "HEAD");
        let answer = host.call(&request);

        assert_eq!(status_of(&answer), 200);
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        assert_eq!(body, "", "{answer}");
    }
}

/// Guards against a request behind a stream on the same connection that gets a part of the stream,
/// or none of its own response.
#[test]
fn a_pipelined_request_behind_a_resumed_stream_gets_its_own_response() {
    let breaking = |request: &RawRequest, stream: &mut TcpStream| {
        if request.text.starts_with("POST /again") {
            write_text(stream, &request.answer("200 OK", "fine"));
            return true;
        }
        write_text(stream, &request.stream_head());
        if request.header("X-Resume-After").is_some() {
            write_text(stream, &event_chunk(2));
            write_text(stream, "0\r\n\r\n");
            return true;
        }
        write_text(stream, &event_chunk(1));
        thread::sleep(Duration::from_millis(100));
        write_text(stream, "14\r\nid: 2\nda");
        false
    };
    let targets = [RawTarget::spawn(breaking), RawTarget::spawn(breaking)];
    let host = EdgeFixture::open(&targets);
    let kept = request_for("/resume/x", "id1").replace("Connection: close\r\n", "");
    let both = kept + &request_for("/again/x", "id2");

    let answer = host.call(&both);

    let (stream, next) = answer.split_once("0\r\n\r\n").unwrap();
    assert_eq!(ids_of(stream), [1, 2]);
    assert!(
        next.starts_with("HTTP/1.1 200") && next.ends_with("fine"),
        "{next}"
    );
    assert!(next.contains("X-Request: id2"), "{next}");
}

/// Guards against a resumption that begins anew because a target in between did not run it.
#[test]
fn a_stream_goes_on_behind_its_last_event_after_a_target_that_did_not_run_it() {
    let breaking = |request: &RawRequest, stream: &mut TcpStream| {
        let after = request.header("X-Resume-After");
        let Some(after) = after else {
            write_text(stream, &request.stream_head());
            write_text(stream, &event_chunk(1));
            return false;
        };
        if request.number % 2 == 1 {
            let refused = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
            write_text(stream, refused);
            return true;
        }
        write_text(stream, &request.stream_head());
        write_text(stream, &event_chunk(after.parse::<u32>().unwrap() + 1));
        write_text(stream, "0\r\n\r\n");
        true
    };
    let targets: Vec<RawTarget> = (0..3).map(|_| RawTarget::spawn(breaking)).collect();
    let host = EdgeFixture::open(&targets);

    for number in 0..8 {
        let answer = host.call_to_end(&request_for("/resume/x", &format!("id{number}")));

        let ids = ids_of(&answer.text);
        let is_whole = answer.is_complete(200) && ids == [1, 2];
        assert!(
            is_whole || !answer.is_complete(200) && ids == [1],
            "{answer:?}"
        );
    }
    let resumed = targets.iter().flat_map(RawTarget::received);
    let after: Vec<_> = resumed
        .filter_map(|request| request.header("X-Resume-After"))
        .collect();
    assert!(
        !after.is_empty() && after.iter().all(|id| id == "1"),
        "{after:?}"
    );
}

/// Guards against a forwarded stream that looks complete, or goes on elsewhere with a partial
/// event, because the peer that serves it ends between two events or within one.
#[test]
fn a_forwarded_stream_whose_peer_ends_is_not_complete() {
    for torn in ["", "14\r\nid: 2\nda"] {
        let pausing = move |request: &RawRequest, stream: &mut TcpStream| {
            if !request.text.contains("/paused") {
                return serve_request(request, stream);
            }
            write_text(stream, &request.stream_head());
            write_text(stream, &event_chunk(1));
            write_text(stream, torn);
            thread::sleep(Duration::from_secs(5));
            false
        };
        let targets = [RawTarget::spawn(pausing), RawTarget::spawn(pausing)];
        let mut fleet = cut_fleet(&targets, &["za", "za"]);
        let peer = fleet.hosts.pop().unwrap();
        let host = &fleet.hosts[0];
        thread::scope(|scope| {
            let requests = [
                request_for("/stream/paused", "id1"),
                request_for("/resume/paused", "id2"),
                request_for("/resume/paused", "id3").replace("HTTP/1.1", "HTTP/1.0"),
            ];
            let callers = requests.map(|request| scope.spawn(move || host.call_to_end(&request)));
            thread::sleep(Duration::from_millis(500));
            let ended_at = Instant::now();
            drop(peer);

            for caller in callers {
                let answer = caller.join().unwrap();
                // The deadline is a second later.
                assert!(ended_at.elapsed() < Duration::from_secs(1), "{answer:?}");
                assert!(!answer.is_complete(200), "{torn:?}: {answer:?}");
                assert_eq!(ids_of(&answer.text), [1], "{torn:?}: {answer:?}");
            }
        });
    }
}

/// Guards against the place of a stream that is lost on the way to a peer, or at its further
/// attempts: events that are missing or come twice.
#[test]
fn a_forwarded_rest_of_a_stream_begins_behind_the_last_event_of_its_caller() {
    let repeating = |request: &RawRequest, stream: &mut TcpStream| {
        if !request.text.contains("/rest") {
            return serve_request(request, stream);
        }
        let after = request.header("X-Resume-After");
        let first = after.map_or(1, |id| id.parse::<u32>().unwrap().max(1));
        write_text(stream, &request.stream_head());
        for id in first..=first + 2 {
            write_text(stream, &event_chunk(id));
        }
        if first >= 4 {
            write_text(stream, "0\r\n\r\n");
            return true;
        }
        write_text(stream, "14\r\nid: 9\nda");
        false
    };
    let targets = [RawTarget::spawn(repeating), RawTarget::spawn(repeating)];
    let fleet = cut_fleet(&targets, &["za", "za"]);
    let host = &fleet.hosts[0];

    let first = host.call_to_end(&request_for("/resume/rest", "first"));
    // Two targets send events 1 to 3 and 3 to 5, and both break off.
    assert!(!first.is_complete(200), "{first:?}");
    assert_eq!(ids_of(&first.text), [1, 2, 3, 4, 5], "{first:?}");
    let rest = with_lines(
        &request_for("/resume/rest", "second"),
        "X-Resumes: first\r\nX-Resume-After: 5",
    );
    let rest = host.call_to_end(&rest);

    assert!(rest.is_complete(200), "{rest:?}");
    assert_eq!(ids_of(&rest.text), [6, 7], "{rest:?}");
}
