//! A target that proves whose answer it gave, and misbehaves when told so.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::platform_standin::headers;
use super::raw_link::RawHead;
use super::raw_link::RawLink;
use super::soak_ledger::Arrival;
use super::soak_ledger::SoakLedger;
use super::soak_routes::SoakRoute;

/// How many requests run at once, and how many more wait before others are refused.
pub(crate) const SLOTS: usize = 4;
const QUEUE: usize = 2;
/// How many events a stream has, and the pause between them.
pub(crate) const EVENTS: u32 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// How long a plain request runs.
const RUN_TIME: Duration = Duration::from_millis(15);
/// How much longer everything takes at a slow target.
const SLOWNESS: u32 = 8;
/// How long a kept connection may be idle.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// How long a target that says nothing goes on saying nothing.
const MUTE_TIME: Duration = Duration::from_secs(5);

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum TargetMode {
    /// As it should.
    #[default]
    Sound,
    /// Takes much longer.
    Slow,
    /// Runs requests and never answers.
    Mute,
    /// Refuses everything unrun.
    Full,
    /// Runs requests and cuts the answer in its middle.
    Cutting,
    /// Runs requests and sends bytes that are no answer.
    Garbling,
    /// Sends a second answer behind each whole one.
    Doubling,
    /// Runs requests and answers 500.
    Failing,
}

/// Who a target is in its present life.
#[derive(Clone, Debug)]
pub(crate) struct TargetIdentity {
    pub(crate) name: String,
    pub(crate) pool: String,
}

struct TargetShared {
    identity: Mutex<TargetIdentity>,
    mode: Mutex<TargetMode>,
    /// How many requests per second it says that it takes.
    limit: Mutex<Option<u32>>,
    busy: AtomicUsize,
    ledger: Arc<SoakLedger>,
}

/// A target that runs in this process until it ends.
#[derive(Clone)]
pub(crate) struct SoakTarget {
    pub(crate) address: SocketAddr,
    shared: Arc<TargetShared>,
}

/// Counts a request for as long as it is served.
struct BusyGuard<'a>(&'a AtomicUsize);

impl SoakTarget {
    /// Starts a target.
    pub(crate) fn spawn(identity: TargetIdentity, ledger: Arc<SoakLedger>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::new(TargetShared {
                identity: Mutex::new(identity),
                mode: Mutex::default(),
                limit: Mutex::default(),
                busy: AtomicUsize::new(0),
                ledger,
            }),
        };
        let shared = Arc::clone(&target.shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        target
    }

    /// Lets it be somebody else from now on, at the same address.
    pub(crate) fn set_identity(&self, identity: TargetIdentity) {
        *self.shared.identity.lock().unwrap() = identity;
    }

    /// Lets it behave so from now on.
    pub(crate) fn set_mode(&self, mode: TargetMode) {
        *self.shared.mode.lock().unwrap() = mode;
    }

    /// Lets it name a limit from now on, or none; returns its present name.
    pub(crate) fn set_limit(&self, limit: Option<u32>) -> String {
        *self.shared.limit.lock().unwrap() = limit;
        self.shared.identity.lock().unwrap().name.clone()
    }
}

/// Returns the header line of a limit.
fn limit_line(limit: Option<u32>) -> String {
    limit.map_or_else(String::new, |limit| {
        format!("{}: {limit}.0\r\n", headers::REQUEST_LIMIT)
    })
}

/// Returns what proves that `target` answered `request` with `body`.
pub(crate) fn signature(target: &str, request: &str, body: &[u8]) -> String {
    let sum = body.iter().fold(0_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*byte))
    });
    format!("{target}.{request}.{sum:x}")
}

/// Returns the whole answer of a plain request.
pub(crate) fn plain_body(request: &str) -> Vec<u8> {
    format!("{request} ").repeat(20).into_bytes()
}

/// Returns one event of a stream.
pub(crate) fn stream_event(request: &str, number: u32) -> String {
    format!("id: {number}\ndata: {request} {number} of {EVENTS}\n\n")
}

impl TargetShared {
    fn serve(&self, stream: TcpStream) {
        let mut link = RawLink::new(stream, IDLE_TIME);
        loop {
            link.deadline = Instant::now() + IDLE_TIME;
            let Ok(Some(head)) = link.read_head() else {
                return;
            };
            if !link.read_body(&head).whole || !self.serve_request(&mut link, &head) {
                return;
            }
        }
    }

    /// Serves one request; returns whether the connection goes on.
    fn serve_request(&self, link: &mut RawLink, head: &RawHead) -> bool {
        let identity = self.identity.lock().unwrap().clone();
        let mode = *self.mode.lock().unwrap();
        let limit = limit_line(*self.limit.lock().unwrap());
        let request = head.header(headers::REQUEST_ID).unwrap_or_default();
        self.judge_request(head, &identity);
        let meant = head.header(headers::TARGET);
        if meant.is_some_and(|meant| meant != identity.name) {
            return refuse(link, request, 421, "");
        }
        let busy = BusyGuard::enter(&self.busy);
        let full = busy.count() > SLOTS + QUEUE || mode == TargetMode::Full;
        self.ledger.note_arrival(Arrival {
            request: request.to_owned(),
            pool: identity.pool.clone(),
            target: identity.name.clone(),
            account: head.header(headers::ACCOUNT).unwrap_or_default().to_owned(),
            at: Instant::now(),
            ran: !full,
        });
        if full {
            return refuse(link, request, 503, &limit);
        }
        let slower = if mode == TargetMode::Slow {
            SLOWNESS
        } else {
            1
        };
        match mode {
            TargetMode::Mute => {
                thread::sleep(MUTE_TIME);
                false
            }
            TargetMode::Garbling => {
                link.write("%%% no answer %%%\r\n\r\n").ok();
                false
            }
            TargetMode::Failing => {
                let body = "failed";
                let answer = plain_answer(&identity.name, request, 500, body.as_bytes(), &limit);
                link.write(&answer).is_ok()
            }
            _ if SoakRoute::of_path(head.word(1)).is_some_and(SoakRoute::is_stream) => {
                let pause = EVENT_PAUSE * slower;
                self.serve_stream(link, head, &identity.name, mode, pause, &limit)
            }
            _ => {
                thread::sleep(RUN_TIME * slower);
                serve_plain(link, request, &identity.name, mode, &limit)
            }
        }
    }

    /// Notes a request that no host may send so.
    fn judge_request(&self, head: &RawHead, identity: &TargetIdentity) {
        let note = |what: &str| {
            let fault = format!("{what}: {head:?} at {identity:?}");
            self.ledger.note_fault(fault);
        };
        if head.header("authorization").is_some() {
            note("the key was passed on");
        }
        if head.header(headers::DEADLINE_MS).is_none() {
            note("no deadline");
        }
        if head.header(headers::TARGET).is_none() {
            note("no target named");
        }
        let named = head.header(headers::TARGET) == Some(identity.name.as_str());
        let route = SoakRoute::of_path(head.word(1));
        if named && route.is_none_or(|route| route.pool() != identity.pool) {
            note("another pool's request");
        }
    }

    fn serve_stream(
        &self,
        link: &mut RawLink,
        head: &RawHead,
        target: &str,
        mode: TargetMode,
        pause: Duration,
        limit: &str,
    ) -> bool {
        let request = head.header(headers::REQUEST_ID).unwrap_or_default();
        let after = head.header(headers::LAST_EVENT_ID);
        let first = after.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        let opening = format!(
            "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {}\r\n{limit}\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            headers::REQUEST_ID,
            headers::SIGNATURE,
            signature(target, request, b""),
        );
        if link.write(&opening).is_err() {
            return false;
        }
        for number in first..=EVENTS {
            thread::sleep(pause);
            let event = stream_event(request, number);
            if mode == TargetMode::Cutting && number > EVENTS / 2 {
                // Half an event, and nothing of its end.
                let half = &event[..event.len() / 2];
                link.write(&format!("{:x}\r\n{half}\r\n", half.len())).ok();
                return false;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if link.write(&chunk).is_err() {
                return false;
            }
        }
        link.write("0\r\n\r\n").is_ok()
    }
}

fn serve_plain(
    link: &mut RawLink,
    request: &str,
    target: &str,
    mode: TargetMode,
    limit: &str,
) -> bool {
    let answer = plain_answer(target, request, 200, &plain_body(request), limit);
    match mode {
        TargetMode::Cutting => {
            link.write(&answer[..answer.len() - 40]).ok();
            false
        }
        TargetMode::Doubling => link.write(&answer.repeat(2)).is_ok(),
        _ => link.write(&answer).is_ok(),
    }
}

fn plain_answer(target: &str, request: &str, status: u16, body: &[u8], limit: &str) -> String {
    format!(
        "HTTP/1.1 {status} Answer\r\n{}: {request}\r\n{}: {}\r\n{limit}Keep-Alive: timeout=4\r\n\
         Content-Length: {}\r\n\r\n{}",
        headers::REQUEST_ID,
        headers::SIGNATURE,
        signature(target, request, body),
        body.len(),
        String::from_utf8_lossy(body),
    )
}

/// Refuses a request unrun.
fn refuse(link: &mut RawLink, request: &str, status: u16, limit: &str) -> bool {
    let answer = format!(
        "HTTP/1.1 {status} Refused\r\n{}: {request}\r\n{}: 1\r\n{limit}Content-Length: 0\r\n\r\n",
        headers::REQUEST_ID,
        headers::NOT_RUN,
    );
    link.write(&answer).is_ok()
}

impl<'a> BusyGuard<'a> {
    fn enter(busy: &'a AtomicUsize) -> Self {
        busy.fetch_add(1, Ordering::AcqRel);
        Self(busy)
    }

    fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
