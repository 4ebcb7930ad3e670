//! The entry points of a replay.

use std::path::Path;

use super::PolicyKind;
use super::ReplayReport;
use super::ReplayTrace;
use super::TraceError;
use super::offline_bound;
use super::replay_report::report_policy;
use super::replay_run;

/// What is played, and with which seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplayOptions {
    /// The policies, in the order of the report.
    pub policies: Vec<PolicyKind>,
    /// Where in their periods the hosts' clocks begin.
    pub seed: u64,
}

impl Default for ReplayOptions {
    fn default() -> Self {
        Self {
            policies: PolicyKind::ALL.to_vec(),
            seed: 1,
        }
    }
}

/// Plays a trace file.
///
/// # Errors
/// Fails when the file can't be read or is no trace.
pub fn replay_file(path: &Path, options: &ReplayOptions) -> Result<ReplayReport, TraceError> {
    let trace = ReplayTrace::open(path)?;
    Ok(replay_trace(&trace, options))
}

/// Plays a trace; each policy on a thread of its own.
pub fn replay_trace(trace: &ReplayTrace, options: &ReplayOptions) -> ReplayReport {
    let bound = offline_bound(trace);
    let seed = options.seed;
    let policies = std::thread::scope(|scope| {
        let threads: Vec<_> = options
            .policies
            .iter()
            .map(|kind| {
                scope.spawn(move || {
                    let records = replay_run::play(trace, *kind, seed);
                    report_policy(trace, *kind, &records)
                })
            })
            .collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    ReplayReport {
        trace: trace.header.name.clone(),
        seed,
        bound_seconds: bound.as_secs_f64(),
        policies,
    }
}
