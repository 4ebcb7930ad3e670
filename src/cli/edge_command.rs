//! `edge`: one host of the users' platform, until it is told to leave.

use std::io::Write;
use std::io::stderr;

use async_std::task;

use crate::edge::EdgeHost;
use crate::edge::EdgeSignals;
use crate::platform;

use super::cli_error::CliError;
use super::command_output::CommandVerdict;

/// Serves with the platform's settings file until SIGTERM or SIGINT.
pub(super) fn serve_edge() -> Result<CommandVerdict, CliError> {
    // Before anything that takes time: SIGHUP would end a host that still starts.
    let signals = task::block_on(async { EdgeSignals::open() }).map_err(CliError::Serve)?;
    let parts = match platform::open_parts(platform::settings_path()) {
        Ok(parts) => parts,
        Err(faults) => {
            for fault in faults {
                writeln!(stderr(), "fault: {fault}")?;
            }
            return Ok(CommandVerdict::Faulty);
        }
    };
    let host = task::block_on(EdgeHost::open(parts)).map_err(CliError::Serve)?;
    task::block_on(host.run(signals));
    Ok(CommandVerdict::Clean)
}
