//! The entry points and options of a replay.

use std::path::Path;

use super::PolicyKind;
use super::ReplayReport;
use super::ReplayTrace;
use super::TraceError;
use super::offline_bound;
use super::replay_report::report_policy;
use super::replay_run;

/// The policies and the seed of a replay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplayOptions {
    /// The policies to replay, in the order of the report.
    pub policies: Vec<PolicyKind>,
    /// Determines the phases of the hosts' periodic events.
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

/// Replays a trace file.
///
/// # Errors
/// The file can't be read or is not a valid trace.
pub fn replay_file(path: &Path, options: &ReplayOptions) -> Result<ReplayReport, TraceError> {
    let trace = ReplayTrace::open(path)?;
    Ok(replay_trace(&trace, options))
}

/// Replays a trace with each policy, each on its own thread.
pub fn replay_trace(trace: &ReplayTrace, options: &ReplayOptions) -> ReplayReport {
    let bound = offline_bound(trace);
    let seed = options.seed;
    let policies = std::thread::scope(|scope| {
        let threads: Vec<_> = options
            .policies
            .iter()
            .map(|kind| {
                scope.spawn(move || {
                    let records = replay_run::run_policy(trace, *kind, seed);
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
