//! `replay`: the measures of a recorded trace under each policy.

use std::io::Write;

use crate::replay::PolicyKind;
use crate::replay::ReplayOptions;
use crate::replay::ReplayReport;
use crate::replay::ReplayTrace;
use crate::replay::replay_trace;
use crate::replay::report_table;

use super::cli_error::CliError;
use super::cli_error::unknown_name;
use super::command_flags::Replay;
use super::command_output::CommandVerdict;
use super::command_output::print_json;
use super::command_output::read_file;

/// Plays a trace and prints the measures.
pub(super) fn replay(flags: &Replay, output: &mut dyn Write) -> Result<CommandVerdict, CliError> {
    let options = replay_options(flags)?;
    let text = read_file(&flags.trace)?;
    let trace = match ReplayTrace::parse(&text) {
        Ok(trace) => trace,
        Err(error) => {
            writeln!(output, "fault: {error}")?;
            return Ok(CommandVerdict::Faulty);
        }
    };
    let report = replay_trace(&trace, &options);
    require_all(&report, &options)?;
    if flags.json {
        print_json(&report, output)?;
    } else {
        output.write_all(report_table(&report).as_bytes())?;
    }
    Ok(CommandVerdict::Clean)
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
            let message = format!("is no policy; there are {}", names.join(", "));
            unknown_name("--policy", name, &message, names.iter().map(String::as_str))
        })
}

/// A policy whose run failed is left out of the report: that must not look like
/// a whole answer.
fn require_all(report: &ReplayReport, options: &ReplayOptions) -> Result<(), CliError> {
    let missing = options
        .policies
        .iter()
        .find(|kind| report.policy(**kind).is_none());
    match missing {
        Some(kind) => Err(CliError::Replay(kind.to_string())),
        None => Ok(()),
    }
}
