//! What callers and targets saw, and the promises that it must keep.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::soak_routes::SoakRoute;

/// How long behind a disturbance nothing is owed that depends on calm.
const CALM_BOUND: Duration = Duration::from_secs(4);
/// How long a key may work behind its removal.
const REVOKE_BOUND: Duration = Duration::from_secs(5);
/// The window, the excess and the slack of allowances, as the settings give them.
const SPEND_WINDOW: Duration = Duration::from_secs(8);
const SPEND_OVERAGE: f64 = 0.25;
const SPEND_SLACK: f64 = 60.0;
/// The window, the ratio and the slack of repeats, as the settings give them.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
const REPEAT_RATIO: f64 = 0.2;
const REPEAT_SLACK: f64 = 40.0;
/// When a limit that a target names binds all hosts, over what window, and what may come
/// beyond it.
const LIMIT_DELAY: Duration = Duration::from_secs(3);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_OVERAGE: f64 = 0.5;
const LIMIT_SLACK: f64 = 5.0;
/// To how many targets the routes let a request be sent.
const MAX_ATTEMPTS: usize = 2;

/// How many requests show whether a route is served. Two in five are of accounts that
/// may be refused; that all twelve are so happens once in 60,000 times.
const ENOUGH_ASKED: usize = 12;

/// One request at a target.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) request: String,
    pub(crate) pool: String,
    pub(crate) target: String,
    pub(crate) account: String,
    pub(crate) at: Instant,
    /// Whether the target ran it, or refused it unrun.
    pub(crate) ran: bool,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) request: String,
    pub(crate) route: SoakRoute,
    pub(crate) host: usize,
    pub(crate) key: String,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// The status; 0 where the connection ended without an answer.
    pub(crate) status: u16,
    /// Whether the caller itself left.
    pub(crate) left: bool,
    /// Whether the whole answer came.
    pub(crate) whole: bool,
}

/// A span of time; without an end it lasts.
#[derive(Clone, Copy, Debug)]
struct TimeSpan {
    from: Instant,
    until: Option<Instant>,
}

/// A limit that a target named.
#[derive(Clone, Debug)]
struct NamedLimit {
    target: String,
    per_second: u32,
    span: TimeSpan,
}

/// What callers and targets saw.
#[derive(Default)]
pub(crate) struct SoakLedger {
    arrivals: Mutex<Vec<Arrival>>,
    requests: Mutex<Vec<SentRequest>>,
    faults: Mutex<Vec<String>>,
    disturbances: Mutex<Vec<TimeSpan>>,
    /// When the key that comes and goes did not stand in the configuration.
    key_gaps: Mutex<Vec<TimeSpan>>,
    limits: Mutex<Vec<NamedLimit>>,
}

impl TimeSpan {
    fn meets(self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

impl SoakLedger {
    pub(crate) fn note_arrival(&self, arrival: Arrival) {
        self.arrivals.lock().unwrap().push(arrival);
    }

    pub(crate) fn note_request(&self, request: SentRequest) {
        self.requests.lock().unwrap().push(request);
    }

    /// Notes a broken promise.
    pub(crate) fn note_fault(&self, fault: String) {
        self.faults.lock().unwrap().push(fault);
    }

    /// Notes that a disturbance begins, and returns its number.
    pub(crate) fn begin_disturbance(&self) -> usize {
        begin(&self.disturbances)
    }

    /// Notes that a disturbance is over.
    pub(crate) fn end_disturbance(&self, number: usize) {
        end(&self.disturbances, number);
    }

    /// Notes that the store acknowledged a configuration without the key.
    pub(crate) fn begin_key_gap(&self) -> usize {
        begin(&self.key_gaps)
    }

    /// Notes that the key stands again; from just before it is written on it may work.
    pub(crate) fn end_key_gap(&self, number: usize) {
        end(&self.key_gaps, number);
    }

    /// Notes that a target names a limit from now on, or none any more.
    pub(crate) fn note_limit(&self, target: &str, limit: Option<u32>) {
        let mut limits = self.limits.lock().unwrap();
        let now = Instant::now();
        let named = limits.iter_mut().filter(|named| named.target == target);
        for named in named {
            named.span.until.get_or_insert(now);
        }
        limits.extend(limit.map(|per_second| NamedLimit {
            target: target.to_owned(),
            per_second,
            span: TimeSpan {
                from: now,
                until: None,
            },
        }));
    }

    /// Tells whether nothing disturbed the fleet until `until`, from some seconds
    /// before `from` on.
    pub(crate) fn was_calm(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(CALM_BOUND).unwrap_or(from);
        let disturbances = self.disturbances.lock().unwrap();
        !disturbances.iter().any(|span| span.meets(from, until))
    }

    /// Returns how many requests there were, and how many had a whole answer.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let requests = self.requests.lock().unwrap();
        let whole = requests.iter().filter(|request| request.whole);
        (requests.len(), whole.count())
    }

    /// Returns every broken promise, once all is over; `hosts` of them must have served
    /// each route since `healed`.
    pub(crate) fn judge(&self, hosts: usize, healed: Instant, key: &str) -> Vec<String> {
        let mut arrivals = self.arrivals.lock().unwrap().clone();
        arrivals.sort_by(|left, right| left.request.cmp(&right.request));
        let requests = self.requests.lock().unwrap().clone();
        let mut faults = std::mem::take(&mut *self.faults.lock().unwrap());
        for request in &requests {
            let runs = runs_of(&arrivals, &request.request);
            faults.extend(judge_runs(request, &runs));
            faults.extend(self.judge_end(request, &runs));
            faults.extend(self.judge_key(request, &runs, key));
        }
        faults.extend(judge_strays(&arrivals, &requests));
        faults.extend(judge_spending(&arrivals));
        faults.extend(self.judge_limits(&arrivals));
        faults.extend(judge_repeats(&arrivals, &requests));
        faults.extend(judge_recovery(&requests, hosts, healed));
        faults
    }

    /// In calm times every request that reached a target is answered, whatever its
    /// host is told meanwhile.
    fn judge_end(&self, request: &SentRequest, runs: &[&Arrival]) -> Option<String> {
        let silent = request.status == 0 && !request.left && !runs.is_empty();
        let calm = silent && self.was_calm(request.sent, request.ended);
        calm.then(|| format!("no answer in calm times: {request:?}"))
    }

    /// In calm times a target gets no more requests than it names, over all hosts.
    fn judge_limits(&self, arrivals: &[Arrival]) -> Vec<String> {
        let limits = self.limits.lock().unwrap();
        let mut faults = Vec::new();
        for named in limits.iter() {
            let from = named.span.from + LIMIT_DELAY;
            let is_bound = |at: Instant| {
                let ended = named.span.until.is_some_and(|until| at >= until);
                at >= from && !ended
            };
            let arrived = arrivals.iter();
            let arrived = arrived.filter(|arrival| arrival.target == named.target);
            let mut times: Vec<Instant> = arrived.map(|arrival| arrival.at).collect();
            times.retain(|at| is_bound(*at) && self.was_calm(*at, *at + LIMIT_WINDOW));
            times.sort_unstable();
            let rate = f64::from(named.per_second) * (1.0 + LIMIT_OVERAGE);
            let allowed = rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
            let most = most_within(&times, LIMIT_WINDOW);
            if most as f64 > allowed {
                faults.push(format!(
                    "{most} requests in a window, allowed {allowed}: {named:?}"
                ));
            }
        }
        faults
    }

    /// A key that was taken away stops to work everywhere, until it stands again: what
    /// waited at a host's door meanwhile may run then.
    fn judge_key(&self, request: &SentRequest, runs: &[&Arrival], key: &str) -> Option<String> {
        if request.key != key || runs.is_empty() {
            return None;
        }
        let gaps = self.key_gaps.lock().unwrap();
        let revoked = gaps.iter().any(|gap| {
            let late = request.sent > gap.from + REVOKE_BOUND;
            let away = |run: &&Arrival| gap.until.is_none_or(|until| run.at < until);
            late && runs.iter().any(away)
        });
        revoked.then(|| format!("ran with a key that was taken away: {request:?}"))
    }
}

fn begin(spans: &Mutex<Vec<TimeSpan>>) -> usize {
    let mut spans = spans.lock().unwrap();
    spans.push(TimeSpan {
        from: Instant::now(),
        until: None,
    });
    spans.len() - 1
}

fn end(spans: &Mutex<Vec<TimeSpan>>, number: usize) {
    let mut spans = spans.lock().unwrap();
    spans[number].until.get_or_insert_with(Instant::now);
}

fn arrivals_of<'a>(arrivals: &'a [Arrival], request: &str) -> &'a [Arrival] {
    let from = arrivals.partition_point(|arrival| arrival.request.as_str() < request);
    let count = arrivals[from..].partition_point(|arrival| arrival.request == request);
    &arrivals[from..from + count]
}

fn runs_of<'a>(arrivals: &'a [Arrival], request: &str) -> Vec<&'a Arrival> {
    let arrivals = arrivals_of(arrivals, request).iter();
    arrivals.filter(|arrival| arrival.ran).collect()
}

/// What may run once runs once, and what is said not to have run has not.
fn judge_runs(request: &SentRequest, runs: &[&Arrival]) -> Vec<String> {
    let mut faults = Vec::new();
    let most = if request.route.is_repeatable() {
        MAX_ATTEMPTS
    } else {
        1
    };
    if runs.len() > most {
        let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        faults.push(format!(
            "ran more than {most} times: {request:?} {targets:?}"
        ));
    }
    let promised = matches!(request.status, 408 | 421 | 429 | 503);
    if promised && !runs.is_empty() {
        faults.push(format!("said not to have run: {request:?} {runs:?}"));
    }
    if request.key.starts_with("unknown") && !runs.is_empty() {
        faults.push(format!("ran without a key: {request:?}"));
    }
    faults
}

/// Nothing runs that no caller sent.
fn judge_strays(arrivals: &[Arrival], requests: &[SentRequest]) -> Vec<String> {
    let mut sent: Vec<&str> = requests
        .iter()
        .map(|request| request.request.as_str())
        .collect();
    sent.sort_unstable();
    let strays = arrivals
        .iter()
        .filter(|arrival| sent.binary_search(&arrival.request.as_str()).is_err());
    strays
        .map(|arrival| format!("nobody sent it: {arrival:?}"))
        .collect()
}

/// All hosts together keep an account's allowance.
fn judge_spending(arrivals: &[Arrival]) -> Option<String> {
    let rate = SoakRoute::SPENDER_RATE;
    let allowed = (rate * SPEND_WINDOW.as_secs_f64() + 2.0 * rate) * (1.0 + SPEND_OVERAGE);
    let spent = arrivals
        .iter()
        .filter(|arrival| arrival.ran && arrival.account == SoakRoute::SPENDER);
    let mut times: Vec<Instant> = spent.map(|arrival| arrival.at).collect();
    times.sort_unstable();
    let most = most_within(&times, SPEND_WINDOW);
    (most as f64 > allowed + SPEND_SLACK)
        .then(|| format!("{most} requests of a limited account within {SPEND_WINDOW:?}"))
}

/// All hosts together keep to the budget of repeats.
fn judge_repeats(arrivals: &[Arrival], requests: &[SentRequest]) -> Vec<String> {
    let mut faults = Vec::new();
    for pool in SoakRoute::POOLS {
        let mut repeats = Vec::new();
        for request in requests {
            let mut arrived: Vec<&Arrival> = arrivals_of(arrivals, &request.request)
                .iter()
                .filter(|arrival| arrival.pool == pool)
                .collect();
            arrived.sort_by_key(|arrival| arrival.at);
            repeats.extend(arrived.iter().skip(1).map(|arrival| arrival.at));
        }
        repeats.sort_unstable();
        let of_pool = requests
            .iter()
            .filter(|request| request.route.pool() == pool);
        let mut sent: Vec<Instant> = of_pool.map(|request| request.sent).collect();
        sent.sort_unstable();
        let most = most_within(&repeats, REPEAT_WINDOW);
        let allowed = REPEAT_RATIO * most_within(&sent, REPEAT_WINDOW) as f64 + REPEAT_SLACK;
        if most as f64 > allowed {
            faults.push(format!("{most} repeats in {pool}, allowed {allowed}"));
        }
    }
    faults
}

/// Once everything is healed, every host serves again, and every route for which it was
/// asked often enough: a few requests may all have been beyond an allowance.
fn judge_recovery(requests: &[SentRequest], hosts: usize, healed: Instant) -> Vec<String> {
    let mut faults = Vec::new();
    for host in 0..hosts {
        let late = requests
            .iter()
            .filter(|request| request.host == host && request.sent > healed);
        let late: Vec<&SentRequest> = late.collect();
        if !late.iter().any(|request| request.whole) {
            faults.push(format!("host {host} never served again"));
        }
        for route in SoakRoute::ALL {
            let of_route = late.iter().filter(|request| request.route == route);
            let (asked, served) = (
                of_route.clone().count(),
                of_route.filter(|request| request.whole).count(),
            );
            if asked >= ENOUGH_ASKED && served == 0 {
                faults.push(format!("host {host} never served {route:?} again"));
            }
        }
    }
    faults
}

/// Returns how many of the sorted `times` lie within one window at most.
fn most_within(times: &[Instant], window: Duration) -> usize {
    let counts = times.iter().enumerate().map(|(index, from)| {
        let rest = &times[index..];
        rest.partition_point(|time| time.duration_since(*from) < window)
    });
    counts.max().unwrap_or(0)
}
