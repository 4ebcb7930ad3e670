//! Detection of dead connections by TCP keepalive and `TCP_USER_TIMEOUT`.

use std::time::Duration;

use async_std::net::TcpStream;
use rustix::net::sockopt::set_socket_keepalive;
use rustix::net::sockopt::set_tcp_keepcnt;
use rustix::net::sockopt::set_tcp_keepidle;
use rustix::net::sockopt::set_tcp_keepintvl;
use rustix::net::sockopt::set_tcp_user_timeout;

/// How long a connection may be unresponsive before it is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveSettings {
    /// Idle time before the first keepalive probe, and time between two probes.
    pub(crate) probe_interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub(crate) max_probes: u32,
    /// Maximum time for which sent bytes may stay unacknowledged.
    pub(crate) user_timeout: Duration,
}

/// Enables keepalive probes, and disables Nagle's algorithm so that small writes are
/// sent at once.
///
/// Guards against connections that stop responding without a reset: the other host
/// lost power, or a device on the path dropped the connection's state. No read or
/// write fails then; only unanswered probes reveal it. An option that the system
/// doesn't support is skipped: the time-outs of each exchange apply without it.
pub(crate) fn configure_keepalive(stream: &TcpStream, settings: KeepaliveSettings) {
    stream.set_nodelay(true).ok();
    set_socket_keepalive(stream, true).ok();
    set_tcp_keepidle(stream, settings.probe_interval).ok();
    set_tcp_keepintvl(stream, settings.probe_interval).ok();
    set_tcp_keepcnt(stream, settings.max_probes).ok();
    let user_timeout_ms = settings.user_timeout.as_millis() as u32;
    set_tcp_user_timeout(stream, user_timeout_ms).ok();
}
