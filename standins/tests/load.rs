//! The load generator, run directly against the stand-ins.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panicking")]

mod support;

use standins::EngineFaults;
use standins::LoadPlan;
use standins::LoadRun;
use support::engine;
use support::service;

#[async_std::test]
async fn every_answer_is_verified_and_counted() {
    let engine = engine().await;
    let plan = LoadPlan {
        gateways: vec![engine.address()],
        callers: 4,
        requests: 5,
        stream: true,
        ..LoadPlan::default()
    };

    let report = LoadRun::spawn(plan).finish().await;

    assert_eq!((report.done, report.total()), (20, 20));
    assert_eq!(engine.executions().len(), 20);
    assert_eq!(report.to_json()["token_gap_us"]["count"], 20 * 16);
}

#[async_std::test]
async fn other_paths_call_a_service() {
    let service = service().await;
    let plan = LoadPlan {
        gateways: vec![service.address()],
        path: "/v1/bookings".to_owned(),
        requests: 3,
        ..LoadPlan::default()
    };

    let report = LoadRun::spawn(plan).finish().await;

    assert_eq!(report.done, 3);
}

#[async_std::test]
async fn an_answer_to_another_request_counts_as_wrong() {
    let engine = engine().await;
    engine.set_faults(EngineFaults {
        wrong_id: true,
        ..EngineFaults::default()
    });
    let plan = LoadPlan {
        gateways: vec![engine.address()],
        requests: 2,
        ..LoadPlan::default()
    };

    let report = LoadRun::spawn(plan).finish().await;

    assert_eq!((report.done, report.wrong), (0, 2));
    assert_eq!(report.unconfirmed_ids.len(), 2);
}

#[async_std::test]
async fn a_caller_fails_over_to_the_next_host() {
    let crashed = engine().await;
    let other = engine().await;
    let plan = LoadPlan {
        gateways: vec![crashed.address(), other.address()],
        requests: 2,
        ..LoadPlan::default()
    };
    crashed.crash();

    let report = LoadRun::spawn(plan).finish().await;

    assert_eq!(report.done, 2);
    assert_eq!(report.resends, 1);
    assert_eq!(other.executions().len(), 2);
}
