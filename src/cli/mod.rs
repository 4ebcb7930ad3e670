//! The command line, with one module per subcommand.

mod check_command;
mod cli_error;
mod command_flags;
mod command_output;
mod edge_command;
mod explain_command;
mod file_kind;
mod replay_command;
mod run_command;
mod serve_command;
mod settings_command;
mod status_command;
mod status_table;
mod trace_command;

pub use run_command::run;
