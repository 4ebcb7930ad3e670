//! Detection of a closed connection behind unread bytes.

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

fn is_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let count = poll(&mut polled, Some(&Timespec::default()));
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    count.is_ok_and(|count| count > 0) && polled[0].revents().intersects(ends)
}
