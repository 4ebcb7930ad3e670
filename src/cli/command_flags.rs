//! Definition of the command line and its help text.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A request scheduler for heterogeneous fleets of model engines and plain services.
    ///
    /// Exit codes: 0 success, 1 faults were found or no target is allowed,
    /// 2 the command line is invalid, 3 the command could not run.
    cmd cardamomgw {
        /// Print the program's version.
        optional -V,--version

        /// Run an entry host until SIGTERM, which drains it; a second one stops it at once.
        /// SIGHUP is ignored.
        cmd serve {
            /// The host's settings file.
            required --settings file: PathBuf
        }

        /// Run a host of the users' platform with the platform's settings file until
        /// SIGTERM; SIGHUP reloads the settings.
        cmd edge {
        }

        /// Check a settings file or a fleet document and print every fault.
        cmd check {
            /// The file to check.
            required file: PathBuf
            /// The fleet document in force: print what changes against it.
            optional --against file: PathBuf
            /// Exit with 1 for warnings too.
            optional --strict
            /// The output: text, the default, or json.
            optional --format name: String
        }

        /// Show for each target whether it may serve a request, or the first reason that
        /// excludes it.
        cmd explain {
            /// The fleet document.
            required file: PathBuf
            /// The client account that sends the request.
            required --account name: String
            /// The request's class; alternatively, give its method and path.
            optional --class name: String
            /// The request's HTTP method.
            optional --method method: String
            /// The request's path.
            optional --path path: String
            /// The value of the request's Request-Class header, if present.
            optional --request-class name: String
            /// Print JSON.
            optional --json
        }

        /// Show the status of a running daemon.
        cmd status {
            /// The daemon's operator address, such as 127.0.0.1:7102.
            required address: SocketAddr
            /// Print the daemon's JSON unchanged.
            optional --json
        }

        /// Replay a recorded trace against models of its targets and print the metrics.
        cmd replay {
            /// The trace; docs/TRACES.md describes the format.
            required trace: PathBuf
            /// A policy to replay; may be repeated; all policies by default.
            repeated --policy name: String
            /// The seed for the initial phases of the hosts' timers; 1 by default.
            optional --seed number: u64
            /// Print JSON.
            optional --json
        }

        /// Print the log lines of one request in order and, indented, the host's state at
        /// the time.
        cmd trace {
            /// The log: one JSON object per line.
            required file: PathBuf
            /// The request's id.
            required request: String
        }

        /// Print the default settings, with comments.
        cmd settings {}

        /// Print this help.
        default cmd help {}
    }
}

/// Returns the text that `--help` prints.
pub(super) fn help_text() -> &'static str {
    Cardamomgw::HELP_
}
