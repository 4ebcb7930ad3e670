//! At-most-once execution and truthful outcomes while hosts die, are paused or are cut off.

#![allow(clippy::panic, clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use std::time::Duration;

use async_std::task;
use standins::CallerAnswer;
use standins::LinkMode;
use standins::LoadPlan;
use standins::LoadReport;
use standins::LoadRun;
use standins::ServiceFaults;
use standins::ServiceSettings;
use standins::new_request_id;
use support::FleetPlan;
use support::TOKEN;
use support::TestFleet;
use support::booking;
use support::call;
use support::spawn_call;
use support::wait_for;

/// Longer than every timeout between hosts; a silent peer is disconnected after 3 s.
const LONG_PAUSE: Duration = Duration::from_secs(6);

/// A fleet whose only service has one slot per host and answers no call.
async fn stuck_fleet() -> TestFleet {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        slots: 3,
        ..FleetPlan::default()
    })
    .await;
    fleet.service(0).set_faults(ServiceFaults {
        never_answers: true,
        ..ServiceFaults::default()
    });
    fleet
}

/// Fills every slot of the service with a call from each host, so that a host's death ends
/// only one of them.
async fn fill_slots(fleet: &TestFleet) {
    for host in fleet.caller_addresses() {
        drop(spawn_call(host, &booking(&new_request_id())));
    }
    wait_for("the busy service", || fleet.executions().len() == 3).await;
}

/// Asserts that the outcome doesn't contradict the executions.
fn assert_truthful(fleet: &TestFleet, id: &str, answer: &CallerAnswer) {
    let runs = fleet.execution_count(id);
    assert!(runs <= 1, "ran {runs} times");
    match answer.outcome() {
        "not-run" => assert_eq!(runs, 0, "told not-run, and it ran"),
        "unknown" => {}
        outcome => panic!("outcome {outcome:?}: {}", answer.text()),
    }
}

fn assert_load_truthful(fleet: &TestFleet, report: &LoadReport) {
    fleet.assert_no_duplicate_executions();
    assert_eq!(report.wrong, 0, "{report}");
    for id in &report.not_run_ids {
        assert_eq!(
            fleet.execution_count(id),
            0,
            "told not-run, and it ran: {id}"
        );
    }
    for id in &report.done_ids {
        assert_eq!(fleet.execution_count(id), 1, "told done: {id}");
    }
}

/// The host dies after it dispatched a booking to the service, and the caller resends it
/// through another host. The outcome can't be known: a second run would book twice, and
/// `not-run` would be false.
#[async_std::test]
async fn a_booking_whose_holder_died_after_dispatch_is_unknown() {
    let mut fleet = stuck_fleet().await;
    let id = new_request_id();
    let first = spawn_call(fleet.caller_address(0), &booking(&id));
    wait_for("the dispatch", || fleet.execution_count(&id) == 1).await;

    fleet.hosts[0].process.kill();
    first.await.unwrap_err();
    let answer = call(fleet.caller_address(1), &booking(&id)).await.unwrap();

    assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
    assert_eq!(fleet.execution_count(&id), 1);
}

/// The host dies while a booking waits in its queue because the service is busy, and the
/// caller resends it through another host. The outcome must be true, also when the service
/// becomes free later.
#[async_std::test]
async fn a_booking_whose_holder_died_before_dispatch_is_answered_truthfully() {
    let mut fleet = stuck_fleet().await;
    fill_slots(&fleet).await;
    let id = new_request_id();
    let waiting = spawn_call(fleet.caller_address(0), &booking(&id));
    task::sleep(Duration::from_millis(300)).await;

    fleet.hosts[0].process.kill();
    waiting.await.unwrap_err();
    fleet.service(0).set_faults(ServiceFaults::default());
    fleet.service(0).crash();
    fleet.service(0).restart().await.unwrap();
    let answer = call(fleet.caller_address(2), &booking(&id)).await.unwrap();

    let runs = fleet.execution_count(&id);
    match answer.outcome() {
        "done" => assert_eq!(runs, 1),
        _ => assert_truthful(&fleet, &id, &answer),
    }
}

/// Bookings are sent through all hosts while one of them is killed before, during or after a
/// dispatch. Callers resend the same ids to other hosts.
#[async_std::test]
async fn bookings_run_at_most_once_while_a_host_is_killed() {
    let mut fleet = TestFleet::start(FleetPlan {
        engines: 0,
        service: ServiceSettings {
            delay: Duration::from_millis(5),
            ..ServiceSettings::default()
        },
        ..FleetPlan::default()
    })
    .await;
    let run = LoadRun::spawn(LoadPlan {
        gateways: fleet.caller_addresses(),
        token: TOKEN.to_owned(),
        path: "/v1/bookings".to_owned(),
        callers: 9,
        requests: 60,
        ..LoadPlan::default()
    });
    wait_for("the load", || run.completed_requests() > 50).await;

    fleet.hosts[0].process.kill();
    let report = run.finish().await;

    assert_load_truthful(&fleet, &report);
    assert!(report.done > 400, "{report}");
}

/// A host is paused for longer than every timeout while a booking waits in its queue, the
/// caller resends it to another host, and the first host resumes with a stale state.
#[async_std::test]
async fn a_host_resumed_after_all_timeouts_runs_nothing_twice() {
    let fleet = stuck_fleet().await;
    fill_slots(&fleet).await;
    let id = new_request_id();
    let waiting = spawn_call(fleet.caller_address(0), &booking(&id));
    task::sleep(Duration::from_millis(300)).await;

    fleet.hosts[0].process.pause();
    task::sleep(LONG_PAUSE).await;
    fleet.service(0).set_faults(ServiceFaults::default());
    fleet.service(0).crash();
    fleet.service(0).restart().await.unwrap();
    let resent = call(fleet.caller_address(2), &booking(&id)).await.unwrap();
    fleet.hosts[0].process.resume();
    let resumed = waiting.await.unwrap();

    fleet.assert_no_duplicate_executions();
    let runs = fleet.execution_count(&id);
    for answer in [&resent, &resumed] {
        match answer.outcome() {
            "done" => assert_eq!(runs, 1),
            _ => assert_truthful(&fleet, &id, answer),
        }
    }
}

/// Bookings are sent through all hosts while one of them is paused and resumed.
#[async_std::test]
async fn bookings_run_at_most_once_while_a_host_is_paused() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;
    let run = LoadRun::spawn(LoadPlan {
        gateways: fleet.caller_addresses(),
        token: TOKEN.to_owned(),
        path: "/v1/bookings".to_owned(),
        callers: 6,
        requests: 100_000,
        timeout: Duration::from_secs(2),
        ..LoadPlan::default()
    });
    wait_for("the load", || run.completed_requests() > 50).await;

    fleet.hosts[0].process.pause();
    task::sleep(LONG_PAUSE).await;
    fleet.hosts[0].process.resume();
    let before = run.completed_requests();
    wait_for("the load after the pause", || {
        run.completed_requests() > before + 100
    })
    .await;
    run.stop();
    let report = run.finish().await;

    assert_load_truthful(&fleet, &report);
}

/// A host is cut off from its peers, but not from its callers. It reaches no majority, so it
/// must dispatch nothing and refuse at once; the other hosts continue to serve.
#[async_std::test]
async fn a_host_cut_from_its_peers_runs_nothing_and_refuses_at_once() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;
    let id = new_request_id();

    fleet.set_peer_links(0, LinkMode::Cut);
    let alone = call(fleet.caller_address(0), &booking(&id)).await.unwrap();
    let other = new_request_id();
    let majority = call(fleet.caller_address(1), &booking(&other))
        .await
        .unwrap();

    assert_truthful(&fleet, &id, &alone);
    assert_eq!(fleet.execution_count(&id), 0);
    assert_eq!(majority.outcome(), "done", "{}", majority.text());
}

/// Like the test above, but the connections go silent instead of being closed.
#[async_std::test]
async fn a_host_whose_peers_go_silent_runs_nothing_and_refuses() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;
    let id = new_request_id();

    fleet.set_peer_links(0, LinkMode::Silent);
    let alone = call(fleet.caller_address(0), &booking(&id)).await.unwrap();
    let other = new_request_id();
    let majority = call(fleet.caller_address(1), &booking(&other))
        .await
        .unwrap();

    assert_truthful(&fleet, &id, &alone);
    assert_eq!(fleet.execution_count(&id), 0);
    assert_eq!(majority.outcome(), "done", "{}", majority.text());
}

/// A host's connections to all targets are cut, but not those to its peers.
#[async_std::test]
async fn a_host_cut_from_the_targets_answers_truthfully() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;
    let id = new_request_id();

    fleet.set_target_links(0, LinkMode::Cut);
    let cut = call(fleet.caller_address(0), &booking(&id)).await.unwrap();
    let resent = call(fleet.caller_address(1), &booking(&id)).await.unwrap();

    assert_truthful(&fleet, &id, &cut);
    assert!(fleet.execution_count(&id) <= 1);
    if resent.outcome() != "done" {
        assert_truthful(&fleet, &id, &resent);
    }
}

/// The platform is down for every host; the configuration in force stays in force.
#[async_std::test]
async fn bookings_run_while_the_platform_is_down() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;

    fleet.platform.set_mode(standins::PlatformMode::Down);
    task::sleep(LONG_PAUSE).await;

    for host in fleet.caller_addresses() {
        let id = new_request_id();
        let answer = call(host, &booking(&id)).await.unwrap();
        assert_eq!(answer.outcome(), "done", "{}", answer.text());
    }
}

/// The existing connections between hosts go silent forever, while new ones work.
#[async_std::test]
async fn silent_connections_between_hosts_are_replaced() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await;

    for host in &fleet.hosts {
        host.peer_link.silence_existing();
    }
    task::sleep(LONG_PAUSE).await;

    for host in fleet.caller_addresses() {
        let id = new_request_id();
        let answer = call(host, &booking(&id)).await.unwrap();
        assert_eq!(answer.outcome(), "done", "{}", answer.text());
    }
}

/// Three hosts share a service with a single slot. While the service is idle, a booking must
/// run through whichever host it is sent to.
#[async_std::test]
async fn a_target_with_fewer_slots_than_hosts_serves_every_host() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 0,
        slots: 1,
        ..FleetPlan::default()
    })
    .await;

    for host in fleet.caller_addresses() {
        let id = new_request_id();
        let answer = call(host, &booking(&id)).await.unwrap();
        assert_eq!(answer.outcome(), "done", "{}", answer.text());
    }
}
