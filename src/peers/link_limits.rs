//! Limits that both ends of a peer connection keep.

use std::time::Duration;

/// How often the calling end pings an idle connection.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may stay silent before it is closed and reopened.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Flow-control window of one call, in bytes.
pub(crate) const STREAM_WINDOW: u32 = 64 << 10;
/// Maximum number of concurrent calls on a connection.
pub(crate) const MAX_STREAMS: u32 = 1024;
/// How many of these may be streamed calls; the rest is reserved for short ones.
pub const MAX_STREAMED_CALLS: usize = MAX_STREAMS as usize / 2;
/// Flow-control window of a connection, in bytes: the sum of the windows of all calls.
/// With a smaller one, streams that are not read (because a caller has stalled) could
/// exhaust the window, and the claims and digests on the same connection would stall as
/// if the peer were unresponsive.
pub(crate) const CONNECTION_WINDOW: u32 = STREAM_WINDOW * MAX_STREAMS;
