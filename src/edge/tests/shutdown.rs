//! Leaving, and whole events.

use std::time::Duration;

use super::super::event_splitter::EventSplitter;
use super::super::shutdown_controller::ShutdownPhase;

const GRACE_LIMIT: Duration = Duration::from_millis(7600);

/// Lets a host leave; `running` tells how many requests run at a time of it.
/// Returns each step with the time at which it began.
fn simulate_shutdown(running: impl Fn(u64) -> usize) -> Vec<(u64, ShutdownPhase)> {
    let mut phase = ShutdownPhase::Serving;
    let mut phases = vec![(0, phase)];
    for time in (0..10_000).step_by(50) {
        let next = phase.next(Duration::from_millis(time), running(time), GRACE_LIMIT);
        if next != phase {
            phases.push((time, next));
        }
        phase = next;
    }
    phases
}

fn is_refusing(phases: &[(u64, ShutdownPhase)], time: u64) -> bool {
    let before = phases.iter().rfind(|(since, _)| *since <= time);
    before.is_some_and(|(_, phase)| *phase != ShutdownPhase::Serving)
}

/// A caller sent a long briefing on a kept connection three seconds after the host
/// was told to leave. The host took it, and had to end in the middle of the answer:
/// the caller saw a cut stream. The cause: it let requests in for too long.
#[test]
fn a_host_that_leaves_takes_nothing_that_it_cant_finish() {
    let phases = simulate_shutdown(|_| 1);

    assert!(!is_refusing(&phases, 2000));
    assert!(is_refusing(&phases, 2900));
    assert_eq!(phases.last(), Some(&(7600, ShutdownPhase::Exited)));
}

/// A host that had nothing to do was about to end. In that moment a request came on
/// a kept connection; it was taken and sent, and 0.5 s later the process ended in
/// the middle of the answer. The cause: the last look came before the end.
#[test]
fn a_request_that_meets_the_end_is_refused() {
    let idle = simulate_shutdown(|_| 0);
    let refusing = simulate_shutdown(|time| usize::from((2700..2800).contains(&time)));

    let end = |phases: &[(u64, ShutdownPhase)]| phases.last().map(|(time, _)| *time);
    assert!(is_refusing(&idle, 2600));
    assert!(end(&idle).is_some_and(|end| end >= 2900));
    assert!(end(&refusing).is_some_and(|end| end >= 3050));
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
