//! Streams of engines that `serve` resumes on a new connection.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use standins::CallerClient;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::generate;

/// Time limit of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const COMMENT: &str = ": alive\n\n";

fn token(offset: u32) -> String {
    format!("data: {{\"offset\":{offset},\"text\":\"t{offset}\"}}\n\n")
}

fn final_event(tokens: u32) -> String {
    format!("data: {{\"done\":true,\"tokens\":{tokens}}}\n\n")
}

/// Starts an engine that declares the length of each stream and closes the first connection early.
fn spawn_engine(first: String, rest: String, length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let (first, rest) = (first.clone(), rest.clone());
            thread::spawn(move || serve_stream(stream, &first, &rest, length));
        }
    });
    address
}

fn serve_stream(mut stream: TcpStream, first: &str, rest: &str, length: usize) {
    let mut request = [0; 8192];
    let count = stream.read(&mut request).unwrap_or(0);
    if count == 0 || request.starts_with(b"GET /v1/load") {
        return;
    }
    let (body, length) = match request.starts_with(b"GET /v1/streams/") {
        true => (rest, rest.len()),
        false => (first, length),
    };
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    let answer = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).ok();
}

/// Guards against an answer whose length is that of the engine's first connection, while the host
/// drops repeated events and gets other comments behind a resumption: one that is cut short looks
/// complete.
#[async_std::test]
async fn a_resumed_stream_of_a_declared_length_is_complete() {
    let whole = [token(0), token(1), token(2), final_event(3)].concat();
    let comments = COMMENT.repeat(3);
    let cases = [
        // A comment comes before the break, and is not part of the length.
        (
            comments.clone() + &token(0),
            token(1) + &token(2) + &final_event(3),
        ),
        (token(0), comments + &token(1) + &token(2) + &final_event(3)),
        (token(0), whole.clone()),
    ];
    let plan = FleetPlan {
        hosts: 1,
        engines: 1,
        services: 1,
        slots: 1,
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    for (first, rest) in cases {
        fleet.edit(|document| {
            for target in &mut document.targets {
                target.address = spawn_engine(first.clone(), rest.clone(), whole.len());
            }
        });
        fleet.wait_for_version(0, fleet.document.version).await;
        let request = generate(&new_request_id(), "digest", 3);

        let answer = CallerClient::new(CALL_TIMEOUT)
            .call(fleet.caller_address(0), &request)
            .await
            .unwrap();

        let text = answer.text();
        assert!(answer.is_complete, "{first:?} {rest:?}: {answer:?}");
        assert_eq!(text.replace(COMMENT, ""), whole, "{first:?} {rest:?}");
    }
}
