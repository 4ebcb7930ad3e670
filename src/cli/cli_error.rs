//! Why a command ended without its answer.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::json::DocumentFault;

/// The command line is wrong.
const USAGE_CODE: u8 = 2;
/// The command could not run.
const FAILURE_CODE: u8 = 3;

/// Why a command ended without its answer.
#[derive(Debug, Display, Error, From)]
pub(super) enum CliError {
    /// The command line is wrong.
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
    /// The answer can't be written.
    #[display("can't write the answer: {_0}")]
    Output(std::io::Error),
    /// A policy of a replay ended without its report.
    #[display("the replay of policy `{_0}` failed")]
    #[from(ignore)]
    Replay(#[error(not(source))] String),
    /// The host can't serve.
    #[display("can't serve: {_0}")]
    #[from(ignore)]
    Serve(std::io::Error),
    /// A daemon gave no status.
    #[display("no status: {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] String),
}

impl CliError {
    /// Returns the exit code that the help documents.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => USAGE_CODE,
            Self::File { .. }
            | Self::Output(_)
            | Self::Replay(_)
            | Self::Serve(_)
            | Self::Status(_) => FAILURE_CODE,
        }
    }
}

/// Complains of a name on the command line, and offers the closest one.
pub(super) fn unknown_name<'a>(
    flag: &str,
    name: &str,
    message: &str,
    names: impl Iterator<Item = &'a str>,
) -> CliError {
    let fault = DocumentFault::new(flag, format!("`{name}` {message}"));
    CliError::Usage(fault.with_suggestion(name, names).to_string())
}
