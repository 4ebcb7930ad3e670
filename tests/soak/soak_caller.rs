//! A caller that asks all hosts in turn and trusts no answer.

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
use super::soak_ledger::SentRequest;
use super::soak_ledger::SoakLedger;
use super::soak_routes::SoakRoute;
use super::soak_target::EVENTS;
use super::soak_target::plain_body;
use super::soak_target::signature;
use super::soak_target::stream_event;

/// How long callers wait for an answer, and how much later it must be there at last.
const DEADLINE: Duration = Duration::from_millis(2500);
const DEADLINE_SLACK: Duration = Duration::from_millis(1500);
/// How long a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// The pauses between a caller's requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// How often callers leave before the answer, use an unknown key, the key that comes
/// and goes, or the limited account.
const LEAVE_SHARE: f64 = 0.03;
const UNKNOWN_SHARE: f64 = 0.02;
const FLEETING_SHARE: f64 = 0.15;
const SPENDER_SHARE: f64 = 0.35;
/// How often an open connection is used again.
const KEEP_SHARE: f64 = 0.8;

/// The key that always stands, the one that comes and goes, and the limited account's.
pub(crate) const STEADY_KEY: &str = "k-steady";
pub(crate) const FLEETING_KEY: &str = "k-fleeting";
pub(crate) const SPENDER_KEY: &str = "k-spender";

/// A caller.
pub(crate) struct SoakCaller {
    pub(crate) name: String,
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) ledger: Arc<SoakLedger>,
    pub(crate) over: Arc<AtomicBool>,
}

/// What a caller got.
#[derive(Default)]
struct CallOutcome {
    status: u16,
    whole: bool,
    /// The connection, where it may carry another request.
    link: Option<RawLink>,
}

impl SoakCaller {
    /// Asks until the soak is over.
    pub(crate) fn run(mut self) {
        let mut kept: Vec<Option<RawLink>> = self.hosts.iter().map(|_| None).collect();
        let mut count = 0;
        while !self.over.load(Ordering::Acquire) {
            let pause = self.rng.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
            count += 1;
            let host = self.rng.random_range(0..self.hosts.len());
            let keeps = self.rng.random_bool(KEEP_SHARE);
            let link = kept[host].take().filter(|_| keeps);
            let Some(link) = link.or_else(|| connect(self.hosts[host])) else {
                continue;
            };
            kept[host] = self.call(link, host, count);
        }
    }

    /// Sends one request and judges what comes; returns the connection if it goes on.
    fn call(&mut self, mut link: RawLink, host: usize, count: u32) -> Option<RawLink> {
        let request = format!("{}-{count}", self.name);
        let route = SoakRoute::ALL[self.rng.random_range(0..SoakRoute::ALL.len())];
        let key = self.choose_key();
        let leaves = self.rng.random_bool(LEAVE_SHARE);
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
        let outcome = match (written, leaves) {
            (true, true) => {
                let wait = self.rng.random_range(0..60);
                std::thread::sleep(Duration::from_millis(wait));
                CallOutcome::default()
            }
            (true, false) => self.take_answer(link, &request, route, &key),
            (false, _) => CallOutcome::default(),
        };
        self.ledger.note_request(SentRequest {
            request,
            route,
            host,
            key,
            sent,
            ended: Instant::now(),
            status: outcome.status,
            left: leaves,
            whole: outcome.whole,
        });
        outcome.link
    }

    fn choose_key(&mut self) -> String {
        let point = self.rng.random_range(0.0..1.0);
        let key = match point {
            _ if point < UNKNOWN_SHARE => "unknown",
            _ if point < UNKNOWN_SHARE + FLEETING_SHARE => FLEETING_KEY,
            _ if point < UNKNOWN_SHARE + FLEETING_SHARE + SPENDER_SHARE => SPENDER_KEY,
            _ => STEADY_KEY,
        };
        key.to_owned()
    }

    fn take_answer(
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
        let faults = judge_answer(&head, &body, request, route, key);
        for fault in faults {
            self.ledger
                .note_fault(format!("{fault}: {request} {head:?}"));
        }
        if link.has_pending() {
            let fault = format!("bytes behind the answer of {request}");
            self.ledger.note_fault(fault);
        }
        let whole = status == 200 && body.whole;
        let goes_on = body.whole && !head.closes();
        CallOutcome {
            // A stream that was cut is no answer.
            status: if body.whole { status } else { 0 },
            whole,
            link: goes_on.then_some(link),
        }
    }
}

fn connect(host: SocketAddr) -> Option<RawLink> {
    let stream = TcpStream::connect_timeout(&host, CONNECT_TIME).ok()?;
    Some(RawLink::new(stream, DEADLINE))
}

/// Returns what is wrong with an answer.
fn judge_answer(
    head: &RawHead,
    body: &RawBody,
    request: &str,
    route: SoakRoute,
    key: &str,
) -> Vec<String> {
    let mut faults = Vec::new();
    if head.header(headers::REQUEST_ID) != Some(request) {
        faults.push("another request's answer".to_owned());
    }
    match head.status() {
        200 if route.is_stream() => faults.extend(judge_stream(body, request)),
        200 => {
            let signed = head.header(headers::SIGNATURE).unwrap_or_default();
            let target = signed.split('.').next().unwrap_or_default();
            let right = signature(target, request, &body.bytes);
            if body.whole && (body.bytes != plain_body(request) || signed != right) {
                faults.push("a wrong body".to_owned());
            }
            if key == "unknown" {
                faults.push("served an unknown key".to_owned());
            }
        }
        400..=407 | 409..=420 | 422..=428 | 430..=499 => {
            let may_be = key != STEADY_KEY && key != SPENDER_KEY && head.status() == 401;
            if !may_be {
                faults.push("a proper request was denied".to_owned());
            }
        }
        _ => {}
    }
    faults
}

/// Events come in order, none is missing or doubled, and only the last one ends it.
fn judge_stream(body: &RawBody, request: &str) -> Option<String> {
    let text = String::from_utf8_lossy(&body.bytes);
    let mut expected = String::new();
    for number in 1..=EVENTS {
        expected.push_str(&stream_event(request, number));
    }
    let right = match body.whole {
        true => text == expected,
        false => expected.starts_with(text.as_ref()),
    };
    (!right).then(|| format!("a wrong stream ({text:?})"))
}
