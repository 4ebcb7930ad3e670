//! `settings`: prints the default settings.

use std::io::Write;

use crate::settings::DEFAULT_SETTINGS;

use super::cli_error::CliError;
use super::command_output::CommandOutcome;

/// Prints the default settings, with comments.
pub(super) fn print_settings(output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    output.write_all(DEFAULT_SETTINGS.as_bytes())?;
    Ok(CommandOutcome::Success)
}
