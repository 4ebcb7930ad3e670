//! The service stand-in and its injected faults.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panicking")]

mod support;

use standins::AnswerFault;
use standins::CallerError;
use standins::CallerRequest;
use standins::ExpectedAnswer;
use standins::ServiceFaults;
use standins::TargetState;
use standins::check_answer;
use support::call;
use support::call_briefly;
use support::service;

const ID: &str = "01938b5e-0000-7000-8000-000000000002";
const BODY: &str = r#"{"slot":4}"#;

fn booking() -> CallerRequest {
    CallerRequest::new("POST", "/v1/bookings")
        .with_id(ID)
        .with_body(BODY)
}

fn echo() -> ExpectedAnswer {
    ExpectedAnswer::Echo(BODY.into())
}

#[async_std::test]
async fn a_call_is_answered_and_recorded() {
    let service = service().await;

    let answer = call(service.address(), &booking()).await.unwrap();

    assert_eq!(check_answer(&answer, ID, &echo()), Ok(()));
    let listed = call(service.address(), &CallerRequest::new("GET", "/executions"))
        .await
        .unwrap();
    assert!(listed.text().contains(ID));
    assert_eq!(service.executions().len(), 1);
}

#[async_std::test]
async fn cut_short_and_silent_bodies_are_never_complete() {
    let service = service().await;
    let cut = ServiceFaults {
        cut: true,
        ..ServiceFaults::default()
    };
    let short = ServiceFaults {
        short_body: true,
        ..ServiceFaults::default()
    };
    let silent = ServiceFaults {
        silent: true,
        ..ServiceFaults::default()
    };

    service.set_faults(cut);
    let cut = call(service.address(), &booking()).await.unwrap();
    service.set_faults(short);
    let short = call_briefly(service.address(), &booking()).await;
    service.set_faults(silent);
    let silent = call_briefly(service.address(), &booking()).await;

    assert_eq!(check_answer(&cut, ID, &echo()), Err(AnswerFault::Truncated));
    assert_eq!(short, Err(CallerError::TimedOut));
    assert_eq!(silent, Err(CallerError::TimedOut));
    assert_eq!(service.executions().len(), 3);
}

#[async_std::test]
async fn a_wrong_id_is_detected() {
    let service = service().await;
    service.set_faults(ServiceFaults {
        wrong_id: true,
        ..ServiceFaults::default()
    });

    let answer = call(service.address(), &booking()).await.unwrap();

    assert_eq!(
        check_answer(&answer, ID, &echo()),
        Err(AnswerFault::WrongRequest)
    );
}

#[async_std::test]
async fn a_leaving_service_refuses_new_calls() {
    let service = service().await;
    service.set_faults(ServiceFaults {
        state: TargetState::Leaving,
        ..ServiceFaults::default()
    });

    let answer = call(service.address(), &booking()).await.unwrap();

    assert_eq!(answer.header("Target-State"), Some("leaving"));
    assert_eq!(service.executions(), []);
}

#[async_std::test]
async fn a_crash_keeps_the_execution_log() {
    let service = service().await;
    service.set_faults(ServiceFaults {
        crash_on: Some("slot".to_owned()),
        ..ServiceFaults::default()
    });

    let crashed = call(service.address(), &booking()).await;
    service.set_faults(ServiceFaults::default());
    service.restart().await.unwrap();
    let answer = call(service.address(), &booking()).await.unwrap();

    assert_eq!(crashed, Err(CallerError::Closed));
    assert_eq!(answer.status, 200);
    assert_eq!(service.executions().len(), 2);
}
