//! `trace`: what a host's log tells of one request.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;

use super::cli_error::CliError;
use super::command_flags::Trace;
use super::command_output::CommandVerdict;
use crate::logs::RequestTimeline;

/// Prints a request's lines in order, and what the host believed meanwhile.
pub(super) fn trace(flags: &Trace, output: &mut dyn Write) -> Result<CommandVerdict, CliError> {
    let unreadable = |source| CliError::File {
        path: flags.file.clone(),
        source,
    };
    let log = BufReader::new(File::open(&flags.file).map_err(unreadable)?);
    let mut story = RequestTimeline::new(&flags.request);
    for line in log.split(b'\n') {
        // A crash may leave half a character at the log's end.
        let line = line.map_err(unreadable)?;
        story.add_line(&String::from_utf8_lossy(&line));
    }
    for line in story.lines() {
        writeln!(output, "{line}")?;
    }
    if story.lines().is_empty() {
        writeln!(output, "no line names {}", flags.request)?;
        return Ok(CommandVerdict::Faulty);
    }
    Ok(CommandVerdict::Clean)
}
