//! Selection of the target that runs a request.

use std::time::Duration;

use super::HostPosition;
use super::PlacementRequest;
use super::SlotGrant;
use super::output_estimate::OutputEstimate;
use super::prefill_estimate::PrefillEstimate;
use super::target_runtime::TargetRuntime;

/// The weight factor of a target in the host's own zone: enough to break ties. Traffic between
/// zones costs little compared to a late answer.
const OWN_ZONE_FACTOR: f64 = 1.15;
/// How strongly slowness reduces a target's weight. A request holds its slot longer on a slow
/// target, so a target at a quarter of the speed gets a sixteenth of the requests until the
/// others are full.
const SLOWNESS_EXPONENT: i32 = 2;
/// How strongly free slots increase a target's weight. Above 1 the emptiest targets are
/// preferred, as a full batch slows down all its requests. Far above 1 all hosts, whose loads
/// are a tenth of a second old, would choose the same target.
const FREE_SLOTS_EXPONENT: i32 = 2;
/// How strongly failures reduce a target's weight: a target that fails two requests of five
/// gets a fifth of the requests, which show when it recovers.
const SUCCESS_EXPONENT: i32 = 3;
/// The least success rate that is used for the weight, so that every target is tried again.
const MIN_SUCCESS_RATE: f64 = 0.15;
/// The weight factor of a target outside the host's shard, which is chosen only when the
/// targets in the shard are full.
const OUT_OF_SHARD_FACTOR: f64 = 0.01;
/// Safety factor on the output's expected duration when checking whether it ends in time.
const OUTPUT_MARGIN: f64 = 1.5;
/// An output that would not end in time is still acceptable at targets within this multiple of
/// the shortest duration.
const NEAR_OUTPUT_FACTOR: f64 = 1.5;
/// The weight factor of a target whose software version is being replaced: new streams leave its
/// slots to those that must go on at this version.
const REPLACED_VERSION_FACTOR: f64 = 0.25;
/// The fraction of the targets up to which ejections count.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// The extra time to the first event, beyond the shortest, that halves a target's weight.
const HALVING_DELAY: Duration = Duration::from_millis(60);

/// The state that the selection depends on in addition to the targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceContext<'a> {
    /// Whether the targets are engines, which have a fixed number of slots.
    pub(super) engine: bool,
    /// The host's own zone.
    pub(super) own_zone: &'a str,
    /// Estimate of the time to the first event.
    pub(super) prefill: PrefillEstimate,
    /// Estimate of the output's duration.
    pub(super) output: OutputEstimate,
    /// The slots granted to the host, if slots are divided among hosts.
    pub(super) grants: Option<&'a [SlotGrant]>,
    /// The host's position, which determines its send windows at rate-limited targets.
    pub(super) position: Option<HostPosition>,
    /// The current time.
    pub(super) now: Duration,
}

/// The expected result of running a request at a target.
#[derive(Clone, Copy, Debug)]
struct TargetForecast {
    /// Whether the target may be chosen at all.
    allowed: bool,
    /// Expected time to the first event.
    first: Duration,
    /// Expected duration of the output.
    output: Duration,
    /// Whether the answer would end before the request times out.
    ends_in_time: bool,
    /// Whether the prefill would stall the streams that run there for too long.
    stalls: bool,
    slowness: f64,
}

/// Returns the index of the target for a request; `random` is uniform between 0 and 1.
///
/// Targets are drawn at random by weight. Many hosts see the same state, so if each chose the
/// best target, all would send to it at once.
///
/// A long prompt on a slow target, or queued after another long prompt, misses its objective,
/// and a long answer there does not end before the request times out. If some targets can meet
/// the objectives, only those are considered, and the request waits until one has a free slot.
pub(super) fn choose_target(
    targets: &[TargetRuntime],
    request: &PlacementRequest,
    context: ChoiceContext<'_>,
    random: f64,
) -> Option<usize> {
    let is_open = |target: &TargetRuntime| {
        target.is_available(context.now) && request.allows_version(&target.record.software_version)
    };
    let ignores_ejections = are_most_ejected(targets, context.now);
    let is_healthy = |target: &TargetRuntime| {
        target.is_healthy(context.now) && (ignores_ejections || !target.is_blocked(context.now))
    };
    let any_healthy = targets
        .iter()
        .any(|target| is_open(target) && is_healthy(target));
    let fastest = shortest_mean_gap(targets);
    let forecasts: Vec<TargetForecast> = targets
        .iter()
        .map(|target| {
            // If no target is healthy, an unhealthy one is still better than none.
            let is_usable = is_healthy(target) || !any_healthy;
            let slowness = target.slowness(fastest);
            let tokens = target.tokens_ahead() + request.prompt_tokens;
            let first = context.prefill.predict(tokens, slowness);
            let output_tokens = request.output_tokens.unwrap_or(0);
            let output = context.output.predict(output_tokens, slowness);
            TargetForecast {
                allowed: is_open(target)
                    && is_usable
                    && target.may_send(context.position, context.now)
                    && target.window_allows(context.now)
                    && !request.tried.contains(&target.record.name),
                first,
                output,
                stalls: stalls(target, tokens, slowness, request, context),
                ends_in_time: context.now + first + output.mul_f64(OUTPUT_MARGIN)
                    <= request.deadline,
                slowness,
            }
        })
        .collect();
    let left = request.objective_at.saturating_sub(context.now);
    let allowed = || forecasts.iter().filter(|forecast| forecast.allowed);
    let shortest = allowed().map(|forecast| forecast.first).min()?;
    let least_output = allowed().map(|forecast| forecast.output).min()?;
    let in_time = |forecast: &TargetForecast| !context.engine || forecast.first <= left;
    let ends_in_time = |forecast: &TargetForecast| {
        forecast.ends_in_time
            || forecast.output <= least_output.mul_f64(NEAR_OUTPUT_FACTOR)
            || !context.engine
    };
    // Of these rules, ordered from the strictest, the first that any allowed target meets
    // applies to all targets.
    let meets_all =
        |forecast: &TargetForecast| in_time(forecast) && ends_in_time(forecast) && !forecast.stalls;
    let in_time_and_ending =
        |forecast: &TargetForecast| in_time(forecast) && ends_in_time(forecast);
    let rules: [&dyn Fn(&TargetForecast) -> bool; 3] =
        [&meets_all, &in_time_and_ending, &ends_in_time];
    let rule = rules.into_iter().find(|rule| allowed().any(rule));
    let is_candidate =
        |forecast: &TargetForecast| forecast.allowed && rule.is_none_or(|rule| rule(forecast));
    let replaced = match request.version {
        Some(_) => Vec::new(),
        None => replaced_versions(targets),
    };
    let version_factor = |target: &TargetRuntime| {
        let version = target.record.software_version.as_str();
        match replaced.binary_search(&version) {
            Ok(_) => REPLACED_VERSION_FACTOR,
            Err(_) => 1.0,
        }
    };
    let weights: Vec<f64> = targets
        .iter()
        .zip(&forecasts)
        .map(|(target, forecast)| match is_candidate(forecast) {
            true => weight_of(target, forecast, context, shortest) * version_factor(target),
            false => 0.0,
        })
        .collect();
    pick_weighted(&weights, random)
}

/// Returns whether more than half of the targets that take requests are ejected. The cause is then
/// not a single target, and the others could not take the load.
fn are_most_ejected(targets: &[TargetRuntime], now: Duration) -> bool {
    let available = || targets.iter().filter(|target| target.is_available(now));
    let ejected = available().filter(|target| target.is_ejected(now)).count();
    ejected as f64 > available().count() as f64 * MAX_EJECTED_FRACTION
}

/// Returns the software versions of which targets are leaving, sorted; none if that is so of all
/// versions that accept new work.
fn replaced_versions(targets: &[TargetRuntime]) -> Vec<&str> {
    fn version_of(target: &TargetRuntime) -> &str {
        &target.record.software_version
    }
    let is_mixed = targets
        .windows(2)
        .any(|pair| version_of(&pair[0]) != version_of(&pair[1]));
    if !is_mixed {
        return Vec::new();
    }
    let leaving = targets.iter().filter(|target| !target.is_accepting());
    let mut replaced: Vec<&str> = leaving.map(version_of).collect();
    replaced.sort_unstable();
    replaced.dedup();
    let is_kept = |target: &TargetRuntime| {
        target.is_accepting() && replaced.binary_search(&version_of(target)).is_err()
    };
    match targets.iter().any(is_kept) {
        true => replaced,
        false => Vec::new(),
    }
}

/// Returns whether prefilling `tokens` would stall the streams at the target beyond their
/// objective. A long prompt at a slow target delays all streams that run there.
fn stalls(
    target: &TargetRuntime,
    tokens: u64,
    slowness: f64,
    request: &PlacementRequest,
    context: ChoiceContext<'_>,
) -> bool {
    let (Some(objective), Some(gap_ms)) = (request.event_gap_objective, target.gaps.mean_ms())
    else {
        return false;
    };
    let gap = Duration::from_secs_f64(gap_ms / 1000.0);
    context.engine && gap + context.prefill.prefill_time(tokens, slowness) > objective
}

/// Returns the shortest expected time to the first event over all targets, ignoring load.
pub(super) fn shortest_first_event(
    targets: &[TargetRuntime],
    request: &PlacementRequest,
    prefill: PrefillEstimate,
) -> Duration {
    let fastest = shortest_mean_gap(targets);
    let open = targets.iter().filter(|target| target.is_accepting());
    let slowness = open
        .map(|target| target.slowness(fastest))
        .min_by(f64::total_cmp);
    prefill.predict(request.prompt_tokens, slowness.unwrap_or(1.0))
}

/// Returns the mean gap between events of the fastest target, in milliseconds.
pub(super) fn shortest_mean_gap(targets: &[TargetRuntime]) -> Option<f64> {
    targets
        .iter()
        .filter_map(|target| target.gaps.mean_ms())
        .min_by(f64::total_cmp)
        // Gaps below a millisecond are events that were read together.
        .map(|gap| gap.max(1.0))
}

fn weight_of(
    target: &TargetRuntime,
    forecast: &TargetForecast,
    context: ChoiceContext<'_>,
    shortest: Duration,
) -> f64 {
    let free_slots = match (context.engine, context.grants) {
        (true, Some(grants)) => f64::from(target.granted_free_slots(grants, context.now)),
        (true, None) => f64::from(target.free_slots()),
        // Requests of a plain service end before their load could be gossiped.
        (false, _) => plain_free_fraction(target),
    };
    let zone = match target.record.availability_zone == context.own_zone {
        true => OWN_ZONE_FACTOR,
        false => 1.0,
    };
    // A rate-limited target takes few requests from each host, so all hosts use it.
    let in_shard = match target.in_shard || target.is_rate_limited(context.now) {
        true => 1.0,
        false if context.grants.is_some() => 0.0,
        false => OUT_OF_SHARD_FACTOR,
    };
    let success_rate = target.success_rate().max(MIN_SUCCESS_RATE);
    let extra_delay =
        forecast.first.saturating_sub(shortest).as_secs_f64() / HALVING_DELAY.as_secs_f64();
    free_slots.powi(FREE_SLOTS_EXPONENT) * success_rate.powi(SUCCESS_EXPONENT) * zone * in_shard
        / (forecast.slowness.powi(SLOWNESS_EXPONENT) * (1.0 + extra_delay))
}

/// Returns the free fraction of a plain service, whose queue holds twice its slots.
///
/// While the host limits what it has outstanding there, it is the free fraction of that, and less
/// at targets that take longer.
fn plain_free_fraction(target: &TargetRuntime) -> f64 {
    if let Some(window) = target.limiting_window() {
        return window.free_fraction(target.own_running).unwrap_or(1.0);
    }
    let most = f64::from(target.record.slots * 3);
    let taken = f64::from(target.own_running) + 0.3 * f64::from(target.peer_load.running);
    (most - taken).max(0.0) / most.max(1.0)
}

/// Draws an index by weight; `random` is uniform between 0 and 1.
pub(super) fn pick_weighted(weights: &[f64], random: f64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut point = random * total;
    let mut last = None;
    for (index, weight) in weights.iter().enumerate() {
        if *weight <= 0.0 {
            continue;
        }
        last = Some(index);
        if point < *weight {
            return last;
        }
        point -= weight;
    }
    last
}
