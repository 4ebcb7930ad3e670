//! `check`: prints every fault of a file.

use std::io::Write;

use crate::fleet::FleetView;
use crate::fleet::parse_document;
use crate::json::DocumentFault;
use crate::settings::parse_settings;
use crate::settings::settings_warnings;

use super::cli_error::CliError;
use super::command_flags::Check;
use super::command_output::CommandOutcome;
use super::command_output::read_file;
use super::file_kind::FileKind;

/// The faults and warnings of a file.
struct CheckReport {
    title: &'static str,
    faults: Vec<DocumentFault>,
    warnings: Vec<DocumentFault>,
}

/// Checks a settings file or a fleet document and prints the faults and warnings.
pub(super) fn check(flags: &Check, output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    let text = read_file(&flags.file)?;
    let report = match FileKind::detect(&text) {
        Some(FileKind::Settings) => check_settings(&text),
        Some(FileKind::Fleet) => check_fleet(&text),
        None => unknown_file_report(),
    };
    print_report(&flags.file.display().to_string(), &report, output)
}

fn check_settings(text: &str) -> CheckReport {
    let (faults, warnings) = match parse_settings(text) {
        Ok(settings) => (Vec::new(), settings_warnings(&settings)),
        Err(faults) => (faults, Vec::new()),
    };
    CheckReport {
        title: "settings",
        faults,
        warnings,
    }
}

fn check_fleet(text: &str) -> CheckReport {
    let (faults, warnings) = match parse_document(text).and_then(FleetView::compile) {
        Ok(view) => (Vec::new(), view.warnings().to_vec()),
        Err(faults) => (faults, Vec::new()),
    };
    CheckReport {
        title: "fleet document",
        faults,
        warnings,
    }
}

fn unknown_file_report() -> CheckReport {
    let message = "is neither a settings file (`host`, `caller_address`, …) nor a fleet document (`roster`, `targets`, …)";
    CheckReport {
        title: "unknown file",
        faults: vec![DocumentFault::new(".", message)],
        warnings: Vec::new(),
    }
}

fn print_report(
    file: &str,
    report: &CheckReport,
    output: &mut dyn Write,
) -> Result<CommandOutcome, CliError> {
    for fault in &report.faults {
        writeln!(output, "fault: {fault}")?;
    }
    for warning in &report.warnings {
        writeln!(output, "warning: {warning}")?;
    }
    writeln!(
        output,
        "{file}: {}; faults: {}, warnings: {}",
        report.title,
        report.faults.len(),
        report.warnings.len()
    )?;
    if report.faults.is_empty() {
        Ok(CommandOutcome::Success)
    } else {
        Ok(CommandOutcome::Faulty)
    }
}
