//! `explain`: shows which targets may serve a request and why the others may not.

use std::io::Write;

use serde::Serialize;

use crate::fleet::CompiledAccount;
use crate::fleet::CompiledClass;
use crate::fleet::FleetView;
use crate::fleet::TargetExplanation;
use crate::fleet::parse_document;
use crate::ids::AccountName;
use crate::ids::ClassName;
use crate::ids::TierRank;
use crate::json::DocumentFault;

use super::cli_error::CliError;
use super::cli_error::unknown_name_error;
use super::command_flags::Explain;
use super::command_output::CommandOutcome;
use super::command_output::print_json;
use super::command_output::read_file;

/// The end of the error message for a name that the document doesn't contain.
const NOT_IN_DOCUMENT: &str = "is not in the document";

/// The output with `--json`.
#[derive(Serialize)]
struct ExplainReport<'a> {
    account: &'a AccountName,
    class: &'a ClassName,
    tier: TierRank,
    idempotent: bool,
    deadline_ms: u64,
    targets: Vec<TargetExplanation>,
}

/// Prints for each target whether it may serve the request, or the first reason that
/// excludes it.
pub(super) fn explain(flags: &Explain, output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    let text = read_file(&flags.file)?;
    let view = match parse_document(&text).and_then(FleetView::compile) {
        Ok(view) => view,
        Err(faults) => return print_faults(&faults, output),
    };
    let account = find_account(&view, &flags.account)?;
    let class = find_class(&view, flags)?;
    let report = ExplainReport {
        account: &account.account.name,
        class: &class.rule.name,
        tier: class.rule.tier,
        idempotent: class.rule.idempotent,
        deadline_ms: class.rule.deadline_ms,
        targets: view.explain(class, account),
    };
    if flags.json {
        print_json(&report, output)?;
    } else {
        print_text(&report, output)?;
    }
    Ok(outcome(&report))
}

fn print_faults(
    faults: &[DocumentFault],
    output: &mut dyn Write,
) -> Result<CommandOutcome, CliError> {
    for fault in faults {
        writeln!(output, "fault: {fault}")?;
    }
    Ok(CommandOutcome::Faulty)
}

fn find_account<'a>(view: &'a FleetView, name: &str) -> Result<&'a CompiledAccount, CliError> {
    let names = view
        .accounts()
        .iter()
        .map(|view| view.account.name.as_str());
    view.account(name)
        .ok_or_else(|| unknown_name_error("--account", name, NOT_IN_DOCUMENT, names))
}

fn find_class<'a>(view: &'a FleetView, flags: &Explain) -> Result<&'a CompiledClass, CliError> {
    match (&flags.class, &flags.method, &flags.path) {
        (Some(name), None, None) => {
            let names = view.classes().iter().map(|view| view.rule.name.as_str());
            view.class(name)
                .ok_or_else(|| unknown_name_error("--class", name, NOT_IN_DOCUMENT, names))
        }
        (None, Some(method), Some(path)) => view
            .class_for_request(method, path, flags.request_class.as_deref())
            .ok_or_else(|| {
                let message = format!("no class matches {method} {path}; callers get 404");
                CliError::Usage(message)
            }),
        _ => {
            let message = "give either --class, or --method and --path";
            Err(CliError::Usage(String::from(message)))
        }
    }
}

fn print_text(report: &ExplainReport<'_>, output: &mut dyn Write) -> Result<(), CliError> {
    let idempotency = if report.idempotent {
        "idempotent"
    } else {
        "non-idempotent"
    };
    writeln!(
        output,
        "account {}, class {}: tier {}, {idempotency}, deadline {} ms",
        report.account, report.class, report.tier, report.deadline_ms
    )?;
    let names = report.targets.iter().map(|target| target.target.len());
    let width = names.max().unwrap_or(0);
    for target in &report.targets {
        let reason = match &target.excluded {
            Some(reason) => format!("no   {reason}"),
            None => String::from("yes"),
        };
        writeln!(output, "  {:width$}  {reason}", target.target)?;
    }
    Ok(())
}

fn outcome(report: &ExplainReport<'_>) -> CommandOutcome {
    let mut targets = report.targets.iter();
    if targets.any(|target| target.excluded.is_none()) {
        CommandOutcome::Success
    } else {
        CommandOutcome::Faulty
    }
}
