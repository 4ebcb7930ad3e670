//! Outcomes of commands, and input and output functions that they share.

use std::fs;
use std::io::Write;
use std::path::Path;

use serde::Serialize;

use super::cli_error::CliError;

/// The outcome of a command that could run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CommandOutcome {
    /// The command succeeded and found no faults.
    Success,
    /// Faults were found, or no target is allowed.
    Faulty,
}

impl CommandOutcome {
    /// Returns the exit code, as documented in the help text.
    pub(super) fn exit_code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Faulty => 1,
        }
    }
}

/// Reads a file given on the command line.
pub(super) fn read_file(path: &Path) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_path_buf(),
        source,
    })
}

/// Prints a report as JSON.
pub(super) fn print_json(report: &impl Serialize, output: &mut dyn Write) -> Result<(), CliError> {
    serde_json::to_writer_pretty(&mut *output, report).map_err(std::io::Error::from)?;
    writeln!(output)?;
    Ok(())
}
