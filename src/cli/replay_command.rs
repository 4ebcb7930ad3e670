//! `replay`: prints the metrics of a recorded trace under each policy.

use std::io::Write;

use crate::replay::PolicyKind;
use crate::replay::ReplayOptions;
use crate::replay::ReplayReport;
use crate::replay::ReplayTrace;
use crate::replay::replay_trace;
use crate::replay::report_table;

use super::cli_error::CliError;
use super::cli_error::unknown_name_error;
use super::command_flags::Replay;
use super::command_output::CommandOutcome;
use super::command_output::print_json;
use super::command_output::read_file;

/// Replays a trace and prints the metrics.
pub(super) fn replay(flags: &Replay, output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    let options = replay_options(flags)?;
    let text = read_file(&flags.trace)?;
    let trace = match ReplayTrace::parse(&text) {
        Ok(trace) => trace,
        Err(error) => {
            writeln!(output, "fault: {error}")?;
            return Ok(CommandOutcome::Faulty);
        }
    };
    let report = replay_trace(&trace, &options);
    check_completeness(&report, &options)?;
    if flags.json {
        print_json(&report, output)?;
    } else {
        output.write_all(report_table(&report).as_bytes())?;
    }
    Ok(CommandOutcome::Success)
}

fn replay_options(flags: &Replay) -> Result<ReplayOptions, CliError> {
    let mut options = ReplayOptions::default();
    if let Some(seed) = flags.seed {
        options.seed = seed;
    }
    if !flags.policy.is_empty() {
        let kinds = flags.policy.iter().map(|name| policy_kind(name));
        options.policies = kinds.collect::<Result<_, _>>()?;
    }
    Ok(options)
}

fn policy_kind(name: &str) -> Result<PolicyKind, CliError> {
    let names = PolicyKind::ALL.map(|kind| kind.to_string());
    PolicyKind::ALL
        .into_iter()
        .find(|kind| kind.to_string() == name)
        .ok_or_else(|| {
            let message = format!("is not a policy; the policies are {}", names.join(", "));
            unknown_name_error("--policy", name, &message, names.iter().map(String::as_str))
        })
}

/// Checks that the report covers every policy: a policy whose run failed is missing
/// from the report, which must not be presented as complete.
fn check_completeness(report: &ReplayReport, options: &ReplayOptions) -> Result<(), CliError> {
    let missing = options
        .policies
        .iter()
        .find(|kind| report.policy(**kind).is_none());
    match missing {
        Some(kind) => Err(CliError::Replay(kind.to_string())),
        None => Ok(()),
    }
}
