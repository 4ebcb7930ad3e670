//! Entry point of the command line: parses the arguments and runs a command.

use std::ffi::OsString;
use std::io::Write;
use std::io::stderr;
use std::io::stdout;
use std::process::ExitCode;

use super::check_command::check;
use super::cli_error::CliError;
use super::command_flags::Cardamomgw;
use super::command_flags::CardamomgwCmd;
use super::command_flags::help_text;
use super::command_output::CommandOutcome;
use super::edge_command::serve_edge;
use super::explain_command::explain;
use super::replay_command::replay;
use super::serve_command::serve;
use super::settings_command::print_settings;
use super::status_command::print_status;
use super::trace_command::trace;

/// Runs the command given by the process's arguments (without the program's name).
///
/// Results are written to stdout, errors to stderr; `--help` documents the exit codes.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    // Not locked: a serving host logs to stdout.
    let mut output = stdout();
    let result = parse_and_run(arguments, &mut output);
    let code = match result {
        Ok(outcome) => outcome.exit_code(),
        Err(error) => print_error(&error),
    };
    ExitCode::from(code)
}

fn print_error(error: &CliError) -> u8 {
    // If stderr is closed, the exit code has to suffice.
    let _ = writeln!(stderr(), "cardamomgw: {error}");
    error.exit_code()
}

fn parse_and_run(
    arguments: Vec<OsString>,
    output: &mut dyn Write,
) -> Result<CommandOutcome, CliError> {
    if arguments.is_empty() {
        let message = format!("missing command\n\n{}", help_text());
        return Err(CliError::Usage(message));
    }
    match Cardamomgw::from_vec(arguments) {
        Ok(flags) if flags.version => print_version(output),
        Ok(flags) => run_command(flags.subcommand, output),
        Err(error) if error.is_help() => {
            writeln!(output, "{error}")?;
            Ok(CommandOutcome::Success)
        }
        Err(error) => {
            let message = format!("{error}; see `cardamomgw --help`");
            Err(CliError::Usage(message))
        }
    }
}

fn run_command(command: CardamomgwCmd, output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    match command {
        CardamomgwCmd::Serve(flags) => serve(&flags.settings),
        CardamomgwCmd::Edge(_) => serve_edge(),
        CardamomgwCmd::Check(flags) => check(&flags, output),
        CardamomgwCmd::Explain(flags) => explain(&flags, output),
        CardamomgwCmd::Status(flags) => print_status(&flags, output),
        CardamomgwCmd::Replay(flags) => replay(&flags, output),
        CardamomgwCmd::Trace(flags) => trace(&flags, output),
        CardamomgwCmd::Settings(_) => print_settings(output),
        CardamomgwCmd::Help(_) => {
            writeln!(output, "{}", help_text())?;
            Ok(CommandOutcome::Success)
        }
    }
}

fn print_version(output: &mut dyn Write) -> Result<CommandOutcome, CliError> {
    writeln!(output, "cardamomgw {}", env!("CARGO_PKG_VERSION"))?;
    Ok(CommandOutcome::Success)
}
