//! An upper bound on the useful engine work of a trace, for a scheduler that knows the
//! whole trace in advance.
//!
//! The bound models the engines as one machine that can be divided without loss,
//! preempts and resumes work at no cost, prefills each prefix once, and gets credit for
//! partially completed work. Under these assumptions, earliest deadline first achieves
//! the maximum of any schedule, so no policy can exceed it. The unit of work is the time
//! on a reference engine with a full batch.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::fleet::TargetKind;
use crate::sorted::SortedMap;

use super::ReplayTrace;
use super::TargetPace;
use super::TraceArrival;
use super::TraceFault;
use super::TraceTarget;

/// The batch size of the reference engine.
const REFERENCE_BATCH: u64 = 16;
/// The time step of the computation, in microseconds.
const STEP_US: u64 = 100_000;

/// Returns the time that a request takes on a reference engine with a full batch.
pub fn work_cost(arrival: &TraceArrival) -> Duration {
    engine_time(arrival.prompt_tokens, arrival.output_tokens)
}

/// Returns the maximum useful engine work that any policy could do on the trace.
pub fn offline_bound(trace: &ReplayTrace) -> Duration {
    let mut prefilled_prefixes = SortedMap::new();
    let mut pending = BinaryHeap::new();
    let mut arrivals = trace
        .arrivals
        .iter()
        .filter(|arrival| runs_on_engines(trace, arrival))
        .peekable();
    let mut done = 0.0;
    let mut now = 0;
    while arrivals.peek().is_some() || !pending.is_empty() {
        let end = now + STEP_US;
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at_us < end) {
            let is_prefilled = prefilled_prefixes.insert(arrival.prefix, ()).is_some();
            let shared = if is_prefilled {
                arrival.prefix_tokens
            } else {
                0
            };
            let prompt = arrival.prompt_tokens.saturating_sub(shared);
            let work = engine_time(prompt, arrival.output_tokens).as_secs_f64();
            let deadline = arrival.at_us + arrival.deadline_ms * 1000;
            // As in the report, credit includes the prefix even if it is not prefilled again.
            let credit = work_cost(arrival).as_secs_f64() / work;
            pending.push(Reverse((
                deadline,
                pending.len(),
                CreditedWork(work, credit),
            )));
        }
        let mut capacity = fleet_speed(trace, now) * STEP_US as f64 / 1e6;
        while capacity > 0.0 {
            let Some(Reverse((deadline, number, CreditedWork(work, credit)))) = pending.pop()
            else {
                break;
            };
            if deadline <= now {
                continue;
            }
            let done_now = work.min(capacity);
            capacity -= done_now;
            done += done_now * credit;
            if work > done_now {
                pending.push(Reverse((
                    deadline,
                    number,
                    CreditedWork(work - done_now, credit),
                )));
            }
        }
        now = end;
    }
    Duration::from_secs_f64(done)
}

/// Remaining work and the credit per unit of work. Its order only breaks ties in the heap,
/// by work.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CreditedWork(f64, f64);

impl Eq for CreditedWork {}

impl PartialOrd for CreditedWork {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for CreditedWork {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Returns whether requests like this one run on engines.
pub(super) fn runs_on_engines(trace: &ReplayTrace, arrival: &TraceArrival) -> bool {
    let header = &trace.header;
    let class = header.classes.iter().find(|c| c.name == arrival.class);
    let first = class.and_then(|class| class.targets.first());
    header
        .targets
        .iter()
        .any(|target| Some(&target.name) == first && target.kind == TargetKind::Engine)
}

/// Returns the speed of all engines at a time, in reference engines.
fn fleet_speed(trace: &ReplayTrace, now_us: u64) -> f64 {
    let engines = trace
        .header
        .targets
        .iter()
        .filter(|target| target.kind == TargetKind::Engine);
    engines
        .map(|target| engine_speed(target) / slowdown_factor(trace, target, now_us / 1000))
        .sum()
}

/// Returns the speed of an engine, in reference engines.
pub(super) fn engine_speed(target: &TraceTarget) -> f64 {
    let reference = token_us(&TargetPace::default(), REFERENCE_BATCH);
    reference / token_us(&target.pace, u64::from(target.slots))
}

fn slowdown_factor(trace: &ReplayTrace, target: &TraceTarget, now_ms: u64) -> f64 {
    let factors = trace.header.faults.iter().filter_map(|fault| match fault {
        TraceFault::SlowTarget {
            target: name,
            factor,
            from_ms,
            to_ms,
        } if *name == target.name && (*from_ms..*to_ms).contains(&now_ms) => Some(*factor),
        _ => None,
    });
    f64::from(factors.max().unwrap_or(1))
}

fn engine_time(prompt_tokens: u32, output_tokens: u32) -> Duration {
    let pace = TargetPace::default();
    let prefill_us = f64::from(prompt_tokens) * pace.prefill_us as f64;
    let generation_us = f64::from(output_tokens) * token_us(&pace, REFERENCE_BATCH);
    Duration::from_secs_f64((prefill_us + generation_us) / 1e6)
}

/// Returns the time to generate one token in a batch of this size, in microseconds.
fn token_us(pace: &TargetPace, batch: u64) -> f64 {
    (pace.step_us + batch * pace.sequence_us) as f64 / batch as f64
}
