//! Graceful shutdown.

use std::time::Duration;

use super::super::shutdown_controller::ShutdownPhase;

const GRACE_LIMIT: Duration = Duration::from_millis(7600);

/// Simulates a shutdown; `running` returns the number of active requests at a time.
/// Returns each phase with the time at which it started.
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

/// Guards against a host that admits requests for too long during a shutdown. A long
/// request that arrived three seconds after the stop signal was cut off in the middle of
/// its response at the end of the grace period.
#[test]
fn a_host_that_shuts_down_admits_only_requests_that_it_can_complete() {
    let phases = simulate_shutdown(|_| 1);

    assert!(!is_refusing(&phases, 2000));
    assert!(is_refusing(&phases, 2900));
    assert_eq!(phases.last(), Some(&(7600, ShutdownPhase::Exited)));
}

/// Guards against a request that arrives between the last check for active requests and
/// the exit. It was admitted on a kept connection, and its response was cut off when the
/// process exited 0.5 s later.
#[test]
fn a_request_that_arrives_just_before_the_exit_is_refused() {
    let idle = simulate_shutdown(|_| 0);
    let refusing = simulate_shutdown(|time| usize::from((2700..2800).contains(&time)));

    let end = |phases: &[(u64, ShutdownPhase)]| phases.last().map(|(time, _)| *time);
    assert!(is_refusing(&idle, 2600));
    assert!(end(&idle).is_some_and(|end| end >= 2900));
    assert!(end(&refusing).is_some_and(|end| end >= 3050));
}
