//! `trace`: prints the log lines of one request.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;

use super::cli_error::CliError;
use super::command_flags::Trace;
use super::command_output::CommandOutcome;
use crate::logs::RequestTimeline;

/// Prints a request's log lines in order, with the host's state at the time.
pub(super) fn trace(flags: &Trace, output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    let unreadable = |source| CliError::File {
        path: flags.file.clone(),
        source,
    };
    let log = BufReader::new(File::open(&flags.file).map_err(unreadable)?);
    let mut timeline = RequestTimeline::new(&flags.request);
    for line in log.split(b'\n') {
        // A crash may leave half a character at the end of the log.
        let line = line.map_err(unreadable)?;
        timeline.add_line(&String::from_utf8_lossy(&line));
    }
    for line in timeline.lines() {
        writeln!(output, "{line}")?;
    }
    if timeline.lines().is_empty() {
        writeln!(output, "no log line for request {}", flags.request)?;
        return Ok(CommandOutcome::Faulty);
    }
    Ok(CommandOutcome::Success)
}
