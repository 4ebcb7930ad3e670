//! The grammar of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A request scheduler for fleets of unlike model engines and plain services.
    ///
    /// Exit codes: 0 all is well, 1 faults were found or no target is allowed,
    /// 2 the command line is wrong, 3 the command could not run.
    cmd cardamomgw {
        /// Print the program's version.
        optional -V,--version

        /// Serve as one entry host until SIGTERM, which drains, or a second signal.
        cmd serve {
            /// The host's settings file.
            required --settings file: PathBuf
        }

        /// Serve routes as one host of the users' platform, by its settings file,
        /// until SIGTERM; SIGHUP reads the settings again.
        cmd edge {
        }

        /// Check a settings file or a fleet document, and print every fault.
        cmd check {
            /// The file to check.
            required file: PathBuf
        }

        /// Show for one request each target, and the first reason that excludes it.
        cmd explain {
            /// The fleet document.
            required file: PathBuf
            /// The client account that sends the request.
            required --account name: String
            /// The request's class; or else give its method and path.
            optional --class name: String
            /// The request's HTTP method.
            optional --method method: String
            /// The request's path.
            optional --path path: String
            /// The value of the request's Request-Class header, if it has one.
            optional --request-class name: String
            /// Print JSON.
            optional --json
        }

        /// Show a running daemon's status.
        cmd status {
            /// The daemon's operator address, such as 127.0.0.1:7102.
            required address: SocketAddr
            /// Print JSON as the daemon gives it.
            optional --json
        }

        /// Play a recorded trace against models of its targets, and print the measures.
        cmd replay {
            /// The trace; docs/TRACES.md describes the format.
            required trace: PathBuf
            /// A policy to play; may stand several times, and all are played without it.
            repeated --policy name: String
            /// Where in their periods the hosts' clocks begin; 1 when absent.
            optional --seed number: u64
            /// Print JSON.
            optional --json
        }

        /// Print what a host's log tells of one request: its lines in order, and
        /// indented what the host believed meanwhile.
        cmd trace {
            /// The log: one JSON object a line.
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

/// Returns what `--help` prints.
pub(super) fn help_text() -> &'static str {
    Cardamomgw::HELP_
}
