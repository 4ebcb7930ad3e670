//! Requests that crash the targets that run them, and callers that send them again and again.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::platform_standin::headers;
use super::raw_link::RawLink;
use super::soak_caller::PERMANENT_KEY;
use super::soak_history::SentRequest;
use super::soak_history::SoakHistory;
use super::soak_routes::SoakRoute;
use super::soak_target::without_framing;

/// Deadline of each request, and how long its caller waits.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Pause before a request is sent again, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 250..900;
/// Share of the requests that are sent again at once and to the same host.
const AT_ONCE_SHARE: f64 = 0.3;
/// Number of targets that one request may crash.
const MAX_CRASHED: usize = 3;
/// What the ids and bodies of such requests start with.
const PREFIX: &str = "poison";

/// The point of a response at which a target crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CrashPoint {
    BeforeHead,
    InHead,
    AfterHead,
    InBody,
    InEvent,
    BetweenUnframedEvents,
    InUnframedEvent,
}

impl CrashPoint {
    pub(crate) const ALL: [Self; 7] = [
        Self::BeforeHead,
        Self::InHead,
        Self::AfterHead,
        Self::InBody,
        Self::InEvent,
        Self::BetweenUnframedEvents,
        Self::InUnframedEvent,
    ];

    /// Positions in [`CrashPoint::ALL`] of the points in responses with and without a length.
    pub(crate) const FRAMED: Range<usize> = 0..5;
    pub(crate) const UNFRAMED: Range<usize> = 5..7;

    /// Returns the point that the body of a request names; `None` for other requests.
    pub(crate) fn from_body(body: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(body).ok()?.strip_prefix(PREFIX)?;
        let number: usize = text.rsplit(' ').next()?.parse().ok()?;
        Some(Self::ALL[number % Self::ALL.len()])
    }

    /// Returns the part of the response `head` and of an event that is sent before the crash.
    pub(crate) fn partial_response(self, head: &str, event: &str) -> String {
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        match self {
            Self::BeforeHead => String::new(),
            Self::InHead => head[..head.len() / 2].to_owned(),
            Self::AfterHead => head.to_owned(),
            Self::InBody => format!("{head}{chunk}"),
            Self::InEvent => format!("{head}{chunk}{}", &chunk[..chunk.len() / 2]),
            Self::BetweenUnframedEvents => format!("{}{event}", without_framing(head)),
            Self::InUnframedEvent => {
                format!(
                    "{}{event}{}",
                    without_framing(head),
                    &event[..event.len() / 2]
                )
            }
        }
    }
}

/// The crash of a target by a request.
#[derive(Clone, Debug)]
pub(crate) struct TargetCrash {
    pub(crate) request: String,
    pub(crate) target: String,
}

/// A caller that sends one crashing request again and again, under new ids.
pub(crate) struct PoisonCaller {
    pub(crate) name: String,
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) history: Arc<SoakHistory>,
    pub(crate) stop: Arc<AtomicBool>,
    /// The crash points, as positions in [`CrashPoint::ALL`], of which it draws one.
    pub(crate) points: Range<usize>,
}

impl PoisonCaller {
    /// Sends the request until stopped.
    pub(crate) fn run(mut self) {
        let route = SoakRoute::ALL[self.rng.random_range(0..SoakRoute::ALL.len())];
        let point = self.rng.random_range(0..self.points.len());
        let point = self.points.start + point;
        let body = format!("{PREFIX} {} {point}", self.name);
        let mut count = 0;
        let mut host = 0;
        while !self.stop.load(Ordering::Acquire) {
            if count == 0 || !self.rng.random_bool(AT_ONCE_SHARE) {
                let pause = self.rng.random_range(PAUSE_MS);
                std::thread::sleep(Duration::from_millis(pause));
                host = self.rng.random_range(0..self.hosts.len());
            }
            count += 1;
            let request = format!("{PREFIX}-{}-{count}", self.name);
            let sent = Instant::now();
            let status = call(self.hosts[host], route, &request, &body, "");
            self.history.record_request(SentRequest {
                request,
                route,
                host,
                key: PERMANENT_KEY.to_owned(),
                sent,
                ended: Instant::now(),
                status,
                // Requests that crash targets are not owed an answer.
                abandoned: true,
                complete: false,
            });
        }
    }
}

/// Sends one request with `more` header lines; returns the status, or 0 without a complete answer.
pub(crate) fn call(
    host: SocketAddr,
    route: SoakRoute,
    request: &str,
    body: &str,
    more: &str,
) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&host, DEADLINE) else {
        return 0;
    };
    let mut link = RawLink::new(stream, DEADLINE);
    link.deadline = Instant::now() + DEADLINE;
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: soak.example\r\n{}: {request}\r\n{}: {}\r\n\
         Authorization: {} {PERMANENT_KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        route.path(),
        headers::REQUEST_ID,
        headers::DEADLINE_MS,
        DEADLINE.as_millis(),
        headers::KEY_SCHEME,
        body.len(),
    );
    if link.write(&text).is_err() {
        return 0;
    }
    let Ok(Some(head)) = link.read_head() else {
        return 0;
    };
    match link.read_body(&head).complete {
        true => head.status(),
        false => 0,
    }
}

/// Checks that each request crashes few targets, whenever in a response they crash.
pub(crate) fn check_crashes(crashes: &[TargetCrash]) -> Vec<String> {
    let caller_of = |crash: &TargetCrash| {
        let id = crash.request.rsplit_once('-');
        id.map_or_else(String::new, |(caller, _)| caller.to_owned())
    };
    let mut callers: Vec<String> = crashes.iter().map(caller_of).collect();
    callers.sort();
    callers.dedup();
    let broken = callers.into_iter().filter_map(|caller| {
        let of_caller = crashes.iter().filter(|crash| caller_of(crash) == caller);
        let targets: Vec<&str> = of_caller.map(|crash| crash.target.as_str()).collect();
        let is_broken = targets.len() > MAX_CRASHED;
        is_broken.then(|| format!("{caller} crashed {} targets: {targets:?}", targets.len()))
    });
    broken.collect()
}
