//! `edge`: one host of the users' platform, until it is told to leave.

use std::io::Write;
use std::io::stderr;

use async_std::task;

use crate::edge::EdgeHost;
use crate::platform;

use super::cli_error::CliError;
use super::command_output::CommandVerdict;

/// Serves with the platform's settings file until SIGTERM or SIGINT.
pub(super) fn serve_edge() -> Result<CommandVerdict, CliError> {
    let parts = match platform::open_parts(platform::settings_path()) {
        Ok(parts) => parts,
        Err(faults) => {
            for fault in faults {
                writeln!(stderr(), "fault: {fault}")?;
            }
            return Ok(CommandVerdict::Faulty);
        }
    };
    let served = task::block_on(async { EdgeHost::open(parts).await?.run().await });
    served.map_err(CliError::Serve)?;
    Ok(CommandVerdict::Clean)
}
