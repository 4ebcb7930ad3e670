//! Errors of commands.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::json::DocumentFault;

/// The exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;
/// The exit code for a command that could not run.
const FAILURE_EXIT_CODE: u8 = 3;

/// The reason that a command failed without a result.
#[derive(Debug, Display, Error, From)]
pub(super) enum CliError {
    /// The command line is invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Usage(#[error(not(source))] String),
    /// A file can't be read.
    #[display("can't read {}: {source}", path.display())]
    #[from(ignore)]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The output can't be written.
    #[display("can't write the output: {_0}")]
    Output(std::io::Error),
    /// A policy of a replay produced no report.
    #[display("the replay of policy `{_0}` failed")]
    #[from(ignore)]
    Replay(#[error(not(source))] String),
    /// The host can't serve.
    #[display("can't serve: {_0}")]
    #[from(ignore)]
    Serve(std::io::Error),
    /// The status of a daemon can't be read.
    #[display("no status: {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] String),
}

impl CliError {
    /// Returns the exit code, as documented in the help text.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => USAGE_EXIT_CODE,
            Self::File { .. }
            | Self::Output(_)
            | Self::Replay(_)
            | Self::Serve(_)
            | Self::Status(_) => FAILURE_EXIT_CODE,
        }
    }
}

/// Creates an error for an unknown name on the command line, with the closest known
/// name as a suggestion.
pub(super) fn unknown_name_error<'a>(
    flag: &str,
    name: &str,
    message: &str,
    names: impl Iterator<Item = &'a str>,
) -> CliError {
    let fault = DocumentFault::new(flag, format!("`{name}` {message}"));
    CliError::Usage(fault.with_suggestion(name, names).to_string())
}
