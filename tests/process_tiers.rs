//! Tiers: the top tier is never refused while requests of lower tiers are accepted.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use standins::EngineSettings;
use standins::LoadPlan;
use standins::LoadReport;
use standins::LoadRun;
use support::FleetPlan;
use support::TOKEN;
use support::TestFleet;
use support::wait_for;

async fn small_fleet() -> TestFleet {
    TestFleet::start(FleetPlan {
        services: 0,
        slots: 4,
        engine: EngineSettings {
            slots: 4,
            ..EngineSettings::default()
        },
        ..FleetPlan::default()
    })
    .await
}

/// Starts callers of one class; a digest is long, a verdict short.
fn load(fleet: &TestFleet, class: &str, callers: usize, requests: usize, tokens: u32) -> LoadRun {
    LoadRun::spawn(LoadPlan {
        gateways: fleet.caller_addresses(),
        token: TOKEN.to_owned(),
        class: Some(class.to_owned()),
        callers,
        requests,
        stream: true,
        max_tokens: tokens,
        ..LoadPlan::default()
    })
}

fn assert_none_refused(report: &LoadReport) {
    assert_eq!(report.done, report.total(), "{report}");
    assert_eq!(report.refusals, 0, "{report}");
}

/// Digests occupy every slot and queue when a burst of verdicts arrives.
#[async_std::test]
async fn verdicts_are_never_refused_while_digests_run() {
    let fleet = small_fleet().await;
    let digests = load(&fleet, "digest", 40, 1_000, 100);
    wait_for("the digests", || digests.completed_requests() > 20).await;

    let report = load(&fleet, "verdict", 12, 5, 4).finish().await;
    digests.stop();
    digests.finish().await;

    assert_none_refused(&report);
}

/// Two of five hosts die under the same load; verdicts are resent, and none is refused.
#[async_std::test]
async fn verdicts_are_never_refused_after_hosts_died() {
    let mut fleet = TestFleet::start(FleetPlan {
        hosts: 5,
        services: 0,
        slots: 4,
        ..FleetPlan::default()
    })
    .await;
    let digests = load(&fleet, "digest", 40, 1_000, 100);
    wait_for("the digests", || digests.completed_requests() > 20).await;

    fleet.hosts[0].process.kill();
    fleet.hosts[1].process.kill();
    let report = load(&fleet, "verdict", 12, 5, 4).finish().await;
    digests.stop();
    digests.finish().await;

    assert_none_refused(&report);
}
