//! `serve`: runs one host until it is told to leave.

use std::io::Write;
use std::io::stderr;
use std::path::Path;

use async_std::task;

use crate::gateway::serve_host;
use crate::settings::read_settings;
use crate::signals::ProcessSignals;

use super::cli_error::CliError;
use super::command_output::CommandOutcome;

/// Runs a host with a settings file until SIGTERM or SIGINT.
pub(super) fn serve(settings: &Path) -> Result<CommandOutcome, CliError> {
    // Registered before anything slow: SIGHUP would otherwise end a starting host.
    let signals = task::block_on(async { ProcessSignals::register() }).map_err(CliError::Serve)?;
    let settings = match read_settings(settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                writeln!(stderr(), "fault: {fault}")?;
            }
            return Ok(CommandOutcome::Faulty);
        }
    };
    task::block_on(serve_host(&settings, signals)).map_err(CliError::Serve)?;
    Ok(CommandOutcome::Success)
}
