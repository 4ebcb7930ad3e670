//! Which of a pool's targets runs a request.

use std::time::Duration;

use super::DispatchWish;
use super::target_board::TargetBoard;

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
const SOUNDNESS_POWER: i32 = 3;
/// The share of soundness that no target falls below, so that it is tried again.
const LEAST_SOUNDNESS: f64 = 0.15;
/// Unread prompt tokens that halve a target's chance: some 130 ms of reading,
/// a third of the objective to the first event.
const UNREAD_HALF_TOKENS: f64 = 16_000.0;

/// What the choice knows of the pool beside its targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceView<'a> {
    /// Whether the targets are engines, whose slots are counted.
    pub(super) engine: bool,
    /// The host's own zone.
    pub(super) own_zone: &'a str,
    /// The time.
    pub(super) now: Duration,
}

/// Returns the index of the target for a request; `spread` is 0 to 1, evenly.
///
/// A chance by weight answers the load of many hosts that see the same state: each
/// taking the best one would send all of them to it at once.
pub(super) fn choose_target(
    targets: &[TargetBoard],
    wish: &DispatchWish,
    view: ChoiceView<'_>,
    spread: f64,
) -> Option<usize> {
    let fit = |target: &TargetBoard| target.is_open() && target.is_fit(view.now);
    let anything_fit = targets.iter().any(fit);
    let fastest = fastest_pause(targets);
    let weights: Vec<f64> = targets
        .iter()
        .map(|target| {
            // Where no target seems fit, one that doesn't is still better than none.
            let allowed = target.is_open() && (target.is_fit(view.now) || !anything_fit);
            match allowed && !wish.tried.contains(&target.record.name) {
                true => weigh(target, view, fastest),
                false => 0.0,
            }
        })
        .collect();
    pick(&weights, spread)
}

fn weigh(target: &TargetBoard, view: ChoiceView<'_>, fastest: Option<f64>) -> f64 {
    let room = match view.engine {
        true => f64::from(target.free_slots()),
        // The work of a plain service is over before a peer could tell of it.
        false => plain_room(target),
    };
    let pace = match (fastest, target.pace.pause_ms()) {
        (Some(fastest), Some(own)) => fastest / own.max(fastest),
        _ => 1.0,
    };
    let zone = match target.record.availability_zone == view.own_zone {
        true => OWN_ZONE_FACTOR,
        false => 1.0,
    };
    let soundness = target.soundness().max(LEAST_SOUNDNESS);
    let unread = target.unread_tokens as f64 / UNREAD_HALF_TOKENS;
    room.powi(ROOM_POWER) * pace.powi(PACE_POWER) * soundness.powi(SOUNDNESS_POWER) * zone
        / (1.0 + unread)
}

/// Returns the room of a plain service: its own queue takes twice its slots.
fn plain_room(target: &TargetBoard) -> f64 {
    let most = f64::from(target.record.slots * 3);
    let taken = f64::from(target.own) + 0.3 * f64::from(target.peers);
    (most - taken).max(0.0) / most.max(1.0)
}

fn fastest_pause(targets: &[TargetBoard]) -> Option<f64> {
    targets
        .iter()
        .filter_map(|target| target.pace.pause_ms())
        .min_by(f64::total_cmp)
        // Pauses below a millisecond are events that were read together.
        .map(|pause| pause.max(1.0))
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
