//! What callers and targets observed, and the guarantees that are checked against it.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::rejoin_serving::ServingLog;
use super::soak_crowds::HostCrowd;
use super::soak_crowds::check_crowds;
use super::soak_leaving::AnnouncedLeaving;
use super::soak_leaving::check_leaving;
use super::soak_parts::PartCrash;
use super::soak_parts::PartRecord;
use super::soak_paths::HostCut;
use super::soak_paths::check_cuts;
use super::soak_poison::TargetCrash;
use super::soak_poison::check_crashes;
use super::soak_routes::SoakRoute;
use super::soak_statements::HostInterruption;
use super::soak_statements::StatementRecord;
use super::soak_statements::TargetStatement;

/// Time after a disturbance during which guarantees for undisturbed fleets do not apply.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// How long a key may be accepted after its removal.
const KEY_REVOCATION_LIMIT: Duration = Duration::from_secs(5);
/// Window, permitted excess and slack of account quotas, as in the settings.
const QUOTA_WINDOW: Duration = Duration::from_secs(8);
const QUOTA_OVERAGE: f64 = 0.25;
const QUOTA_SLACK: f64 = 60.0;
/// Window, ratio and slack of the retry budget, as in the settings.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 40.0;
/// Time until a limit announced by a target applies to all hosts, the window over which it is
/// checked, and the permitted excess.
const TARGET_LIMIT_DELAY: Duration = Duration::from_secs(3);
const TARGET_LIMIT_WINDOW: Duration = Duration::from_secs(4);
const TARGET_LIMIT_OVERAGE: f64 = 0.5;
const TARGET_LIMIT_SLACK: f64 = 5.0;
/// Maximum number of targets that the routes allow for a request.
const MAX_ATTEMPTS: usize = 2;

/// Number of requests after which a route must have been served at least once. Two in five requests
/// come from accounts that may be refused; the probability that all twelve do is 1 in 60,000.
const MIN_ROUTE_REQUESTS: usize = 12;

/// A request as received by a target.
#[derive(Clone, Debug)]
pub(crate) struct RequestArrival {
    pub(crate) request: String,
    pub(crate) pool: String,
    pub(crate) target: String,
    pub(crate) account: String,
    pub(crate) at: Instant,
    /// Whether the target executed the request or refused it.
    pub(crate) ran: bool,
}

/// A request as observed by its caller.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) request: String,
    pub(crate) route: SoakRoute,
    pub(crate) host: usize,
    pub(crate) key: String,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// The status, or 0 if the connection closed without a complete answer.
    pub(crate) status: u16,
    /// Whether the caller closed the connection before the answer.
    pub(crate) abandoned: bool,
    /// Whether the answer was complete.
    pub(crate) complete: bool,
}

/// A time span; without an end it is still open.
#[derive(Clone, Copy, Debug)]
struct TimeSpan {
    from: Instant,
    until: Option<Instant>,
}

/// A limit that a target announced.
#[derive(Clone, Debug)]
struct AnnouncedLimit {
    target: String,
    per_second: u32,
    span: TimeSpan,
}

/// Everything that callers and targets observed in a soak.
#[derive(Default)]
pub(crate) struct SoakHistory {
    arrivals: Mutex<Vec<RequestArrival>>,
    requests: Mutex<Vec<SentRequest>>,
    violations: Mutex<Vec<String>>,
    disturbances: Mutex<Vec<TimeSpan>>,
    /// When the revocable key was missing from the configuration.
    key_removals: Mutex<Vec<TimeSpan>>,
    limits: Mutex<Vec<AnnouncedLimit>>,
    statements: Mutex<Vec<TargetStatement>>,
    interruptions: Mutex<Vec<HostInterruption>>,
    crashes: Mutex<Vec<TargetCrash>>,
    leaving: Mutex<Vec<AnnouncedLeaving>>,
    /// Hosts without paths to targets.
    cuts: Mutex<Vec<HostCut>>,
    crowds: Mutex<Vec<HostCrowd>>,
    part_crashes: Mutex<Vec<PartCrash>>,
    /// When targets fell over.
    falls: Mutex<Vec<Instant>>,
    /// When hosts and targets served.
    pub(crate) serving: Mutex<ServingLog>,
}

impl TimeSpan {
    fn overlaps(self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

impl SoakHistory {
    pub(crate) fn record_arrival(&self, arrival: RequestArrival) {
        self.arrivals.lock().unwrap().push(arrival);
    }

    pub(crate) fn record_request(&self, request: SentRequest) {
        self.requests.lock().unwrap().push(request);
    }

    /// Records what a target states in an answer.
    pub(crate) fn record_statement(&self, statement: TargetStatement) {
        self.statements.lock().unwrap().push(statement);
    }

    /// Records a signal to a host, or its start.
    pub(crate) fn record_interruption(&self, host: usize) {
        let interruption = HostInterruption {
            host,
            at: Instant::now(),
        };
        self.interruptions.lock().unwrap().push(interruption);
    }

    /// Records that a request crashes a target.
    pub(crate) fn record_crash(&self, crash: TargetCrash) {
        self.crashes.lock().unwrap().push(crash);
    }

    /// Records that a part of a request's prompt crashes a target.
    pub(crate) fn record_part_crash(&self, part: &str) {
        self.part_crashes.lock().unwrap().push(PartCrash {
            part: part.to_owned(),
            at: Instant::now(),
        });
    }

    /// Records that the store acknowledged that a target is leaving.
    pub(crate) fn record_leaving(&self, target: &str) {
        self.leaving.lock().unwrap().push(AnnouncedLeaving {
            target: target.to_owned(),
            at: Instant::now(),
        });
    }

    /// Records that a host loses its paths to targets, and returns the number of the cut.
    pub(crate) fn begin_cut(&self, host: usize) -> usize {
        let mut cuts = self.cuts.lock().unwrap();
        cuts.push(HostCut {
            host,
            from: Instant::now(),
            until: None,
        });
        cuts.len() - 1
    }

    /// Records the end of a cut.
    pub(crate) fn end_cut(&self, number: usize) {
        self.cuts.lock().unwrap()[number].until = Some(Instant::now());
    }

    /// Records that a target falls over by the requests that it had to reject.
    pub(crate) fn record_fall(&self) {
        self.falls.lock().unwrap().push(Instant::now());
    }

    /// Returns how often targets fell over from `time` on.
    pub(crate) fn falls_since(&self, time: Instant) -> usize {
        let falls = self.falls.lock().unwrap();
        falls.iter().filter(|at| **at >= time).count()
    }

    /// Records a violated guarantee.
    pub(crate) fn record_violation(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }

    /// Records the start of a disturbance and returns its number.
    pub(crate) fn begin_disturbance(&self) -> usize {
        begin(&self.disturbances)
    }

    /// Records the end of a disturbance.
    pub(crate) fn end_disturbance(&self, number: usize) {
        end(&self.disturbances, number);
    }

    /// Records that the store acknowledged a configuration without the key.
    pub(crate) fn begin_key_removal(&self) -> usize {
        begin(&self.key_removals)
    }

    /// Records that the key may be accepted again; called just before the configuration with the
    /// key is written.
    pub(crate) fn end_key_removal(&self, number: usize) {
        end(&self.key_removals, number);
    }

    /// Records the limit that a target announces from now on, or that it no longer announces one.
    pub(crate) fn record_limit(&self, target: &str, limit: Option<u32>) {
        let mut limits = self.limits.lock().unwrap();
        let now = Instant::now();
        let announced = limits
            .iter_mut()
            .filter(|announced| announced.target == target);
        for announced in announced {
            announced.span.until.get_or_insert(now);
        }
        limits.extend(limit.map(|per_second| AnnouncedLimit {
            target: target.to_owned(),
            per_second,
            span: TimeSpan {
                from: now,
                until: None,
            },
        }));
    }

    /// Returns whether no disturbance overlaps the time from `from`, less the settling time, to
    /// `until`.
    pub(crate) fn was_undisturbed(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(SETTLING_TIME).unwrap_or(from);
        let disturbances = self.disturbances.lock().unwrap();
        !disturbances.iter().any(|span| span.overlaps(from, until))
    }

    /// Returns the number of requests, and how many of them got a complete answer.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let requests = self.requests.lock().unwrap();
        let complete = requests.iter().filter(|request| request.complete);
        (requests.len(), complete.count())
    }

    /// Returns all violations after the end of the soak. Each of the `hosts` hosts must have served
    /// each route after `recovered_by`.
    pub(crate) fn check(&self, hosts: usize, recovered_by: Instant, key: &str) -> Vec<String> {
        let mut arrivals = self.arrivals.lock().unwrap().clone();
        arrivals.sort_by(|left, right| left.request.cmp(&right.request));
        let mut requests = self.requests.lock().unwrap().clone();
        requests.sort_by(|left, right| left.request.cmp(&right.request));
        let mut violations = std::mem::take(&mut *self.violations.lock().unwrap());
        for request in &requests {
            let runs = executions_of(&arrivals, &request.request);
            violations.extend(check_executions(request, &runs));
            violations.extend(self.check_answered(request, &runs));
            violations.extend(self.check_key_removal(request, &runs, key));
        }
        violations.extend(check_unknown_requests(&arrivals, &requests));
        violations.extend(check_account_quota(&arrivals));
        violations.extend(self.check_target_limits(&arrivals));
        let cuts = self.cuts.lock().unwrap().clone();
        let statements = StatementRecord {
            requests: &requests,
            arrivals: &arrivals,
            statements: &self.statements.lock().unwrap(),
            interruptions: &self.interruptions.lock().unwrap(),
            cuts: &cuts,
        };
        violations.extend(statements.check());
        violations.extend(check_crashes(&self.crashes.lock().unwrap()));
        let parts = PartRecord {
            crashes: &self.part_crashes.lock().unwrap(),
            requests: &requests,
            arrivals: &arrivals,
            interruptions: statements.interruptions,
        };
        violations.extend(parts.check());
        violations.extend(check_leaving(
            &self.leaving.lock().unwrap(),
            &requests,
            &arrivals,
            statements.interruptions,
        ));
        violations.extend(check_retry_budget(&arrivals, &requests));
        violations.extend(check_cuts(&cuts, &requests, |from, until| {
            self.was_undisturbed(from, until)
        }));
        let crowds = self.crowds.lock().unwrap();
        violations.extend(check_crowds(&crowds, &requests, |from, until| {
            self.was_undisturbed(from, until)
        }));
        violations.extend(check_recovery(&requests, hosts, recovered_by));
        violations
    }

    /// Lets most new connections go to one host from now on, or to all alike.
    pub(crate) fn set_crowded_host(&self, host: Option<usize>) {
        let mut crowds = self.crowds.lock().unwrap();
        let now = Instant::now();
        if let Some(crowd) = crowds.last_mut() {
            crowd.until.get_or_insert(now);
        }
        crowds.extend(host.map(|host| HostCrowd {
            host,
            from: now,
            until: None,
        }));
    }

    /// Returns the host to which most new connections go, if there is one.
    pub(crate) fn crowded_host(&self) -> Option<usize> {
        let crowds = self.crowds.lock().unwrap();
        let crowd = crowds.last().filter(|crowd| crowd.until.is_none());
        crowd.map(|crowd| crowd.host)
    }

    /// Checks that in an undisturbed fleet every executed request is answered, even if its host is
    /// signalled or reconfigured meanwhile.
    fn check_answered(&self, request: &SentRequest, runs: &[&RequestArrival]) -> Option<String> {
        let unanswered = request.status == 0 && !request.abandoned && !runs.is_empty();
        let cuts = self.cuts.lock().unwrap();
        // A cut interrupts the requests that its host has sent to targets, those of peers too.
        // A restarted host may have its view, and with it the paths, of a peer.
        let interruptions = self.interruptions.lock().unwrap();
        let is_restarted = interruptions
            .iter()
            .any(|held| held.host == request.host && held.at <= request.sent);
        let is_cut = cuts
            .iter()
            .any(|cut| cut.interrupts(request, &cuts, is_restarted));
        let undisturbed = unanswered && self.was_undisturbed(request.sent, request.ended);
        (undisturbed && !is_cut).then(|| format!("no answer in an undisturbed fleet: {request:?}"))
    }

    /// Checks that in an undisturbed fleet all hosts together respect the limit that a target
    /// announces.
    fn check_target_limits(&self, arrivals: &[RequestArrival]) -> Vec<String> {
        let limits = self.limits.lock().unwrap();
        let mut violations = Vec::new();
        for announced in limits.iter() {
            let from = announced.span.from + TARGET_LIMIT_DELAY;
            let is_bound = |at: Instant| {
                let ended = announced.span.until.is_some_and(|until| at >= until);
                at >= from && !ended
            };
            let arrived = arrivals.iter();
            let arrived = arrived.filter(|arrival| arrival.target == announced.target);
            let mut times: Vec<Instant> = arrived.map(|arrival| arrival.at).collect();
            times
                .retain(|at| is_bound(*at) && self.was_undisturbed(*at, *at + TARGET_LIMIT_WINDOW));
            times.sort_unstable();
            let rate = f64::from(announced.per_second) * (1.0 + TARGET_LIMIT_OVERAGE);
            let allowed = rate * TARGET_LIMIT_WINDOW.as_secs_f64() + TARGET_LIMIT_SLACK;
            let most = max_within(&times, TARGET_LIMIT_WINDOW);
            if most as f64 > allowed {
                violations.push(format!(
                    "{most} requests in a window, allowed {allowed}: {announced:?}"
                ));
            }
        }
        violations
    }

    /// Checks that all hosts reject a removed key until it is restored. Requests that arrived in
    /// between but were not yet read by their host may run after that.
    fn check_key_removal(
        &self,
        request: &SentRequest,
        runs: &[&RequestArrival],
        key: &str,
    ) -> Option<String> {
        if request.key != key || runs.is_empty() {
            return None;
        }
        let removals = self.key_removals.lock().unwrap();
        let revoked = removals.iter().any(|removal| {
            let late = request.sent > removal.from + KEY_REVOCATION_LIMIT;
            let ran_before_restored =
                |run: &&RequestArrival| removal.until.is_none_or(|until| run.at < until);
            late && runs.iter().any(ran_before_restored)
        });
        revoked.then(|| format!("executed with a removed key: {request:?}"))
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

fn arrivals_of<'a>(arrivals: &'a [RequestArrival], request: &str) -> &'a [RequestArrival] {
    let from = arrivals.partition_point(|arrival| arrival.request.as_str() < request);
    let count = arrivals[from..].partition_point(|arrival| arrival.request == request);
    &arrivals[from..from + count]
}

fn executions_of<'a>(arrivals: &'a [RequestArrival], request: &str) -> Vec<&'a RequestArrival> {
    let arrivals = arrivals_of(arrivals, request).iter();
    arrivals.filter(|arrival| arrival.ran).collect()
}

/// Checks that a request is not executed more often than its route allows, and not at all if it is
/// reported as not run.
fn check_executions(request: &SentRequest, runs: &[&RequestArrival]) -> Vec<String> {
    let mut violations = Vec::new();
    let most = if request.route.is_retryable() {
        MAX_ATTEMPTS
    } else {
        1
    };
    if runs.len() > most {
        let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        violations.push(format!(
            "executed more than {most} times: {request:?} {targets:?}"
        ));
    }
    let reported_not_run = matches!(request.status, 408 | 421 | 429 | 503);
    if reported_not_run && !runs.is_empty() {
        violations.push(format!(
            "reported as not run but executed: {request:?} {runs:?}"
        ));
    }
    if request.key.starts_with("unknown") && !runs.is_empty() {
        violations.push(format!("executed with an unknown key: {request:?}"));
    }
    violations
}

/// Checks that targets receive only requests that a caller sent.
fn check_unknown_requests(arrivals: &[RequestArrival], requests: &[SentRequest]) -> Vec<String> {
    let mut sent: Vec<&str> = requests
        .iter()
        .map(|request| request.request.as_str())
        .collect();
    sent.sort_unstable();
    let unknown = arrivals
        .iter()
        .filter(|arrival| sent.binary_search(&arrival.request.as_str()).is_err());
    unknown
        .map(|arrival| format!("received a request that no caller sent: {arrival:?}"))
        .collect()
}

/// Checks that all hosts together enforce an account's quota. A request counts once, when a target
/// first runs it; a host's retries count towards the retry budget.
fn check_account_quota(arrivals: &[RequestArrival]) -> Option<String> {
    let rate = SoakRoute::LIMITED_RATE;
    let allowed = (rate * QUOTA_WINDOW.as_secs_f64() + 2.0 * rate) * (1.0 + QUOTA_OVERAGE);
    let spent = arrivals
        .iter()
        .filter(|arrival| arrival.ran && arrival.account == SoakRoute::LIMITED_ACCOUNT);
    let mut spent: Vec<(&str, Instant)> = spent
        .map(|arrival| (&*arrival.request, arrival.at))
        .collect();
    spent.sort_unstable();
    spent.dedup_by_key(|(request, _)| *request);
    let mut times: Vec<Instant> = spent.into_iter().map(|(_, at)| at).collect();
    times.sort_unstable();
    let most = max_within(&times, QUOTA_WINDOW);
    (most as f64 > allowed + QUOTA_SLACK)
        .then(|| format!("{most} requests of an account with a quota within {QUOTA_WINDOW:?}"))
}

/// Checks that all hosts together stay within the retry budget.
fn check_retry_budget(arrivals: &[RequestArrival], requests: &[SentRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    for pool in SoakRoute::POOLS {
        let mut retries = Vec::new();
        for request in requests {
            let mut arrived: Vec<&RequestArrival> = arrivals_of(arrivals, &request.request)
                .iter()
                .filter(|arrival| arrival.pool == pool)
                .collect();
            arrived.sort_by_key(|arrival| arrival.at);
            retries.extend(arrived.iter().skip(1).map(|arrival| arrival.at));
        }
        retries.sort_unstable();
        let of_pool = requests
            .iter()
            .filter(|request| request.route.pool() == pool);
        let mut sent: Vec<Instant> = of_pool.map(|request| request.sent).collect();
        sent.sort_unstable();
        let most = max_within(&retries, RETRY_WINDOW);
        let allowed = RETRY_RATIO * max_within(&sent, RETRY_WINDOW) as f64 + RETRY_SLACK;
        if most as f64 > allowed {
            violations.push(format!("{most} retries in {pool}, allowed {allowed}"));
        }
    }
    violations
}

/// Checks that every host serves again after recovery, and every route for which it received
/// enough requests: a few requests may all exceed the account's quota.
fn check_recovery(requests: &[SentRequest], hosts: usize, recovered_by: Instant) -> Vec<String> {
    let mut violations = Vec::new();
    for host in 0..hosts {
        let late = requests
            .iter()
            .filter(|request| request.host == host && request.sent > recovered_by);
        let late: Vec<&SentRequest> = late.collect();
        if !late.iter().any(|request| request.complete) {
            violations.push(format!(
                "host {host} did not serve any request after recovery"
            ));
        }
        for route in SoakRoute::ALL {
            let of_route = late.iter().filter(|request| request.route == route);
            let (received, served) = (
                of_route.clone().count(),
                of_route.filter(|request| request.complete).count(),
            );
            if received >= MIN_ROUTE_REQUESTS && served == 0 {
                violations.push(format!(
                    "host {host} did not serve {route:?} after recovery"
                ));
            }
        }
    }
    violations
}

/// Returns the maximum number of the sorted `times` within any window.
fn max_within(times: &[Instant], window: Duration) -> usize {
    let counts = times.iter().enumerate().map(|(index, from)| {
        let rest = &times[index..];
        rest.partition_point(|time| time.duration_since(*from) < window)
    });
    counts.max().unwrap_or(0)
}
