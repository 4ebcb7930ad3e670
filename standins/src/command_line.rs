//! Command line of `standins`.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for the systems around cardamomgw. Servers print `listening ADDR` first.
    cmd standins {
        /// The configuration platform, which serves documents with long-poll watches.
        cmd platform {
            /// Listen address; any free port on loopback by default.
            optional --listen listen: SocketAddr
        }
        /// A model engine.
        cmd engine {
            /// Listen address; any free port on loopback by default.
            optional --listen listen: SocketAddr
            /// Decoding speed of one request.
            optional --tokens-per-second tokens: f64
            /// Number of concurrent requests above which they share the throughput.
            optional --slots slots: u32
            /// Prefill speed.
            optional --prefill-tokens-per-second tokens: f64
            /// Capacity of the prefix cache, in tokens.
            optional --cache-tokens tokens: u32
            /// Age of a load report when it is served, in milliseconds.
            optional --report-lag-ms lag: u64
            /// Accept orders with an outdated fencing number.
            optional --ignores-fences
        }
        /// A plain service, which echoes each call.
        cmd service {
            /// Listen address; any free port on loopback by default.
            optional --listen listen: SocketAddr
            /// Execution time of each call, in milliseconds.
            optional --delay-ms delay: u64
        }
        /// A TCP proxy that can cut, delay or silence connections.
        cmd link {
            /// Address to forward connections to.
            required --upstream upstream: SocketAddr
            /// Listen address; any free port on loopback by default.
            optional --listen listen: SocketAddr
            /// Listen address for `POST /control`; any free port on loopback by default.
            optional --control control: SocketAddr
        }
        /// A load generator that verifies every answer.
        cmd load {
            /// Caller address of a host; may be given several times.
            repeated --gateway gateway: SocketAddr
            /// Address of a target, which gets the same load directly, for comparison.
            optional --direct direct: SocketAddr
            /// The bearer token.
            optional --token token: String
            /// Path; `/v1/generate` by default.
            optional --path path: String
            /// The request class.
            optional --class class: String
            /// Number of concurrent callers; 1 by default.
            optional --callers callers: usize
            /// Number of requests per caller; 1 by default.
            optional --requests requests: usize
            /// Pause of a caller before each request, in milliseconds.
            optional --pause-ms pause: u64
            /// Request streamed answers from engines.
            optional --stream
            /// Number of tokens that an engine generates per request.
            optional --max-tokens tokens: u32
            /// Prompt length in bytes.
            optional --prompt-bytes bytes: usize
            /// Deadline of each request, in milliseconds.
            optional --deadline-ms deadline: u64
            /// Print the report as JSON.
            optional --json
        }
    }
}
