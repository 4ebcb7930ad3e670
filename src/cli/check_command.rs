//! `check`: prints every fault of a file, and what changes against the version in force.

use std::io::Write;

use serde::Serialize;

use crate::fleet::DocumentChange;
use crate::fleet::FleetDocument;
use crate::fleet::FleetView;
use crate::fleet::compare_documents;
use crate::fleet::duplicate_names;
use crate::fleet::parse_document;
use crate::json::DocumentFault;
use crate::settings::parse_settings;
use crate::settings::settings_warnings;

use super::cli_error::CliError;
use super::command_flags::Check;
use super::command_output::CommandOutcome;
use super::command_output::print_json;
use super::command_output::read_file;
use super::file_kind::FileKind;

/// Maximum number of faults, warnings and changes that are printed, each; a longer list would not
/// help the author.
const MAX_FINDINGS: usize = 200;

/// The faults and warnings of a file, and its differences from the version in force.
#[derive(Serialize)]
struct CheckReport {
    title: &'static str,
    faults: FindingList<DocumentFault>,
    warnings: FindingList<DocumentFault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<FindingList<DocumentChange>>,
}

/// Findings of one kind, the first ones if there are many.
#[derive(Serialize)]
struct FindingList<T> {
    count: usize,
    /// Number of findings that are not listed.
    omitted: usize,
    listed: Vec<T>,
}

impl<T> FindingList<T> {
    fn new(mut findings: Vec<T>) -> Self {
        let count = findings.len();
        findings.truncate(MAX_FINDINGS);
        Self {
            count,
            omitted: count - findings.len(),
            listed: findings,
        }
    }
}

/// Checks a settings file or a fleet document and prints the faults and warnings.
pub(super) fn check(flags: &Check, output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    let is_json = match flags.format.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(format) => {
            let message = format!("--format: `{format}` is neither `text` nor `json`");
            return Err(CliError::Usage(message));
        }
    };
    let text = read_file(&flags.file)?;
    let in_force = flags.against.as_deref().map(read_file).transpose()?;
    let report = match FileKind::detect(&text) {
        Some(FileKind::Settings) => check_settings(&text, in_force.as_deref()),
        Some(FileKind::Fleet) => check_fleet(&text, in_force.as_deref()),
        None => unknown_file_report(),
    };
    match is_json {
        true => print_json(&report, output)?,
        false => print_report(&flags.file.display().to_string(), &report, output)?,
    }
    let is_faulty = report.faults.count > 0 || flags.strict && report.warnings.count > 0;
    Ok(match is_faulty {
        true => CommandOutcome::Faulty,
        false => CommandOutcome::Success,
    })
}

fn check_settings(text: &str, in_force: Option<&str>) -> CheckReport {
    let (mut faults, warnings) = match parse_settings(text) {
        Ok(settings) => (Vec::new(), settings_warnings(&settings)),
        Err(faults) => (faults, Vec::new()),
    };
    if in_force.is_some() {
        let message = "is a settings file; only fleet documents are compared with `--against`";
        faults.push(DocumentFault::new(".", message));
    }
    report_of("settings", faults, warnings, None)
}

fn check_fleet(text: &str, in_force: Option<&str>) -> CheckReport {
    let title = "fleet document";
    let document = match parse_document(text) {
        Ok(document) => document,
        Err(mut faults) => {
            faults.extend(duplicate_names(text));
            return report_of(title, faults, Vec::new(), None);
        }
    };
    let changes = in_force.map(|in_force| changes_against(in_force, &document));
    let (changes, mut faults) = match changes {
        Some(Ok(changes)) => (Some(changes), Vec::new()),
        Some(Err(faults)) => (None, faults),
        None => (None, Vec::new()),
    };
    let warnings = match FleetView::compile(document) {
        Ok(view) => view.warnings().to_vec(),
        Err(found) => {
            faults.extend(found);
            Vec::new()
        }
    };
    report_of(title, faults, warnings, changes)
}

/// Returns the differences from the version in force, or its faults.
fn changes_against(
    in_force: &str,
    document: &FleetDocument,
) -> Result<Vec<DocumentChange>, Vec<DocumentFault>> {
    match parse_document(in_force) {
        Ok(in_force) => Ok(compare_documents(&in_force, document)),
        Err(faults) => {
            let named = faults.into_iter().map(|fault| DocumentFault {
                message: format!("in the version in force: {}", fault.message),
                ..fault
            });
            Err(named.collect())
        }
    }
}

fn report_of(
    title: &'static str,
    faults: Vec<DocumentFault>,
    warnings: Vec<DocumentFault>,
    changes: Option<Vec<DocumentChange>>,
) -> CheckReport {
    CheckReport {
        title,
        faults: FindingList::new(faults),
        warnings: FindingList::new(warnings),
        changes: changes.map(FindingList::new),
    }
}

fn unknown_file_report() -> CheckReport {
    let message = "is neither a settings file (`host`, `caller_address`, …) nor a fleet document (`roster`, `targets`, …)";
    let fault = DocumentFault::new(".", message);
    report_of("unknown file", vec![fault], Vec::new(), None)
}

fn print_report(file: &str, report: &CheckReport, output: &mut dyn Write) -> Result<(), CliError> {
    let faults = report.faults.listed.iter().map(DocumentFault::to_string);
    print_findings("fault", faults, report.faults.omitted, output)?;
    let warnings = report.warnings.listed.iter().map(DocumentFault::to_string);
    print_findings("warning", warnings, report.warnings.omitted, output)?;
    if let Some(changes) = &report.changes {
        let listed = changes.listed.iter().map(DocumentChange::to_string);
        print_findings("change", listed, changes.omitted, output)?;
    }
    write!(
        output,
        "{file}: {}; faults: {}, warnings: {}",
        report.title, report.faults.count, report.warnings.count
    )?;
    if let Some(changes) = &report.changes {
        write!(output, ", changes: {}", changes.count)?;
    }
    writeln!(output)?;
    Ok(())
}

fn print_findings(
    kind: &str,
    findings: impl Iterator<Item = String>,
    omitted: usize,
    output: &mut dyn Write,
) -> Result<(), CliError> {
    for finding in findings {
        writeln!(output, "{kind}: {finding}")?;
    }
    if omitted > 0 {
        writeln!(output, "{kind}: and {omitted} more")?;
    }
    Ok(())
}
