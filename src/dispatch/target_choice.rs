//! Which of a pool's targets runs a request.

use std::time::Duration;

use super::HostPosition;
use super::PlacementRequest;
use super::SlotGrant;
use super::output_estimate::OutputEstimate;
use super::prefill_estimate::PrefillEstimate;
use super::target_runtime::TargetRuntime;

/// How much a target in the host's own zone is preferred: enough to break ties.
/// Bytes between zones cost little against an answer that is late.
const OWN_ZONE_FACTOR: f64 = 1.15;
/// How strongly a slow target is passed over while faster ones have room: work
/// holds a slot for as long as the target is slow, so a target at a quarter of the
/// pace gets a sixteenth of the work until the others are full.
const PACE_POWER: i32 = 2;
/// How strongly free slots count. Above 1 the emptiest targets are preferred, as
/// a full batch slows all that run in it; far above it all hosts, whose view is a
/// tenth of a second old, would run to the same target.
const ROOM_POWER: i32 = 2;
/// How strongly failures count: a target that fails two requests of five gets a
/// fifth of the work and so stays observed.
const SUCCESS_POWER: i32 = 3;
/// The share of success_rate that no target falls below, so that it is tried again.
const LEAST_SUCCESS_RATE: f64 = 0.15;
/// How much a target counts that other hosts use first: only where those that this
/// host uses first are full.
const REMOTE_FACTOR: f64 = 0.01;
/// How many times as long as expected an output may take and still end in time.
const OUTPUT_MARGIN: f64 = 1.5;
/// How many times as long as at the fastest target an output may take that ends nowhere in time.
const NEAR_OUTPUT: f64 = 1.5;
/// The wait for a first event that halves a target's chance, beside the shortest.
const WAIT_HALF: Duration = Duration::from_millis(60);

/// What the choice knows of the pool beside its targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceView<'a> {
    /// Whether the targets are engines, whose slots are counted.
    pub(super) engine: bool,
    /// The host's own zone.
    pub(super) own_zone: &'a str,
    /// How long first events take.
    pub(super) first: PrefillEstimate,
    /// How long outputs take.
    pub(super) output: OutputEstimate,
    /// The slots that the host may use, where hosts have slots of their own.
    pub(super) grants: Option<&'a [SlotGrant]>,
    /// The host's turn at targets that hosts use by turns.
    pub(super) turn: Option<HostPosition>,
    /// The time.
    pub(super) now: Duration,
}

/// What a target would mean for a request.
#[derive(Clone, Copy, Debug)]
struct TargetOffer {
    /// Whether it may be chosen at all.
    allowed: bool,
    /// How long the first event would take.
    first: Duration,
    /// How long the output would take.
    output: Duration,
    /// Whether the answer would end before the request's time is over.
    ends: bool,
    /// Whether streams that run there would pause for too long while the prompt is read.
    stalls: bool,
    slowness: f64,
}

/// Returns the index of the target for a request; `spread` is 0 to 1, evenly.
///
/// A chance by weight answers the load of many hosts that see the same state: each
/// taking the best one would send all of them to it at once.
///
/// A long prompt on a slow target, or behind another long one, is late before it
/// began, and a long answer does not end there before its caller's time is over. Where
/// some target could do better, only such ones are taken; the request waits for one of
/// them to have room.
pub(super) fn choose_target(
    targets: &[TargetRuntime],
    request: &PlacementRequest,
    view: ChoiceView<'_>,
    spread: f64,
) -> Option<usize> {
    let any_healthy = targets
        .iter()
        .any(|target| target.is_accepting() && target.is_healthy(view.now));
    let fastest = fastest_pause(targets);
    let offers: Vec<TargetOffer> = targets
        .iter()
        .map(|target| {
            // Where no target seems fit, one that doesn't is still better than none.
            let fit = target.is_healthy(view.now) || !any_healthy;
            let slowness = target.slowness(fastest);
            let tokens = target.tokens_ahead() + request.prompt_tokens;
            let first = view.first.predict(tokens, slowness);
            let output_tokens = request.output_tokens.unwrap_or(0);
            let output = view.output.predict(output_tokens, slowness);
            TargetOffer {
                allowed: target.is_accepting()
                    && fit
                    && target.has_turn(view.turn, view.now)
                    && !request.tried.contains(&target.record.name),
                first,
                output,
                stalls: stalls(target, tokens, slowness, request, view),
                ends: view.now + first + output.mul_f64(OUTPUT_MARGIN) <= request.deadline,
                slowness,
            }
        })
        .collect();
    let left = request.objective_at.saturating_sub(view.now);
    let allowed = || offers.iter().filter(|offer| offer.allowed);
    let shortest = allowed().map(|offer| offer.first).min()?;
    let least_output = allowed().map(|offer| offer.output).min()?;
    let in_time = |offer: &TargetOffer| !view.engine || offer.first <= left;
    let ends = |offer: &TargetOffer| {
        offer.ends || offer.output <= least_output.mul_f64(NEAR_OUTPUT) || !view.engine
    };
    // What some target can keep is asked of all, as far as the others before it can be kept.
    let good = |offer: &TargetOffer| in_time(offer) && ends(offer) && !offer.stalls;
    let ending = |offer: &TargetOffer| in_time(offer) && ends(offer);
    let wanted: [&dyn Fn(&TargetOffer) -> bool; 3] = [&good, &ending, &in_time];
    let wanted = wanted.into_iter().find(|wanted| allowed().any(wanted));
    let is_taken = |offer: &TargetOffer| offer.allowed && wanted.is_none_or(|wanted| wanted(offer));
    let weights: Vec<f64> = targets
        .iter()
        .zip(&offers)
        .map(|(target, offer)| match is_taken(offer) {
            true => weigh(target, offer, view, shortest),
            false => 0.0,
        })
        .collect();
    pick(&weights, spread)
}

/// Tells whether streams that run at the target would pause for too long while so many tokens
/// are read there.
///
/// Load it answers: long prompts at slow targets, each of which makes all streams there late.
fn stalls(
    target: &TargetRuntime,
    tokens: u64,
    slowness: f64,
    request: &PlacementRequest,
    view: ChoiceView<'_>,
) -> bool {
    let (Some(objective), Some(pause_ms)) = (request.event_gap_objective, target.pace.pause_ms())
    else {
        return false;
    };
    let pause = Duration::from_secs_f64(pause_ms / 1000.0);
    view.engine && pause + view.first.read_time(tokens, slowness) > objective
}

/// Returns how long the first event takes at least, wherever the request is sent.
pub(super) fn shortest_first(
    targets: &[TargetRuntime],
    request: &PlacementRequest,
    first: PrefillEstimate,
) -> Duration {
    let fastest = fastest_pause(targets);
    let open = targets.iter().filter(|target| target.is_accepting());
    let slowness = open
        .map(|target| target.slowness(fastest))
        .min_by(f64::total_cmp);
    first.predict(request.prompt_tokens, slowness.unwrap_or(1.0))
}

/// Returns the pause of the fastest target.
pub(super) fn fastest_pause(targets: &[TargetRuntime]) -> Option<f64> {
    targets
        .iter()
        .filter_map(|target| target.pace.pause_ms())
        .min_by(f64::total_cmp)
        // Pauses below a millisecond are events that were read together.
        .map(|pause| pause.max(1.0))
}

fn weigh(
    target: &TargetRuntime,
    offer: &TargetOffer,
    view: ChoiceView<'_>,
    shortest: Duration,
) -> f64 {
    let room = match (view.engine, view.grants) {
        (true, Some(grants)) => f64::from(target.granted_room(grants, view.now)),
        (true, None) => f64::from(target.free_slots()),
        // The work of a plain service is over before a peer could tell of it.
        (false, _) => plain_room(target),
    };
    let zone = match target.record.availability_zone == view.own_zone {
        true => OWN_ZONE_FACTOR,
        false => 1.0,
    };
    // A target that is used by turns takes few requests of each host, so all of them use it.
    let in_shard = match target.in_shard || target.is_rate_limited(view.now) {
        true => 1.0,
        false if view.grants.is_some() => 0.0,
        false => REMOTE_FACTOR,
    };
    let success_rate = target.success_rate().max(LEAST_SUCCESS_RATE);
    let longer = offer.first.saturating_sub(shortest).as_secs_f64() / WAIT_HALF.as_secs_f64();
    room.powi(ROOM_POWER) * success_rate.powi(SUCCESS_POWER) * zone * in_shard
        / (offer.slowness.powi(PACE_POWER) * (1.0 + longer))
}

/// Returns the room of a plain service: its own queue takes twice its slots.
fn plain_room(target: &TargetRuntime) -> f64 {
    let most = f64::from(target.record.slots * 3);
    let taken = f64::from(target.own) + 0.3 * f64::from(target.peers.running);
    (most - taken).max(0.0) / most.max(1.0)
}

fn pick(weights: &[f64], spread: f64) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut point = spread * total;
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
