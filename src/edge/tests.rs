//! Tests of the host's own parts.

use std::time::Duration;

use super::event_splitter::EventSplitter;
use super::leave_controller::takes_requests;

/// A caller sent a long briefing on a kept connection three seconds after the host
/// was told to leave. The host took it, and had to end in the middle of the answer:
/// the caller saw a cut stream. The cause: it let requests in for too long.
#[test]
fn a_host_that_leaves_takes_nothing_that_it_cant_finish() {
    let early = Duration::from_millis(2000);
    let late = Duration::from_millis(3000);

    assert!(takes_requests(None));
    assert!(takes_requests(Some(early)));
    assert!(!takes_requests(Some(late)));
}

#[test]
fn only_whole_events_go_on_and_the_last_id_is_known() {
    let mut splitter = EventSplitter::default();

    let first = splitter.take_events(&mut b"id: 1\ndata: a\n\nid: 2\nda".to_vec());
    let second = splitter.take_events(&mut b"ta: b\n\nid: 3".to_vec());

    assert_eq!(first, b"id: 1\ndata: a\n\n");
    assert_eq!(second, b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    assert_eq!(splitter.take_rest(), b"id: 3");
}
