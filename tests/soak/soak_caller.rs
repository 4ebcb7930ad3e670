//! A caller that sends requests to random hosts and verifies every answer.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::platform_standin::headers;
use super::raw_link::RawBody;
use super::raw_link::RawHead;
use super::raw_link::RawLink;
use super::soak_crowds::CROWD_SHARE;
use super::soak_history::SentRequest;
use super::soak_history::SoakHistory;
use super::soak_routes::SoakRoute;
use super::soak_target::EVENTS;
use super::soak_target::plain_body;
use super::soak_target::signature;
use super::soak_target::stream_event;

/// Deadline of each request, and how much longer callers wait for the answer.
const DEADLINE: Duration = Duration::from_millis(2500);
const DEADLINE_SLACK: Duration = Duration::from_millis(1500);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between a caller's requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Shares of requests that are abandoned before the answer, and of those sent with an unknown key,
/// with the revocable key and with the limited account's key.
const ABANDON_SHARE: f64 = 0.03;
const UNKNOWN_SHARE: f64 = 0.02;
const REVOCABLE_SHARE: f64 = 0.15;
const LIMITED_SHARE: f64 = 0.35;
/// Share of requests that reuse an open connection.
const REUSE_SHARE: f64 = 0.8;

/// A key that is always valid, one that is removed and restored, and the limited account's key.
pub(crate) const PERMANENT_KEY: &str = "k-steady";
pub(crate) const REVOCABLE_KEY: &str = "k-fleeting";
pub(crate) const LIMITED_KEY: &str = "k-spender";

/// A caller.
pub(crate) struct SoakCaller {
    pub(crate) name: String,
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) history: Arc<SoakHistory>,
    pub(crate) stop: Arc<AtomicBool>,
}

/// Result of a call.
#[derive(Default)]
struct CallOutcome {
    status: u16,
    complete: bool,
    /// The connection, if it can carry another request.
    link: Option<RawLink>,
}

impl SoakCaller {
    /// Sends requests until stopped.
    pub(crate) fn run(mut self) {
        let mut idle: Vec<Option<RawLink>> = self.hosts.iter().map(|_| None).collect();
        let mut count = 0;
        while !self.stop.load(Ordering::Acquire) {
            let pause = self.rng.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
            count += 1;
            let crowded = self.history.crowded_host();
            let crowded = crowded.filter(|_| self.rng.random_bool(CROWD_SHARE));
            let host = crowded.unwrap_or_else(|| self.rng.random_range(0..self.hosts.len()));
            // Callers open new connections more often while most go to one host.
            let reuses = self.rng.random_bool(REUSE_SHARE) && crowded.is_none();
            let link = idle[host].take().filter(|_| reuses);
            let Some(link) = link.or_else(|| connect(self.hosts[host])) else {
                continue;
            };
            idle[host] = self.call(link, host, count);
        }
    }

    /// Sends one request and checks the answer; returns the connection if it is reusable.
    fn call(&mut self, mut link: RawLink, host: usize, count: u32) -> Option<RawLink> {
        let request = format!("{}-{count}", self.name);
        let route = SoakRoute::ALL[self.rng.random_range(0..SoakRoute::ALL.len())];
        let key = self.draw_key();
        let abandons = self.rng.random_bool(ABANDON_SHARE);
        let sent = Instant::now();
        link.deadline = sent + DEADLINE + DEADLINE_SLACK;
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: soak.example\r\n{}: {request}\r\n{}: {}\r\n\
             Authorization: {} {key}\r\nContent-Length: 5\r\n\r\nhello",
            route.path(),
            headers::REQUEST_ID,
            headers::DEADLINE_MS,
            DEADLINE.as_millis(),
            headers::KEY_SCHEME,
        );
        let written = link.write(&text).is_ok();
        let outcome = match (written, abandons) {
            (true, true) => {
                let wait = self.rng.random_range(0..60);
                std::thread::sleep(Duration::from_millis(wait));
                CallOutcome::default()
            }
            (true, false) => self.read_answer(link, &request, route, &key),
            (false, _) => CallOutcome::default(),
        };
        self.history.record_request(SentRequest {
            request,
            route,
            host,
            key,
            sent,
            ended: Instant::now(),
            status: outcome.status,
            abandoned: abandons,
            complete: outcome.complete,
        });
        outcome.link
    }

    fn draw_key(&mut self) -> String {
        let point = self.rng.random_range(0.0..1.0);
        let key = match point {
            _ if point < UNKNOWN_SHARE => "unknown",
            _ if point < UNKNOWN_SHARE + REVOCABLE_SHARE => REVOCABLE_KEY,
            _ if point < UNKNOWN_SHARE + REVOCABLE_SHARE + LIMITED_SHARE => LIMITED_KEY,
            _ => PERMANENT_KEY,
        };
        key.to_owned()
    }

    fn read_answer(
        &self,
        mut link: RawLink,
        request: &str,
        route: SoakRoute,
        key: &str,
    ) -> CallOutcome {
        let Ok(Some(head)) = link.read_head() else {
            return CallOutcome::default();
        };
        let body = link.read_body(&head);
        let status = head.status();
        let violations = check_answer(&head, &body, request, route, key);
        for violation in violations {
            self.history
                .record_violation(format!("{violation}: {request} {head:?}"));
        }
        if link.has_pending() {
            let violation = format!("unexpected bytes after the answer to {request}");
            self.history.record_violation(violation);
        }
        let complete = status == 200 && body.complete;
        let reusable = body.complete && !head.closes();
        CallOutcome {
            // A truncated body counts as no answer.
            status: if body.complete { status } else { 0 },
            complete,
            link: reusable.then_some(link),
        }
    }
}

fn connect(host: SocketAddr) -> Option<RawLink> {
    let stream = TcpStream::connect_timeout(&host, CONNECT_TIMEOUT).ok()?;
    Some(RawLink::new(stream, DEADLINE))
}

/// Returns the violations in an answer.
fn check_answer(
    head: &RawHead,
    body: &RawBody,
    request: &str,
    route: SoakRoute,
    key: &str,
) -> Vec<String> {
    let mut violations = Vec::new();
    if head.header(headers::REQUEST_ID) != Some(request) {
        violations.push("answer to another request".to_owned());
    }
    match head.status() {
        200 if route.is_stream() => violations.extend(check_stream(body, request)),
        200 => {
            let actual = head.header(headers::SIGNATURE).unwrap_or_default();
            let target = actual.split('.').next().unwrap_or_default();
            let expected_signature = signature(target, request, &body.bytes);
            if body.complete && (body.bytes != plain_body(request) || actual != expected_signature)
            {
                violations.push("incorrect body or signature".to_owned());
            }
            if key == "unknown" {
                violations.push("served a request with an unknown key".to_owned());
            }
        }
        400..=407 | 409..=420 | 422..=428 | 430..=499 => {
            let is_allowed = key != PERMANENT_KEY && key != LIMITED_KEY && head.status() == 401;
            if !is_allowed {
                violations.push("a valid request was refused".to_owned());
            }
        }
        _ => {}
    }
    violations
}

/// Checks that events are in order and none is missing or duplicated, and that a complete stream
/// ends with the last one.
fn check_stream(body: &RawBody, request: &str) -> Option<String> {
    let text = String::from_utf8_lossy(&body.bytes);
    let mut expected = String::new();
    for number in 1..=EVENTS {
        expected.push_str(&stream_event(request, number));
    }
    let is_correct = match body.complete {
        true => text == expected,
        false => expected.starts_with(text.as_ref()),
    };
    (!is_correct).then(|| format!("incorrect stream ({text:?})"))
}
