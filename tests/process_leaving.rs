//! Targets and hosts that leave: no new work, and nothing cut.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use cardamomgw::fleet::TargetState;
use standins::ExpectedAnswer;
use standins::HostEntry;
use standins::LinkMode;
use standins::LoadPlan;
use standins::LoadRun;
use standins::check_answer;
use standins::new_request_id;
use support::FleetPlan;
use support::TOKEN;
use support::TestFleet;
use support::call;
use support::generate;
use support::spawn_call;
use support::wait_for;

/// A leaving target gets nothing new after this long.
const LEAVE_BOUND: Duration = Duration::from_secs(3);
/// How long the test then watches.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Longer than every time-out between hosts.
const LONG_PAUSE: Duration = Duration::from_secs(6);

/// Callers that go on until they are stopped.
fn endless_load(fleet: &TestFleet) -> LoadRun {
    LoadRun::spawn(endless_plan(fleet.caller_addresses()))
}

fn endless_plan(gateways: Vec<SocketAddr>) -> LoadPlan {
    LoadPlan {
        gateways,
        token: TOKEN.to_owned(),
        class: Some("briefing".to_owned()),
        callers: 6,
        requests: 1_000_000,
        stream: true,
        max_tokens: 4,
        ..LoadPlan::default()
    }
}

/// Asserts that engine 1 gets nothing new once the bound has passed.
async fn assert_left_alone(fleet: &TestFleet) {
    task::sleep(LEAVE_BOUND).await;
    let before = fleet.engine(0).executions().len();
    task::sleep(WATCH_TIME).await;
    assert_eq!(fleet.engine(0).executions().len(), before);
}

/// An operator marks an engine as leaving in the configuration.
#[async_std::test]
async fn a_target_that_leaves_by_configuration_gets_nothing_new() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let run = endless_load(&fleet);
    wait_for("work on the engine", || {
        fleet.engine(0).executions().len() > 5
    })
    .await;

    fleet.edit(|document| document.targets[0].state = TargetState::Leaving);

    assert_left_alone(&fleet).await;
    run.stop();
    let report = run.finish().await;
    assert_eq!(report.done, report.total(), "{report}");
}

/// The platform's lagging list says that the engine leaves.
#[async_std::test]
async fn a_target_that_leaves_by_the_list_gets_nothing_new() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let run = endless_load(&fleet);
    wait_for("work on the engine", || {
        fleet.engine(0).executions().len() > 5
    })
    .await;

    fleet.platform.set_hosts(vec![HostEntry {
        name: "engine-1".to_owned(),
        state: standins::TargetState::Leaving,
    }]);

    assert_left_alone(&fleet).await;
    run.stop();
    let report = run.finish().await;
    assert_eq!(report.done, report.total(), "{report}");
}

/// A host sleeps while the engine is marked as leaving, and wakes up with its
/// old view: it must look again before it dispatches.
#[async_std::test]
async fn a_host_that_wakes_up_sends_nothing_to_a_target_that_left() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    fleet.hosts[0].process.pause();
    fleet.edit(|document| document.targets[0].state = TargetState::Leaving);
    task::sleep(LONG_PAUSE).await;
    let before = fleet.engine(0).executions().len();

    fleet.hosts[0].process.resume();

    for _ in 0..20 {
        let id = new_request_id();
        let request = generate(&id, "briefing", 2);
        let answer = call(fleet.caller_address(0), &request).await.unwrap();
        assert!(
            answer.status == 200 || answer.status == 503,
            "{}",
            answer.text()
        );
    }
    assert_eq!(fleet.engine(0).executions().len(), before);
}

/// A host that is cut from the platform learns from its peers.
#[async_std::test]
async fn a_host_cut_from_the_platform_leaves_the_target_alone() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    fleet.link_to_platform(0, LinkMode::Cut);
    let run = endless_load(&fleet);
    wait_for("work on the engine", || {
        fleet.engine(0).executions().len() > 5
    })
    .await;

    fleet.edit(|document| document.targets[0].state = TargetState::Leaving);

    assert_left_alone(&fleet).await;
    run.stop();
    run.finish().await;
}

/// A long stream runs on the engine when it begins to leave.
#[async_std::test]
async fn a_leaving_target_ends_what_it_runs() {
    let mut fleet = TestFleet::start(FleetPlan {
        engines: 1,
        ..FleetPlan::default()
    })
    .await;
    let id = new_request_id();
    let running = spawn_call(fleet.caller_address(0), &generate(&id, "briefing", 1000));
    wait_for("the stream", || fleet.executions_of(&id) == 1).await;

    fleet.engine(0).set_state(standins::TargetState::Leaving);
    fleet.edit(|document| document.targets[0].state = TargetState::Leaving);

    let answer = running.await.unwrap();
    assert_eq!(
        check_answer(&answer, &id, &ExpectedAnswer::Stream(1000)),
        Ok(())
    );
}

/// A host gets SIGTERM in the middle of a stream: the stream goes on to its end.
#[async_std::test]
async fn a_host_that_drains_cuts_nothing() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let id = new_request_id();
    let running = spawn_call(fleet.caller_address(0), &generate(&id, "briefing", 600));
    wait_for("the stream", || fleet.executions_of(&id) == 1).await;

    fleet.hosts[0].process.terminate();

    let answer = running.await.unwrap();
    assert_eq!(
        check_answer(&answer, &id, &ExpectedAnswer::Stream(600)),
        Ok(())
    );
    assert!(fleet.hosts[0].process.wait_for_exit().await.success());
}

/// All hosts are restarted one after the other while callers go on.
#[async_std::test]
async fn a_rolling_restart_loses_nothing() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let run = endless_load(&fleet);

    for index in 0..fleet.hosts.len() {
        let before = run.ended();
        wait_for("the load", || run.ended() > before + 20).await;
        fleet.hosts[index].process.terminate();
        assert!(fleet.hosts[index].process.wait_for_exit().await.success());
        fleet.restart_host(index);
        fleet.hosts[index].process.wait_ready().await;
    }
    run.stop();

    let report = run.finish().await;
    assert_eq!(report.done, report.total(), "{report}");
    fleet.assert_none_ran_twice();
}

/// All hosts are replaced by new ones, one after the other, while callers go on.
#[async_std::test]
async fn a_rolling_replacement_loses_nothing() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let mut fresh = Vec::new();
    for _ in 0..fleet.hosts.len() {
        fresh.push(fleet.spawn_host().await);
    }
    let mut gateways = fleet.caller_addresses();
    gateways.extend(fresh.iter().map(|host| host.process.caller_address()));
    let run = LoadRun::spawn(LoadPlan {
        tries: 100,
        ..endless_plan(gateways)
    });

    for host in fresh {
        let before = run.ended();
        wait_for("the load", || run.ended() > before + 20).await;
        let mut old = fleet.hosts.remove(0);
        fleet.hosts.push(host);
        fleet.publish_roster();
        fleet.wait_active().await;
        fleet.wait_ready().await;
        old.process.terminate();
        assert!(old.process.wait_for_exit().await.success());
    }
    run.stop();

    let report = run.finish().await;
    assert_eq!(report.done, report.total(), "{report}");
    fleet.assert_none_ran_twice();
}
