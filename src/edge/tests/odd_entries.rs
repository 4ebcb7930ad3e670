//! Numbers and names of other writers that parse but make no sense: registrations, statements of
//! targets and headers of callers.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::ManualStore;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawTarget;
use super::raw_target::write_text;
use crate::edge::EdgeBounds;
use crate::view::TargetRecord;

/// Number of requests of a test.
const REQUESTS: usize = 20;

/// A target that answers with `body`.
fn target_of(body: &'static str) -> RawTarget {
    RawTarget::spawn(move |request, stream| {
        write_text(stream, &request.answer("200 OK", body));
        true
    })
}

/// Returns how many of [`REQUESTS`] requests one after another are served by a target that answers
/// with `body`.
fn served_by(host: &EdgeFixture, body: &str) -> usize {
    let answers = (0..REQUESTS).map(|number| {
        let request = request_for("/again/x", &format!("{body}{number}"));
        host.call(&request)
    });
    answers
        .filter(|answer| status_of(answer) == 200 && answer.ends_with(body))
        .count()
}

/// Starts a host whose store holds a registration of `fine` and an odd one of `odd`.
fn open_with_entry(
    fine: &RawTarget,
    odd: &RawTarget,
    engine: bool,
    change: impl FnOnce(&mut TargetRecord),
) -> EdgeFixture {
    let store = ManualStore::default();
    store.write(1, &[fine.clone(), odd.clone()], &["k1"]);
    if engine {
        store.set_engines(2);
    }
    store.change_target(3, 1, change);
    let host = EdgeFixture::open_on(store, EdgeBounds::default());
    host.wait_ready(true);
    host
}

/// Guards against a registration with an absurd number of slots that makes requests panic, or that
/// takes all requests from the other targets.
#[test]
fn an_absurd_slot_count_leaves_the_other_targets_in_use() {
    let (fine, odd) = (target_of("fine"), target_of("odd"));
    for slots in [0, 1_000_000, 1 << 31, u32::MAX] {
        for engine in [false, true] {
            let host = open_with_entry(&fine, &odd, engine, |target| target.slots = slots);

            let served = served_by(&host, "fine");

            assert_eq!(served, REQUESTS, "{slots} slots, engine: {engine}");
        }
    }
}

/// Guards against a registration whose id adds headers of its writer to the requests of callers.
#[test]
fn an_id_with_line_breaks_adds_no_headers() {
    let (fine, odd) = (target_of("fine"), target_of("odd"));
    let host = open_with_entry(&fine, &odd, false, |target| {
        target.name = "t1\r\nX-Account: root".into();
    });

    let served = served_by(&host, "fine");

    assert_eq!(served, REQUESTS);
    assert_eq!(odd.received().len(), 0);
}

/// Guards against an idle time that overflows the clock, so that the connection of the caller ends
/// behind each answer of the target.
#[test]
fn an_endless_keep_alive_ends_no_connection() {
    let target = RawTarget::spawn(|request, stream| {
        let answer = request.answer("200 OK", "fine");
        let endless = format!("HTTP/1.1 200 OK\r\nKeep-Alive: timeout={}\r\n", u64::MAX);
        write_text(stream, &answer.replacen("HTTP/1.1 200 OK\r\n", &endless, 1));
        true
    });
    let host = EdgeFixture::open(&[target]);
    let mut connection = host.connect();

    let answers: Vec<String> = (0..3)
        .map(|number| {
            let request = request_for("/again/x", &format!("id{number}"));
            let request = request.replace("Connection: close\r\n", "");
            read_answer(&mut connection, &request)
        })
        .collect();

    assert!(
        answers.iter().all(|answer| answer.ends_with("fine")),
        "{answers:?}"
    );
}

/// Writes a request and returns its answer, up to the end of its body.
fn read_answer(connection: &mut TcpStream, request: &str) -> String {
    if connection.write_all(request.as_bytes()).is_err() {
        return String::new();
    }
    let mut answer = Vec::new();
    let mut bytes = [0; 1000];
    while !answer.ends_with(b"fine") {
        match connection.read(&mut bytes) {
            Ok(count) if count > 0 => answer.extend_from_slice(&bytes[..count]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a caller whose token counts overflow the load of a target, so that the requests of
/// all callers panic.
#[test]
fn huge_token_counts_leave_other_requests_served() {
    let target = RawTarget::spawn(|request, stream| {
        thread::sleep(Duration::from_millis(200));
        write_text(stream, &request.answer("200 OK", "fine"));
        true
    });
    let store = ManualStore::default();
    store.write(1, &[target], &["k1"]);
    store.set_engines(2);
    let host = Arc::new(EdgeFixture::open_on(store, EdgeBounds::default()));
    host.wait_ready(true);
    let huge = format!(
        "X-Tokens: {0},{0}\r\nX-Expected: {0}\r\nConnection: close\r\n",
        u64::MAX
    );

    let callers: Vec<_> = (0..4)
        .map(|number| {
            let request = request_for("/once/x", &format!("id{number}"));
            let request = request.replace("Connection: close\r\n", &huge);
            let host = Arc::clone(&host);
            thread::spawn(move || status_of(&host.call(&request)))
        })
        .collect();
    let statuses = callers.into_iter().map(|caller| caller.join().unwrap());

    assert_eq!(statuses.collect::<Vec<u16>>(), [200; 4]);
}
