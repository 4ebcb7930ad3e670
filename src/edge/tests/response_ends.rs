//! Responses whose end the target leaves open or declares inside an event. A caller must never
//! receive such a response as complete.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawTarget;
use super::raw_target::event_chunk;
use super::raw_target::unframed_head;
use super::raw_target::write_text;

/// How a target ends the connection behind what it has sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// A target that answers each request with `response` and ends the connection.
fn ending_target(response: &'static str, end: ConnectionEnd) -> RawTarget {
    RawTarget::spawn(move |request, stream| {
        write_text(stream, &unframed_head(request));
        write_text(stream, response);
        end_connection(stream, end);
        false
    })
}

/// A target that sends `response`, stops listening and then closes the connection.
fn crashing_target(response: &'static str) -> RawTarget {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = RawTarget::at(listener.local_addr().unwrap());
    let accepting = target.clone();
    thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        drop(listener);
        accepting.serve(stream, &|request, stream| {
            write_text(stream, &unframed_head(request));
            write_text(stream, response);
            false
        });
    });
    target
}

/// A target that answers with a complete chunked response or the rest of a stream.
fn chunked_target(events: &'static [u32]) -> RawTarget {
    RawTarget::spawn(move |request, stream| {
        write_text(stream, &request.stream_head());
        for id in events {
            write_text(stream, &event_chunk(*id));
        }
        write_text(stream, "0\r\n\r\n");
        true
    })
}

fn end_connection(stream: &TcpStream, end: ConnectionEnd) {
    if end == ConnectionEnd::Reset {
        // What was sent must arrive before the reset.
        thread::sleep(Duration::from_millis(20));
        set_socket_linger(stream, Some(Duration::ZERO)).unwrap();
    }
}

const EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
/// Streams that stop inside an event.
const TORN_STREAMS: [&str; 4] = [
    "id: 1\nda",
    "id: 1\n",
    "id: 1\ndata: e1\n\nid: 2\n",
    "id: 1\ndata: e1\n\nid: 2\ndata: torn",
];

/// Guards against a stream without a length that stops inside an event and is declared complete.
#[test]
fn a_stream_that_is_closed_inside_an_event_is_not_complete() {
    for path in ["/stream/x", "/resume/x"] {
        for response in TORN_STREAMS {
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                let host = EdgeFixture::open(&[ending_target(response, end)]);

                let answer = host.call_to_end(&request_for(path, "id1"));

                assert!(
                    !answer.is_complete(200),
                    "{path} {end:?} {response:?}: {answer:?}"
                );
                assert!(!answer.text.contains("torn") && !answer.text.contains("id: 2"));
            }
        }
    }
}

/// Guards against a stream without a length and without any event that is declared complete.
#[test]
fn a_stream_that_is_closed_before_its_first_event_is_not_complete() {
    for path in ["/stream/x", "/resume/x"] {
        let host = EdgeFixture::open(&[ending_target("", ConnectionEnd::Close)]);

        let answer = host.call_to_end(&request_for(path, "id1"));

        assert_eq!(status_of(&answer.text), 502, "{path}: {answer:?}");
    }
}

/// Guards against a stream whose chunks or length are complete and whose last event is not.
#[test]
fn a_framed_stream_that_ends_inside_an_event_is_not_complete() {
    let torn = "id: 1\ndata: e1\n\nid: 2\ndata: torn";
    let chunked = RawTarget::spawn(move |request, stream| {
        let chunk = format!("{:x}\r\n{torn}\r\n0\r\n\r\n", torn.len());
        write_text(stream, &request.stream_head());
        write_text(stream, &chunk);
        true
    });
    let sized = RawTarget::spawn(move |request, stream| {
        write_text(stream, &request.answer("200 OK", torn));
        true
    });
    for target in [chunked, sized] {
        let host = EdgeFixture::open(&[target]);

        let answer = host.call_to_end(&request_for("/stream/x", "id1"));

        assert!(!answer.is_complete(200), "{answer:?}");
        assert!(answer.text.contains("data: e1") && !answer.text.contains("torn"));
    }
}

/// Guards against a stream that stops inside an event and is not continued at another target.
#[test]
fn a_stream_that_is_closed_inside_an_event_is_resumed() {
    let torn = || {
        RawTarget::spawn(|request, stream| {
            if request.header("X-Resume-After").is_some() {
                write_text(stream, &request.stream_head());
                write_text(stream, &event_chunk(2));
                write_text(stream, "0\r\n\r\n");
                return true;
            }
            write_text(stream, &unframed_head(request));
            write_text(stream, "id: 1\ndata: e1\n\nid: 2\nda");
            false
        })
    };
    let host = EdgeFixture::open(&[torn(), torn()]);

    let answer = host.call_to_end(&request_for("/resume/x", "id1"));

    assert!(answer.is_complete(200), "{answer:?}");
    for event in ["data: e1", "data: e2"] {
        assert_eq!(answer.text.matches(event).count(), 1, "{answer:?}");
    }
}

/// Guards against a host that declares the end of a response that its target left open.
#[test]
fn a_response_without_a_length_is_forwarded_without_one() {
    for path in ["/stream/x", "/resume/x", "/once/x", "/again/x"] {
        let host = EdgeFixture::open(&[ending_target(EVENTS, ConnectionEnd::Close)]);

        let answer = host.call_to_end(&request_for(path, "id1"));

        assert!(
            answer.is_complete(200) && answer.text.ends_with(EVENTS),
            "{path}: {answer:?}"
        );
        let head = answer.text.to_ascii_lowercase();
        assert!(!head.contains("content-length") && !head.contains("transfer-encoding"));
        assert!(head.contains("connection: close"));
    }
}

/// Guards against a caller without chunked coding for which a truncated stream looks complete.
#[test]
fn a_truncated_stream_to_an_old_caller_is_reset() {
    let target = RawTarget::spawn(|request, stream| {
        write_text(stream, &request.stream_head());
        write_text(stream, &event_chunk(1));
        false
    });
    let host = EdgeFixture::open(&[target]);

    let request = request_for("/stream/x", "id1").replace("HTTP/1.1", "HTTP/1.0");
    let answer = host.call_to_end(&request);

    assert!(!answer.is_complete(200), "{answer:?}");
}

/// Guards against a crash that ends a response without a length, and is taken for its end.
#[test]
fn a_response_that_ends_with_a_crash_is_not_complete() {
    for path in ["/stream/x", "/resume/x", "/once/x", "/again/x"] {
        let host = EdgeFixture::open(&[crashing_target(EVENTS)]);

        let answer = host.call_to_end(&request_for(path, "id1"));

        assert!(!answer.is_complete(200), "{path}: {answer:?}");
    }
}

/// Guards against an idempotent call that is not retried after a crash within its response.
#[test]
fn a_call_whose_response_ends_with_a_crash_is_retried() {
    let healthy = RawTarget::spawn(|request, stream| {
        write_text(stream, &request.answer("200 OK", "fine"));
        true
    });
    let host = EdgeFixture::open(&[crashing_target("hal"), healthy]);

    for number in 0..4 {
        let answer = host.call_to_end(&request_for("/again/x", &format!("id{number}")));

        assert!(
            answer.is_complete(200) && answer.text.ends_with("fine"),
            "{answer:?}"
        );
    }
}

/// Guards against a stream that crashes between two events and is not continued.
#[test]
fn a_stream_that_ends_with_a_crash_is_resumed() {
    let first = crashing_target(EVENTS);
    let host = EdgeFixture::open(std::slice::from_ref(&first));
    host.store
        .write(2, &[first.clone(), chunked_target(&[3])], &["k1"]);

    for number in 0..6 {
        let answer = host.call_to_end(&request_for("/resume/x", &format!("id{number}")));
        if answer.text.contains("data: e1") {
            assert!(
                answer.is_complete(200) && answer.text.contains("data: e3"),
                "{answer:?}"
            );
        }
    }

    assert_eq!(first.received().len(), 1);
}

/// Guards against events that are held back until the end of a response is known.
#[test]
fn events_of_a_response_without_a_length_are_forwarded_as_they_arrive() {
    let target = RawTarget::spawn(|request, stream| {
        write_text(stream, &unframed_head(request));
        write_text(stream, "id: 1\ndata: e1\n\n");
        thread::sleep(Duration::from_secs(2));
        false
    });
    let host = EdgeFixture::open(&[target]);
    let mut caller = host.connect();
    caller
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    caller
        .write_all(request_for("/stream/x", "id1").as_bytes())
        .unwrap();

    let mut received = Vec::new();
    let mut chunk = [0; 512];
    while !String::from_utf8_lossy(&received).contains("data: e1") {
        let count = caller
            .read(&mut chunk)
            .expect("the event comes within a second");
        received.extend_from_slice(&chunk[..count]);
    }

    caller.shutdown(Shutdown::Both).unwrap();
}

/// Guards against events that a caller gets twice because the resumed stream repeats them.
#[test]
fn a_resumed_stream_that_repeats_events_is_forwarded_without_them() {
    let repeating = || {
        RawTarget::spawn(|request, stream| {
            write_text(stream, &request.stream_head());
            let is_resumed = request.header("X-Resume-After").is_some();
            for id in if is_resumed { 1..=4 } else { 1..=2 } {
                write_text(stream, &event_chunk(id));
            }
            write_text(
                stream,
                if is_resumed {
                    "0\r\n\r\n"
                } else {
                    "14\r\nid: 3\nda"
                },
            );
            is_resumed
        })
    };
    let host = EdgeFixture::open(&[repeating(), repeating()]);

    let answer = host.call_to_end(&request_for("/resume/x", "id1"));

    assert!(answer.is_complete(200), "{answer:?}");
    for event in ["data: e1", "data: e2", "data: e3", "data: e4"] {
        assert_eq!(answer.text.matches(event).count(), 1, "{answer:?}");
    }
}
