//! A target with signed answers and configurable misbehaviour.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::platform_standin::headers;
use super::platform_standin::kept_parts;
use super::raw_link::RawHead;
use super::raw_link::RawLink;
use super::rejoin_streams::REJOIN_EVENTS;
use super::rejoin_streams::StreamRun;
use super::rejoin_streams::names_run;
use super::soak_history::RequestArrival;
use super::soak_history::SoakHistory;
use super::soak_parts::crashing_part;
use super::soak_poison::CrashPoint;
use super::soak_poison::TargetCrash;
use super::soak_routes::SoakRoute;
use super::soak_statements::StatementKind;
use super::soak_statements::TargetStatement;
use super::soak_versions::event_data;
use super::soak_versions::names_version;

/// Number of concurrent requests, and of further ones that are accepted before others are refused.
pub(crate) const SLOTS: usize = 4;
const QUEUE_LENGTH: usize = 2;
/// Number of events in a stream, and the pause before each.
pub(crate) const EVENTS: u32 = 8;
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// The same for streams that are taken up again through releases.
const REJOIN_EVENT_PAUSE: Duration = Duration::from_millis(70);
/// Events before the requested one with which a resume begins that goes back too far.
const EARLY_EVENTS: u32 = 2;
/// Execution time of a plain request.
const EXECUTION_TIME: Duration = Duration::from_millis(15);
/// Factor by which a slow target takes longer.
const SLOWDOWN: u32 = 8;
/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an unresponsive target holds a request before it closes the connection.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(5);

/// Time until a target restarts after a crash, and the pause between attempts to bind its address.
const RESTART_TIME: Duration = Duration::from_millis(2500);
const REBIND_PAUSE: Duration = Duration::from_millis(50);

/// How long an overloaded target asks for no requests.
const PAUSE: Duration = Duration::from_secs(2);

/// Numbers of stream runs and of target processes.
static NEXT_RUN: AtomicU64 = AtomicU64::new(1);
static NEXT_EPOCH: AtomicU64 = AtomicU64::new(1);

/// Behaviour of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum TargetMode {
    /// Answers correctly.
    #[default]
    Healthy,
    /// Takes much longer.
    Slow,
    /// Executes requests and never answers.
    Unresponsive,
    /// Refuses all requests without executing them.
    Overloaded,
    /// Executes requests and closes the connection in the middle of the answer.
    Truncating,
    /// Executes requests and sends bytes that are not an HTTP answer.
    Malformed,
    /// Sends each answer twice.
    Duplicating,
    /// Executes requests and answers 500.
    Failing,
    /// Answers correctly, without a length: the end of the connection ends the answer.
    Unframed,
    /// The same, and breaks answers off: streams by a close inside an event, others by a reset.
    UnframedTorn,
    /// The same, and breaks answers off by a reset, streams between two events.
    UnframedReset,
    /// Sends the first event of a resumed stream twice.
    RepeatingResume,
    /// Resumes streams from an earlier event than was requested.
    EarlyResume,
}

impl TargetMode {
    /// Returns whether answers have no length and end with the connection.
    const fn is_unframed(self) -> bool {
        matches!(
            self,
            Self::Unframed | Self::UnframedTorn | Self::UnframedReset
        )
    }
}

/// Current name and pool of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetIdentity {
    pub(crate) name: String,
    pub(crate) pool: String,
    /// Version of its software.
    pub(crate) version: String,
}

struct TargetShared {
    identity: Mutex<TargetIdentity>,
    mode: Mutex<TargetMode>,
    /// The limit that it announces, in requests per second.
    limit: Mutex<Option<u32>>,
    /// The rejections in a second after which it falls over, and those of the last second.
    brittle: Mutex<Option<usize>>,
    rejections: Mutex<Vec<Instant>>,
    /// Whether it states that it is leaving.
    leaving: AtomicBool,
    busy: AtomicUsize,
    /// Whether it has crashed and not restarted yet, and whether its process has ended for good.
    crashed: AtomicBool,
    stopped: AtomicBool,
    /// The prompts whose parts it keeps, and the number of its process.
    prompts: Mutex<Vec<String>>,
    epoch: u64,
    /// Its listener and its open connections, which a crash closes.
    listener: Mutex<Option<TcpListener>>,
    connections: Mutex<Vec<Weak<TcpStream>>>,
    address: SocketAddr,
    history: Arc<SoakHistory>,
}

/// A target that runs inside the test process until it exits.
#[derive(Clone)]
pub(crate) struct SoakTarget {
    pub(crate) address: SocketAddr,
    shared: Arc<TargetShared>,
}

/// Counts a request as in progress until dropped.
struct BusyGuard<'a>(&'a AtomicUsize);

impl SoakTarget {
    /// Starts a target.
    pub(crate) fn spawn(identity: TargetIdentity, history: Arc<SoakHistory>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self {
            address,
            shared: Arc::new(TargetShared {
                identity: Mutex::new(identity),
                mode: Mutex::default(),
                limit: Mutex::default(),
                brittle: Mutex::default(),
                rejections: Mutex::default(),
                leaving: AtomicBool::new(false),
                busy: AtomicUsize::new(0),
                crashed: AtomicBool::new(false),
                stopped: AtomicBool::new(false),
                prompts: Mutex::default(),
                epoch: NEXT_EPOCH.fetch_add(1, Ordering::Relaxed),
                listener: Mutex::default(),
                connections: Mutex::default(),
                address,
                history,
            }),
        };
        let shared = Arc::clone(&target.shared);
        thread::spawn(move || shared.accept(listener));
        target
    }

    /// Changes the target's name and pool, as a new process at the same address does.
    pub(crate) fn set_identity(&self, identity: TargetIdentity) {
        self.shared.leaving.store(false, Ordering::Release);
        *self.shared.identity.lock().unwrap() = identity;
    }

    /// Ends the target's process: it refuses connections and closes the open ones.
    pub(crate) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.crash();
    }

    /// Lets the target state in all its answers that it is leaving.
    pub(crate) fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Release);
    }

    /// Sets the target's behaviour.
    pub(crate) fn set_mode(&self, mode: TargetMode) {
        *self.shared.mode.lock().unwrap() = mode;
    }

    /// Lets the target fall over after more than `rejections` in a second, and state it.
    pub(crate) fn set_brittle(&self, rejections: Option<usize>) {
        *self.shared.brittle.lock().unwrap() = rejections;
    }

    /// Sets the announced limit, or removes it; returns the target's current name.
    pub(crate) fn set_limit(&self, limit: Option<u32>) -> String {
        *self.shared.limit.lock().unwrap() = limit;
        self.shared.identity.lock().unwrap().name.clone()
    }
}

/// Returns the header line that announces a limit, or an empty string.
fn limit_line(limit: Option<u32>) -> String {
    limit.map_or_else(String::new, |limit| {
        format!("{}: {limit}.0\r\n", headers::REQUEST_LIMIT)
    })
}

/// Returns the signature that binds an answer to its target, request and body.
pub(crate) fn signature(target: &str, request: &str, body: &[u8]) -> String {
    let sum = body.iter().fold(0_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*byte))
    });
    format!("{target}.{request}.{sum:x}")
}

/// Returns the complete body of the answer to a plain request.
pub(crate) fn plain_body(request: &str) -> Vec<u8> {
    format!("{request} ").repeat(20).into_bytes()
}

/// Returns one event of a stream.
pub(crate) fn stream_event(request: &str, number: u32) -> String {
    event_data(request, number, "")
}

impl TargetShared {
    /// Serves connections, through crashes and restarts.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            let open = listener.take().unwrap_or_else(|| self.restart());
            *self.listener.lock().unwrap() = open.try_clone().ok();
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            for stream in open.incoming() {
                if self.crashed.load(Ordering::Acquire) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                let Ok(held) = stream.try_clone().map(Arc::new) else {
                    continue;
                };
                self.hold_connection(&held);
                let shared = Arc::clone(&self);
                thread::spawn(move || {
                    shared.serve(stream);
                    drop(held);
                });
            }
        }
    }

    fn hold_connection(&self, connection: &Arc<TcpStream>) {
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|held| held.strong_count() > 0);
        connections.push(Arc::downgrade(connection));
    }

    /// Refuses connections and closes the open ones, as the end of the process does.
    fn crash(&self) {
        self.crashed.store(true, Ordering::Release);
        // No new connection may be established once others are closed, however long the thread
        // that waits for it takes to end.
        if let Some(listener) = self.listener.lock().unwrap().take() {
            rustix::net::shutdown(&listener, rustix::net::Shutdown::Both).ok();
        }
        let connections = std::mem::take(&mut *self.connections.lock().unwrap());
        for connection in connections.iter().filter_map(Weak::upgrade) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    /// Waits until the target restarts at its address after a crash.
    fn restart(&self) -> TcpListener {
        let disturbance = self.history.begin_disturbance();
        thread::sleep(RESTART_TIME);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(REBIND_PAUSE),
            }
        };
        self.crashed.store(false, Ordering::Release);
        self.history.end_disturbance(disturbance);
        listener
    }

    fn serve(&self, stream: TcpStream) {
        let mut link = RawLink::new(stream, IDLE_TIMEOUT);
        loop {
            link.deadline = Instant::now() + IDLE_TIMEOUT;
            let Ok(Some(head)) = link.read_head() else {
                return;
            };
            if head.first_line_part(1) == headers::KEPT_PARTS_PATH {
                if self.list_parts(&mut link).is_err() {
                    return;
                }
                continue;
            }
            let body = link.read_body(&head);
            let crash_point = CrashPoint::from_body(&body.bytes);
            let crash_point =
                crash_point.or_else(|| crashing_part(&head).map(|_| CrashPoint::InBody));
            if !body.complete || !self.serve_request(&mut link, &head, crash_point) {
                return;
            }
        }
    }

    /// Answers with the parts of the prompts that the target began to run.
    fn list_parts(&self, link: &mut RawLink) -> std::io::Result<()> {
        let body = kept_parts(self.epoch, &self.prompts.lock().unwrap()).to_string();
        link.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    /// Keeps the parts of a prompt as long as the process lives.
    fn keep_parts(&self, head: &RawHead) {
        if let Some(prompt) = head.header(headers::PROMPT_PARTS) {
            self.prompts.lock().unwrap().push(prompt.to_owned());
        }
    }

    /// Serves one request; returns whether the connection stays open.
    fn serve_request(
        &self,
        link: &mut RawLink,
        head: &RawHead,
        crash_point: Option<CrashPoint>,
    ) -> bool {
        let identity = self.identity.lock().unwrap().clone();
        let mode = *self.mode.lock().unwrap();
        let mut limit = limit_line(*self.limit.lock().unwrap());
        let brittle = *self.brittle.lock().unwrap();
        if let Some(rejections) = brittle {
            limit.push_str(&format!("{}: {rejections}\r\n", headers::BRITTLE));
        }
        let request = head.header(headers::REQUEST_ID).unwrap_or_default();
        let state = |kind: StatementKind| {
            self.history.record_statement(TargetStatement {
                request: request.to_owned(),
                target: identity.name.clone(),
                kind,
                at: Instant::now(),
            });
        };
        if self.leaving.load(Ordering::Acquire) {
            limit.push_str(&format!("{}: 1\r\n", headers::LEAVING));
            state(StatementKind::Leaving);
        }
        self.check_request(head, &identity);
        let intended = head.header(headers::TARGET);
        if intended.is_some_and(|intended| intended != identity.name) {
            return refuse(link, request, 421, "");
        }
        let busy = BusyGuard::enter(&self.busy);
        // A brittle target lets no request wait.
        let room = match brittle {
            Some(_) => SLOTS,
            None => SLOTS + QUEUE_LENGTH,
        };
        let overloaded = busy.count() > room || mode == TargetMode::Overloaded;
        self.history.record_arrival(RequestArrival {
            request: request.to_owned(),
            pool: identity.pool.clone(),
            target: identity.name.clone(),
            account: head.header(headers::ACCOUNT).unwrap_or_default().to_owned(),
            at: Instant::now(),
            ran: !overloaded,
        });
        if overloaded && brittle.is_some() {
            let kept = refuse(link, request, 503, &limit);
            return !self.falls_over(brittle) && kept;
        }
        if overloaded {
            limit.push_str(&format!("Retry-After: {}\r\n", PAUSE.as_secs()));
            state(StatementKind::Pause(PAUSE));
            return refuse(link, request, 503, &limit);
        }
        if let Some(point) = crash_point {
            thread::sleep(EXECUTION_TIME);
            match crashing_part(head) {
                Some(part) => self.history.record_part_crash(part),
                None => self.history.record_crash(TargetCrash {
                    request: request.to_owned(),
                    target: identity.name.clone(),
                }),
            }
            let opening = stream_head(&identity.name, request, &limit);
            let partial = point.partial_response(&opening, &stream_event(request, 1));
            link.write(&partial).ok();
            thread::sleep(EXECUTION_TIME);
            self.crash();
            return false;
        }
        let slowdown = if mode == TargetMode::Slow {
            SLOWDOWN
        } else {
            1
        };
        match mode {
            TargetMode::Unresponsive => {
                thread::sleep(UNRESPONSIVE_TIME);
                false
            }
            TargetMode::Malformed => {
                link.write("%%% no answer %%%\r\n\r\n").ok();
                false
            }
            TargetMode::Failing => {
                let body = "failed";
                let answer = plain_answer(&identity.name, request, 500, body.as_bytes(), &limit);
                link.write(&answer).is_ok()
            }
            _ if SoakRoute::from_path(head.first_line_part(1))
                .is_some_and(SoakRoute::is_stream) =>
            {
                let pause = EVENT_PAUSE * slowdown;
                self.serve_stream(link, head, &identity, mode, pause, &limit)
            }
            _ => {
                thread::sleep(EXECUTION_TIME * slowdown);
                serve_plain(link, request, &identity.name, mode, &limit)
            }
        }
    }

    /// Records a rejection; returns whether the target falls over, as it does in that case.
    fn falls_over(&self, brittle: Option<usize>) -> bool {
        let now = Instant::now();
        let mut rejections = self.rejections.lock().unwrap();
        rejections.retain(|at| now - *at < Duration::from_secs(1));
        rejections.push(now);
        let falls = brittle.is_some_and(|most| rejections.len() > most);
        if falls {
            rejections.clear();
            self.history.record_fall();
            self.crash();
        }
        falls
    }

    /// Records violations in the head of a request from a host.
    fn check_request(&self, head: &RawHead, identity: &TargetIdentity) {
        let report = |problem: &str| {
            let violation = format!("{problem}: {head:?} at {identity:?}");
            self.history.record_violation(violation);
        };
        if head.header("authorization").is_some() {
            report("the caller's key was forwarded");
        }
        if head.header(headers::DEADLINE_MS).is_none() {
            report("missing deadline");
        }
        if head.header(headers::TARGET).is_none() {
            report("missing target name");
        }
        let is_addressed = head.header(headers::TARGET) == Some(identity.name.as_str());
        let route = SoakRoute::from_path(head.first_line_part(1));
        if is_addressed && route.is_none_or(|route| route.pool() != identity.pool) {
            report("request for another pool");
        }
    }

    fn serve_stream(
        &self,
        link: &mut RawLink,
        head: &RawHead,
        target: &TargetIdentity,
        mode: TargetMode,
        pause: Duration,
        limit: &str,
    ) -> bool {
        let request = head.header(headers::REQUEST_ID).unwrap_or_default();
        let after = head.header(headers::LAST_EVENT_ID);
        let first = after.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        let opening = stream_head(&target.name, request, limit);
        let opening = match mode.is_unframed() {
            true => without_framing(&opening),
            false => opening,
        };
        if link.write(&opening).is_err() {
            return false;
        }
        // Callers that compare versions get the rest of a stream.
        let is_rest = after.is_some() && names_version(request);
        let run = StreamRun {
            version: target.version.clone(),
            target: target.name.clone(),
            number: NEXT_RUN.fetch_add(1, Ordering::Relaxed),
            after: first - 1,
        };
        let events = match names_run(request) {
            true => REJOIN_EVENTS,
            false => EVENTS,
        };
        // Such streams break off at any event.
        let break_at = first + run.number as u32 % (events.max(first) - first + 1);
        let is_resumed = after.is_some();
        let begin = match mode == TargetMode::EarlyResume && is_resumed {
            true => first.saturating_sub(EARLY_EVENTS).max(1),
            false => first,
        };
        let pause = match names_run(request) {
            true => REJOIN_EVENT_PAUSE,
            false => pause,
        };
        for number in begin..=events {
            thread::sleep(pause);
            if number == begin {
                self.keep_parts(head);
            }
            let may_break = match names_run(request) {
                true => number >= break_at,
                false => number > EVENTS / 2 && !is_rest,
            };
            let mut event = match names_run(request) {
                true => run.event(request, number),
                false => event_data(request, number, &target.version),
            };
            if mode == TargetMode::RepeatingResume && is_resumed && number == begin {
                event = event.repeat(2);
            }
            if mode.is_unframed() {
                let is_broken_off = mode != TargetMode::Unframed && may_break;
                if is_broken_off && mode == TargetMode::UnframedReset {
                    link.reset();
                    return false;
                }
                let sent = if is_broken_off {
                    event.len() / 2
                } else {
                    event.len()
                };
                if link.write(&event[..sent]).is_err() || is_broken_off {
                    return false;
                }
                continue;
            }
            if mode == TargetMode::Truncating && may_break {
                // Sends half an event and no terminating chunk.
                let half = &event[..event.len() / 2];
                link.write(&format!("{:x}\r\n{half}\r\n", half.len())).ok();
                return false;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if link.write(&chunk).is_err() {
                return false;
            }
        }
        !mode.is_unframed() && link.write("0\r\n\r\n").is_ok()
    }
}

/// Returns the head of an answer without the fields that declare its end.
pub(crate) fn without_framing(head: &str) -> String {
    head.split_inclusive("\r\n")
        .filter(|line| {
            !line.starts_with("Transfer-Encoding") && !line.starts_with("Content-Length")
        })
        .collect()
}

/// Returns the head of a streamed answer.
fn stream_head(target: &str, request: &str, limit: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {}\r\n{limit}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        headers::REQUEST_ID,
        headers::SIGNATURE,
        signature(target, request, b""),
    )
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
        TargetMode::Truncating => {
            link.write(&answer[..answer.len() - 40]).ok();
            false
        }
        TargetMode::Duplicating => link.write(&answer.repeat(2)).is_ok(),
        TargetMode::Unframed => {
            link.write(&without_framing(&answer)).ok();
            false
        }
        TargetMode::UnframedTorn | TargetMode::UnframedReset => {
            let answer = without_framing(&answer);
            link.write(&answer[..answer.len() - 40]).ok();
            link.reset();
            false
        }
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

/// Refuses a request without executing it.
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
