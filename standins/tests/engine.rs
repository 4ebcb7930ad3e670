//! The engine stand-in: complete answers, the load model and injected faults.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panicking")]

mod support;

use std::time::Duration;

use serde_json::Value;
use standins::AnswerFault;
use standins::CallerAnswer;
use standins::CallerError;
use standins::CallerRequest;
use standins::EngineFaults;
use standins::EngineServer;
use standins::EngineSettings;
use standins::ExpectedAnswer;
use standins::TargetState;
use standins::check_answer;
use standins::token_text;
use support::any_port;
use support::call;
use support::call_briefly;
use support::engine;

const ID: &str = "01938b5e-0000-7000-8000-000000000001";

fn stream_request(tokens: u32) -> CallerRequest {
    CallerRequest::generate("the weather", tokens, true).with_id(ID)
}

fn resume_request(from: u32) -> CallerRequest {
    CallerRequest::new("GET", &format!("/v1/streams/{ID}?from={from}"))
}

/// Returns the token offsets of a stream's events.
fn offsets(answer: &CallerAnswer) -> Vec<u64> {
    let text = answer.text();
    text.split("\n\n")
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).unwrap()["offset"].as_u64())
        .collect()
}

async fn faulty_engine(faults: EngineFaults) -> EngineServer {
    let engine = engine().await;
    engine.set_faults(faults);
    engine
}

#[async_std::test]
async fn a_stream_is_complete_and_answers_its_own_request() {
    let engine = engine().await;

    let answer = call(engine.address(), &stream_request(5)).await.unwrap();

    assert_eq!(answer.header("Content-Type"), Some("text/event-stream"));
    assert_eq!(
        check_answer(&answer, ID, &ExpectedAnswer::Stream(5)),
        Ok(())
    );
    assert_eq!(engine.executions()[0].id, ID);
}

#[async_std::test]
async fn an_unstreamed_answer_is_complete() {
    let engine = engine().await;
    let request = CallerRequest::generate("the weather", 4, false)
        .with_id(ID)
        .with_header("Request-Attempt", 3);

    let answer = call(engine.address(), &request).await.unwrap();

    assert_eq!(check_answer(&answer, ID, &ExpectedAnswer::Text(4)), Ok(()));
    assert_eq!(engine.executions()[0].attempt, 3);
}

#[async_std::test]
async fn a_stream_resumes_at_an_offset() {
    let engine = engine().await;
    call(engine.address(), &stream_request(6)).await.unwrap();

    let answer = call(engine.address(), &resume_request(4)).await.unwrap();

    assert_eq!(offsets(&answer), [4, 5]);
    assert!(answer.text().contains(&token_text(ID, 4)));
    assert_eq!(engine.executions().len(), 1);
}

#[async_std::test]
async fn an_unknown_stream_is_not_found() {
    let engine = engine().await;

    let answer = call(engine.address(), &resume_request(0)).await.unwrap();

    assert_eq!(answer.status, 404);
}

#[async_std::test]
async fn a_cut_stream_is_incomplete_and_can_be_resumed() {
    let engine = faulty_engine(EngineFaults {
        cut_after: Some(2),
        ..EngineFaults::default()
    })
    .await;

    let answer = call(engine.address(), &stream_request(5)).await.unwrap();
    let rest = call(engine.address(), &resume_request(2)).await.unwrap();

    let fault = check_answer(&answer, ID, &ExpectedAnswer::Stream(5));
    assert_eq!(fault, Err(AnswerFault::Truncated));
    assert_eq!(offsets(&answer), [0, 1]);
    assert_eq!(offsets(&rest), [2, 3, 4]);
    assert!(rest.is_complete);
}

#[async_std::test]
async fn a_silent_stream_does_not_affect_new_connections() {
    let engine = faulty_engine(EngineFaults {
        silent_after: Some(1),
        ..EngineFaults::default()
    })
    .await;

    let silent = call_briefly(engine.address(), &stream_request(3)).await;
    let rest = call(engine.address(), &resume_request(1)).await.unwrap();

    assert_eq!(silent, Err(CallerError::TimedOut));
    assert_eq!(offsets(&rest), [1, 2]);
}

#[async_std::test]
async fn a_resumed_stream_can_overlap_or_leave_a_gap() {
    let engine = faulty_engine(EngineFaults {
        overlap: 2,
        ..EngineFaults::default()
    })
    .await;
    call(engine.address(), &stream_request(6)).await.unwrap();

    let overlap = call(engine.address(), &resume_request(4)).await.unwrap();
    engine.set_faults(EngineFaults {
        gap: 1,
        ..EngineFaults::default()
    });
    let gap = call(engine.address(), &resume_request(4)).await.unwrap();

    assert_eq!(offsets(&overlap), [2, 3, 4, 5]);
    assert_eq!(offsets(&gap), [5]);
}

#[async_std::test]
async fn a_wrong_id_is_detected() {
    let engine = faulty_engine(EngineFaults {
        wrong_id: true,
        ..EngineFaults::default()
    })
    .await;

    let answer = call(engine.address(), &stream_request(2)).await.unwrap();

    let fault = check_answer(&answer, ID, &ExpectedAnswer::Stream(2));
    assert_eq!(fault, Err(AnswerFault::WrongRequest));
}

#[async_std::test]
async fn a_crash_loses_streams_and_keeps_the_execution_log() {
    let engine = faulty_engine(EngineFaults {
        crash_on: Some("boom".to_owned()),
        ..EngineFaults::default()
    })
    .await;
    call(engine.address(), &stream_request(2)).await.unwrap();
    let boom = CallerRequest::generate("boom", 2, true);

    let crashed = call(engine.address(), &boom).await;
    let refused = call(engine.address(), &stream_request(2)).await;
    engine.restart().await.unwrap();
    let lost = call(engine.address(), &resume_request(0)).await.unwrap();

    assert_eq!(crashed, Err(CallerError::Closed));
    // The listener closes shortly after the connections.
    assert!(matches!(
        refused,
        Err(CallerError::Refused | CallerError::Closed)
    ));
    assert_eq!(lost.status, 404);
    assert_eq!(engine.executions().len(), 2);
}

#[async_std::test]
async fn a_leaving_engine_refuses_new_work_and_completes_running_requests() {
    let engine = engine().await;
    let address = engine.address();
    let running = async_std::task::spawn(async move { call(address, &stream_request(200)).await });
    support::wait_for("the stream", || engine.running() == 1).await;

    engine.set_state(TargetState::Leaving);
    let refused = call(address, &stream_request(1)).await.unwrap();

    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("Target-State"), Some("leaving"));
    let answer = running.await.unwrap();
    assert_eq!(
        check_answer(&answer, ID, &ExpectedAnswer::Stream(200)),
        Ok(())
    );
    assert_eq!(engine.executions().len(), 1);
}

#[async_std::test]
async fn a_cancelled_stream_stops() {
    let engine = engine().await;
    let address = engine.address();
    let running =
        async_std::task::spawn(async move { call(address, &stream_request(100_000)).await });
    support::wait_for("the stream", || engine.running() == 1).await;

    let cancel = CallerRequest::new("DELETE", &format!("/v1/streams/{ID}"));
    call(address, &cancel).await.unwrap();

    assert!(!running.await.unwrap().is_complete);
    support::wait_for("the end", || engine.running() == 0).await;
    assert_eq!(engine.cancelled(), [ID]);
}

#[async_std::test]
async fn fencing_numbers_are_checked_or_ignored() {
    let checking = engine().await;
    let ignoring = EngineServer::bind(
        any_port(),
        EngineSettings {
            checks_fences: false,
            ..EngineSettings::default()
        },
    )
    .await
    .unwrap();
    let order = |fence: u64| {
        CallerRequest::new("POST", "/v1/orders")
            .with_body(format!(r#"{{"fence":{fence},"model":"m"}}"#))
    };

    for engine in [&checking, &ignoring] {
        call(engine.address(), &order(5)).await.unwrap();
    }
    let refused = call(checking.address(), &order(4)).await.unwrap();
    let accepted = call(ignoring.address(), &order(4)).await.unwrap();

    assert_eq!((refused.status, accepted.status), (409, 200));
    assert_eq!((checking.orders().len(), ignoring.orders().len()), (1, 2));
}

#[async_std::test]
async fn a_cached_prefix_is_not_prefilled_again() {
    let engine = engine().await;
    let prompt = "p".repeat(64 * 20);
    let request = CallerRequest::generate(&prompt, 1, false).with_id(ID);

    call(engine.address(), &request).await.unwrap();
    let first = engine.prefilled_tokens();
    call(engine.address(), &request).await.unwrap();

    assert_eq!(first, 320);
    assert_eq!(engine.prefilled_tokens(), first);
    assert_eq!(engine.cached_tokens(), 320);
}

#[async_std::test]
async fn the_load_report_is_delayed() {
    let engine = EngineServer::bind(
        any_port(),
        EngineSettings {
            report_lag: Duration::from_secs(3600),
            ..EngineSettings::default()
        },
    )
    .await
    .unwrap();
    let address = engine.address();
    let running = async_std::task::spawn(async move { call(address, &stream_request(100)).await });
    support::wait_for("the stream", || engine.running() == 1).await;

    let load = call(address, &CallerRequest::new("GET", "/v1/load"))
        .await
        .unwrap();

    let load: Value = serde_json::from_slice(&load.body).unwrap();
    assert_eq!(load["running"], 0);
    assert_eq!(load["state"], "live");
    running.await.unwrap();
}

#[async_std::test]
async fn concurrent_requests_share_the_throughput() {
    let engine = EngineServer::bind(
        any_port(),
        EngineSettings {
            tokens_per_second: 400.0,
            slots: 1,
            report_lag: Duration::ZERO,
            ..EngineSettings::default()
        },
    )
    .await
    .unwrap();
    let address = engine.address();
    let calls: Vec<_> = (0..4)
        .map(|_| async_std::task::spawn(async move { call(address, &stream_request(100)).await }))
        .collect();
    support::wait_for("concurrent requests", || engine.running() == 4).await;

    let load = call(address, &CallerRequest::new("GET", "/v1/load"))
        .await
        .unwrap();

    let load: Value = serde_json::from_slice(&load.body).unwrap();
    assert_eq!(load["running"], 4);
    assert!((load["tokens_per_second"].as_f64().unwrap() - 100.0).abs() < 1.0);
    for call in calls {
        call.await.unwrap();
    }
}

#[async_std::test]
async fn faults_can_be_set_over_http() {
    let engine = engine().await;
    let control = CallerRequest::new("POST", "/control")
        .with_body(r#"{"faults":{"wrong_id":true},"state":"leaving"}"#);

    let answer = call(engine.address(), &control).await.unwrap();

    assert_eq!(answer.status, 200);
    let refused = call(engine.address(), &stream_request(1)).await.unwrap();
    assert_eq!(refused.status, 503);
}
