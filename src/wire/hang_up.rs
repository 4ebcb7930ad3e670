//! Detection of connections that were closed or reset, or have unread bytes.

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

/// Interval between two looks at a connection: a read would only show the unread bytes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the other side has closed its direction of the connection.
pub(crate) async fn wait_hung_up(stream: &TcpStream) {
    while !is_hung_up(stream) {
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether a connection was reset or has failed, also after that error was reported.
///
/// An error is reported once, to the first call. If a write gets it, the reads behind it return the
/// bytes that had arrived, and then 0, as at an orderly end.
pub(crate) fn was_reset(stream: &TcpStream) -> bool {
    // Such a connection has no peer any more; one that its peer has closed still has.
    stream.peer_addr().is_err()
}

/// Returns which of the connections have bytes or an end to read, in their order.
pub(crate) fn readable_streams<'s>(streams: impl Iterator<Item = &'s TcpStream>) -> Vec<bool> {
    let mut polled: Vec<PollFd<'_>> = streams
        .map(|stream| PollFd::new(stream, PollFlags::IN))
        .collect();
    // After an error, no events are set.
    poll(&mut polled, Some(&Timespec::default())).ok();
    let has_events = |polled: &PollFd<'_>| !polled.revents().is_empty();
    polled.iter().map(has_events).collect()
}

fn is_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let count = poll(&mut polled, Some(&Timespec::default()));
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    count.is_ok_and(|count| count > 0) && polled[0].revents().intersects(ends)
}
