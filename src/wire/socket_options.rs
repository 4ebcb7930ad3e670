//! Bounds on how long a connection may be silent before it counts as dead.

use std::time::Duration;

use async_std::net::TcpStream;
use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;

/// How long a connection may be silent before it counts as dead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveSettings {
    /// How long it may be idle before the other end is asked for a sign, and how
    /// long between two questions.
    pub(crate) probe_interval: Duration,
    /// How many questions may go unanswered.
    pub(crate) max_probes: u32,
    /// How long sent bytes may stay unacknowledged.
    pub(crate) user_timeout: Duration,
}

/// Bounds a connection's silence, and lets small writes go out at once.
///
/// Guards against connections that go silent without a reset: the other host lost
/// power, or something in between forgot the connection. No read or write fails
/// then; only unanswered probes show it. A system that lacks an option is left
/// as it is: the time-outs of each exchange hold without it.
pub(crate) fn configure_keepalive(stream: &TcpStream, bounds: KeepaliveSettings) {
    stream.set_nodelay(true).ok();
    set_socket_keepalive(stream, true).ok();
    set_tcp_keepidle(stream, bounds.probe_interval).ok();
    set_tcp_keepintvl(stream, bounds.probe_interval).ok();
    set_tcp_keepcnt(stream, bounds.max_probes).ok();
    let unacknowledged = bounds.user_timeout.as_millis() as u32;
    set_tcp_user_timeout(stream, unacknowledged).ok();
}
