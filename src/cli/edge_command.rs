//! `edge`: runs a host of the users' platform until it is told to leave.

use std::io::Write;
use std::io::stderr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;

use crate::edge::EdgeDependencies;
use crate::edge::EdgeHost;
use crate::json::DocumentFault;
use crate::platform;
use crate::signals::ProcessSignals;

use super::cli_error::CliError;
use super::command_output::CommandOutcome;

/// How long loading is retried at the start if the settings are faulty: the file may be
/// in the middle of a rewrite.
const SETTINGS_RETRY_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay between two attempts.
const SETTINGS_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs a host with the platform's settings file until SIGTERM or SIGINT.
pub(super) fn serve_edge() -> Result<CommandOutcome, CliError> {
    // Registered before anything slow: SIGHUP would otherwise end a starting host.
    let signals = task::block_on(async { ProcessSignals::register() }).map_err(CliError::Serve)?;
    let dependencies = match load_dependencies() {
        Ok(dependencies) => dependencies,
        Err(faults) => {
            for fault in faults {
                writeln!(stderr(), "fault: {fault}")?;
            }
            return Ok(CommandOutcome::Faulty);
        }
    };
    let host = task::block_on(EdgeHost::start(dependencies)).map_err(CliError::Serve)?;
    task::block_on(host.run(signals));
    Ok(CommandOutcome::Success)
}

/// Loads the settings, with retries for [`SETTINGS_RETRY_TIMEOUT`] if they are faulty.
fn load_dependencies() -> Result<EdgeDependencies, Vec<DocumentFault>> {
    let started = Instant::now();
    loop {
        let result = platform::load_dependencies(platform::settings_path());
        if result.is_ok() || started.elapsed() >= SETTINGS_RETRY_TIMEOUT {
            return result;
        }
        thread::sleep(SETTINGS_RETRY_DELAY);
    }
}
