//! Socket options for connections to callers and targets.

use std::time::Duration;

use async_std::net::TcpStream;
use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// Maximum time for which sent bytes may stay unacknowledged, in milliseconds.
/// Without it, a caller that never reads or that disappeared without closing would
/// hold the memory of its answer for hours.
const USER_TIMEOUT_MS: u32 = 30_000;

/// Disables Nagle's algorithm, so that tokens are sent at once, and enables the
/// detection of dead connections.
///
/// An option that the system doesn't support is skipped; the connection works
/// without it.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    set_socket_keepalive(stream, true).ok();
    set_tcp_keepidle(stream, KEEPALIVE_IDLE).ok();
    set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL).ok();
    set_tcp_keepcnt(stream, KEEPALIVE_PROBES).ok();
    set_tcp_user_timeout(stream, USER_TIMEOUT_MS).ok();
}
