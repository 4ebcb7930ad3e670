//! The `cardamomgw` executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    cardamomgw::cli::run(std::env::args_os().skip(1).collect())
}
