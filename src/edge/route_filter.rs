//! Resolves the route and account of a request.

use std::num::IntErrorKind;
use std::sync::Arc;
use std::time::Duration;

use super::caller_connection::CallerRequest;
use super::edge_refusal::EdgeRefusal;
use super::edge_state::EdgeState;
use crate::catalog::CallKind;
use crate::catalog::ClientAccount;
use crate::catalog::RouteCatalog;
use crate::catalog::ServiceRoute;
use crate::clock::boot_now;
use crate::dispatch::RequestPriority;
use crate::errors::ErrorKind;
use crate::errors::RequestOutcome;
use crate::ids::PoolName;
use crate::metrics::RequestSeries;
use crate::peers::ForwardCause;
use crate::poison::RequestFingerprint;
use crate::poison::SharedParts;
use crate::poison::fingerprint_request;
use crate::poison::last_part;
use crate::wire::RequestMessage;

/// Delay after which a caller may try another host, when this one's view is out of date.
pub(super) const OTHER_HOST_DELAY: Duration = Duration::from_millis(100);
/// Time limit of a request for which neither the caller nor the route sets one.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The most tokens that a request can declare. Larger than any target's memory, and small enough
/// that the sum over the requests of a target fits a `u64`.
const MAX_TOKENS: u64 = 1 << 40;

/// Route under which requests are counted that peers forwarded.
const FORWARDED_SERIES: &str = "forwarded";

/// Token counts that a request declares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct TokenUsage {
    /// Tokens of the prompt.
    pub(crate) prompt: u64,
    /// Maximum output tokens.
    pub(crate) output: u64,
    /// Output tokens that the caller expects, if declared.
    pub(crate) expected_output: Option<u64>,
}

/// A request with everything that determines how it is served.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    /// The request, with the headers that the target receives except those that differ
    /// between attempts.
    pub(crate) request: CallerRequest,
    /// The id of this attempt.
    pub(crate) id: String,
    /// The catalog version that was used to route it.
    pub(crate) catalog: Arc<RouteCatalog>,
    /// The route's name.
    pub(crate) route: String,
    /// Determines whether the request may be retried.
    pub(crate) kind: CallKind,
    /// Number of targets to which it may be sent.
    pub(crate) max_attempts: u32,
    /// Latency objective for the first event of a stream, or for the whole response.
    pub(crate) objective: Duration,
    /// Objective for the longest pause between two events of a stream.
    pub(crate) event_gap_objective: Option<Duration>,
    /// Time for which the caller waits from this attempt on, if it states one.
    pub(crate) caller_timeout: Option<Duration>,
    /// How long the caller waits for an event of a stream, the first one included.
    pub(crate) abandon_timeout: Option<Duration>,
    pub(crate) pool: PoolName,
    pub(crate) account: Option<ClientAccount>,
    pub(crate) priority: RequestPriority,
    /// The deadline, on the boot clock.
    pub(crate) deadline: Duration,
    /// The declared token counts.
    pub(crate) usage: Option<TokenUsage>,
    pub(crate) series: Arc<RequestSeries>,
    /// The caller's `Authorization`, if it sent one; targets don't get it.
    pub(crate) credentials: Option<Vec<u8>>,
    /// Whether the caller asks for the rest of a stream.
    pub(crate) is_resumed: bool,
    /// The attempt that brought the first event of that stream, if the caller names it.
    pub(crate) resumed_request: Option<String>,
    /// Why a peer forwarded the request, if one did.
    pub(crate) forwarded: Option<ForwardCause>,
    /// Fingerprint that stays the same if the caller retries the request under a new id.
    pub(crate) fingerprint: RequestFingerprint,
    /// The parts of its prompt that other requests may share.
    pub(crate) shared_parts: SharedParts,
    /// Id of the last part of its prompt, which belongs to the request itself.
    pub(crate) last_part: Option<String>,
}

impl RoutedRequest {
    /// Returns whether a peer forwarded the request.
    pub(crate) const fn is_forwarded(&self) -> bool {
        self.forwarded.is_some()
    }

    /// Returns whether a response with this status is a stream of events. A response to `HEAD` has
    /// no body.
    pub(crate) fn has_events(&self, status: u16) -> bool {
        self.kind.is_stream() && status == 200 && self.request.message.method != "HEAD"
    }

    /// Returns the time since the request arrived.
    pub(crate) fn age(&self) -> Duration {
        boot_now().saturating_sub(self.request.arrived)
    }

    /// Records the outcome of the request.
    pub(crate) fn record_end(&self, outcome: RequestOutcome) {
        let in_time = boot_now() <= self.deadline;
        self.series.record_answer(outcome, self.age(), in_time);
    }
}

/// Who sent a request to this host.
#[derive(Clone, Debug)]
pub(crate) enum RequestOrigin {
    Caller,
    /// A peer that forwards a caller's request.
    Peer {
        /// The pool that it drew.
        pool: PoolName,
        /// Why it does.
        cause: ForwardCause,
    },
}

/// A refused request with the reason of the refusal.
#[derive(Debug)]
pub(crate) struct UnroutedRequest {
    pub(crate) request: CallerRequest,
    pub(crate) refusal: EdgeRefusal,
}

/// Resolves the route and account of a request.
///
/// # Errors
///
/// The request and why it is refused.
pub(crate) fn route_request(
    state: &EdgeState,
    mut request: CallerRequest,
    origin: RequestOrigin,
) -> Result<RoutedRequest, Box<UnroutedRequest>> {
    let Some(catalog) = state.view.catalog() else {
        let refusal = EdgeRefusal::after(ErrorKind::NotReady, OTHER_HOST_DELAY);
        return Err(Box::new(UnroutedRequest { request, refusal }));
    };
    let found = find_route(state, &catalog, &request.message).and_then(|route| {
        let account = find_account(state, &catalog, route, &request.message)?;
        let id = request_id(state, &request.message)?;
        Ok((route, account, id))
    });
    let (route, account, id) = match found {
        Ok(found) => found,
        Err(refusal) => return Err(Box::new(UnroutedRequest { request, refusal })),
    };
    let deadline = request.arrived + time_limit(state, route, &request.message);
    let headers = &request.message.headers;
    let left = headers.number(&state.header_names.deadline_ms);
    let (drawn, forwarded) = match origin {
        RequestOrigin::Peer { pool, cause } => (Some(pool), Some(cause)),
        RequestOrigin::Caller => (None, None),
    };
    let resumed_request = headers.text(&state.header_names.resumed_request);
    let resumed_request = resumed_request.map(|id| id.trim().to_owned());
    let is_resumed =
        resumed_request.is_some() || headers.contains(&state.header_names.resume_after);
    let drawn = drawn.filter(|pool| route.shares.iter().any(|share| share.pool == *pool));
    let usage = token_usage(state, &request);
    let account_name = account.as_ref().map_or("", |account| account.name.as_str());
    let fingerprint = fingerprint_request(account_name, &request.message.target, &request.body);
    let authorization = request.message.headers.all("authorization").next();
    let credentials = authorization.map(<[u8]>::to_vec);
    let pool = drawn.unwrap_or_else(|| route.pool_for(rand::random()).clone());
    let prompt_parts = prompt_parts(state, &request);
    let shared_parts = match prompt_parts.is_empty() {
        true => SharedParts::default(),
        false => SharedParts::parse(&prompt_parts, &pool, account_name),
    };
    let last_part = last_part(&prompt_parts);
    prepare_headers(state, &mut request, account_name);
    let account_tier = account.as_ref().and_then(|account| account.tier);
    let priority = RequestPriority {
        account: account_tier.unwrap_or(route.tier),
        route: route.tier,
    };
    Ok(RoutedRequest {
        id,
        route: route.name.clone(),
        kind: route.kind,
        max_attempts: route.max_attempts,
        objective: route.objective,
        event_gap_objective: route.event_gap_objective,
        caller_timeout: left.map(Duration::from_millis),
        abandon_timeout: route.abandon_timeout,
        pool,
        series: match forwarded.is_some() {
            // The peer counts the request for its account.
            true => state
                .request_metrics
                .series(priority.account, FORWARDED_SERIES, ""),
            false => state
                .request_metrics
                .series(priority.account, &route.name, account_name),
        },
        is_resumed,
        resumed_request,
        forwarded,
        credentials,
        priority,
        account,
        deadline,
        usage,
        fingerprint,
        shared_parts,
        last_part,
        request,
        catalog: Arc::clone(&catalog),
    })
}

/// Checks what the head of a request tells before its body is read, and returns the time limit of
/// the request from its arrival on.
///
/// # Errors
///
/// Why the request is refused, whatever its body.
pub(crate) fn check_head(
    state: &EdgeState,
    message: &RequestMessage,
) -> Result<Duration, EdgeRefusal> {
    let Some(catalog) = state.view.catalog() else {
        return Err(EdgeRefusal::after(ErrorKind::NotReady, OTHER_HOST_DELAY));
    };
    let route = find_route(state, &catalog, message)?;
    find_account(state, &catalog, route, message)?;
    request_id(state, message)?;
    Ok(time_limit(state, route, message))
}

fn find_route<'c>(
    state: &EdgeState,
    catalog: &'c RouteCatalog,
    message: &RequestMessage,
) -> Result<&'c ServiceRoute, EdgeRefusal> {
    let headers = &message.headers;
    let mut hosts = headers.all("host");
    let host = hosts.next().and_then(|host| std::str::from_utf8(host).ok());
    // Two Host headers could be interpreted as two routes (RFC 9112 section 3.2).
    let (Some(host), None) = (host, hosts.next()) else {
        return Err(ErrorKind::MalformedMessage.into());
    };
    let host = host.trim().to_ascii_lowercase();
    let host = host.split_once(':').map_or(host.as_str(), |(name, _)| name);
    let found = catalog.find_route(host, message.path());
    found.ok_or_else(|| absence_refusal(state, ErrorKind::UnknownClass))
}

/// Returns the account; `None` if the request needs none.
fn find_account(
    state: &EdgeState,
    catalog: &RouteCatalog,
    route: &ServiceRoute,
    message: &RequestMessage,
) -> Result<Option<ClientAccount>, EdgeRefusal> {
    if !catalog.needs_keys() {
        return Ok(None);
    }
    let key = read_key(state, message);
    if route.public && key.is_none() {
        return Ok(None);
    }
    // Also where no key is needed: the request would run for an account that may have lost it.
    if !state.has_fresh_keys() {
        return Err(EdgeRefusal::after(ErrorKind::StaleView, OTHER_HOST_DELAY));
    }
    match key.and_then(|key| catalog.find_account(key)) {
        Some(account) => Ok(Some(account.clone())),
        None if route.public => Ok(None),
        None => Err(absence_refusal(state, ErrorKind::UnknownAccount)),
    }
}

/// Returns the error for an unknown route or key, or a retryable one if this host's view
/// is out of date. A recent addition may be in effect elsewhere, and a caller that is
/// told "unknown" does not retry.
fn absence_refusal(state: &EdgeState, kind: ErrorKind) -> EdgeRefusal {
    match state.can_confirm_absence() {
        true => kind.into(),
        false => EdgeRefusal::after(ErrorKind::StaleView, OTHER_HOST_DELAY),
    }
}

/// Returns the key. A request with two keys counts as having none.
fn read_key<'r>(state: &EdgeState, message: &'r RequestMessage) -> Option<&'r str> {
    let headers = &message.headers;
    if headers.all("authorization").count() != 1 {
        return None;
    }
    let (scheme, key) = headers.text("authorization")?.split_once(' ')?;
    let is_known = scheme.eq_ignore_ascii_case(&state.header_names.key_scheme);
    is_known.then(|| key.trim())
}

fn request_id(state: &EdgeState, message: &RequestMessage) -> Result<String, EdgeRefusal> {
    let id = message.headers.text(&state.header_names.request_id);
    id.map(str::to_owned)
        .ok_or_else(|| ErrorKind::BadRequestId.into())
}

/// Returns the time limit of the request: the caller's or the route's, whichever is
/// shorter.
fn time_limit(state: &EdgeState, route: &ServiceRoute, message: &RequestMessage) -> Duration {
    let headers = &message.headers;
    let requested = headers.number(&state.header_names.deadline_ms);
    let requested = requested.map(Duration::from_millis);
    let limit = match (requested, route.timeout) {
        (Some(requested), Some(timeout)) => requested.min(timeout),
        (requested, timeout) => requested.or(timeout).unwrap_or(DEFAULT_TIMEOUT),
    };
    limit.min(DEFAULT_TIMEOUT * 10)
}

fn token_usage(state: &EdgeState, request: &CallerRequest) -> Option<TokenUsage> {
    let headers = &request.message.headers;
    let text = headers.text(&state.header_names.token_usage)?;
    let (prompt, output) = text.split_once(',')?;
    Some(TokenUsage {
        prompt: token_count(prompt)?,
        output: token_count(output)?,
        expected_output: headers
            .number(&state.header_names.length_hint)
            .map(|tokens| tokens.min(MAX_TOKENS)),
    })
}

/// Returns the number of tokens, at most [`MAX_TOKENS`]; `None` if it is no number.
fn token_count(text: &str) -> Option<u64> {
    match text.trim().parse::<u64>() {
        Ok(tokens) => Some(tokens.min(MAX_TOKENS)),
        // It must not be charged less than a smaller one.
        Err(error) if *error.kind() == IntErrorKind::PosOverflow => Some(MAX_TOKENS),
        Err(_) => None,
    }
}

/// Returns the parts of the prompt as comma-separated entries. A list that is spread over several
/// lines is read as one (RFC 9110 section 5.3).
fn prompt_parts(state: &EdgeState, request: &CallerRequest) -> String {
    let lines = request
        .message
        .headers
        .all(&state.header_names.prompt_parts);
    let lines: Vec<&str> = lines
        .filter_map(|line| std::str::from_utf8(line).ok())
        .collect();
    lines.join(",")
}

/// Removes the headers that the target must not see and adds the account's name.
fn prepare_headers(state: &EdgeState, request: &mut CallerRequest, account: &str) {
    let header_names = &state.header_names;
    let headers = &mut request.message.headers;
    headers.remove_hop_by_hop();
    headers.retain(|name| {
        let reserved = header_names.reserved.iter();
        !name.eq_ignore_ascii_case("authorization")
            && !name.eq_ignore_ascii_case(&header_names.deadline_ms)
            && !reserved
                .into_iter()
                .any(|reserved| name.eq_ignore_ascii_case(reserved))
    });
    if !account.is_empty() {
        headers.push(&header_names.account, account);
    }
}
