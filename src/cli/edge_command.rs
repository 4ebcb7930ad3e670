//! `edge`: one host of the users' platform, until it is told to leave.

use std::io::Write;
use std::io::stderr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;

use crate::edge::EdgeDependencies;
use crate::edge::EdgeHost;
use crate::edge::EdgeSignals;
use crate::json::DocumentFault;
use crate::platform;

use super::cli_error::CliError;
use super::command_output::CommandVerdict;

/// How long faulty settings are read again at the start: the file may be being rewritten.
const SETTINGS_PATIENCE: Duration = Duration::from_millis(500);
/// The pause between two reads.
const SETTINGS_PAUSE: Duration = Duration::from_millis(20);

/// Serves with the platform's settings file until SIGTERM or SIGINT.
pub(super) fn serve_edge() -> Result<CommandVerdict, CliError> {
    // Before anything that takes time: SIGHUP would end a host that still starts.
    let signals = task::block_on(async { EdgeSignals::register() }).map_err(CliError::Serve)?;
    let parts = match open_parts() {
        Ok(parts) => parts,
        Err(faults) => {
            for fault in faults {
                writeln!(stderr(), "fault: {fault}")?;
            }
            return Ok(CommandVerdict::Faulty);
        }
    };
    let host = task::block_on(EdgeHost::start(parts)).map_err(CliError::Serve)?;
    task::block_on(host.run(signals));
    Ok(CommandVerdict::Clean)
}

/// Reads the settings, again for a while where they are faulty.
fn open_parts() -> Result<EdgeDependencies, Vec<DocumentFault>> {
    let begun = Instant::now();
    loop {
        let opened = platform::load_dependencies(platform::settings_path());
        if opened.is_ok() || begun.elapsed() >= SETTINGS_PATIENCE {
            return opened;
        }
        thread::sleep(SETTINGS_PAUSE);
    }
}
