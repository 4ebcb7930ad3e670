//! Metrics, readiness and limits of real hosts.

mod support;

use standins::CallerClient;
use standins::CallerRequest;
use standins::EngineSettings;
use standins::new_request_id;
use support::FleetPlan;
use support::RawCaller;
use support::TOKEN;
use support::TestFleet;
use support::WAIT_LIMIT;
use support::booking;
use support::call;
use support::generate;
use support::spawn_call;
use support::wait_until;

async fn start(hosts: usize) -> TestFleet {
    let plan = FleetPlan {
        hosts,
        engines: 1,
        ..FleetPlan::default()
    };
    TestFleet::start(plan).await
}

async fn metrics(fleet: &TestFleet) -> String {
    let address = fleet.hosts[0].process.settings.operator_address;
    let request = CallerRequest::new("GET", "/metrics");
    let answer = CallerClient::new(WAIT_LIMIT).call(address, &request).await;
    answer.expect("the operators' address answers").text()
}

/// Guards against refusals that are missing from the metrics because they happen before a
/// request is classified.
#[async_std::test]
async fn early_refusals_are_counted() {
    let fleet = start(1).await;
    let host = fleet.caller_address(0);
    let stranger = booking(&new_request_id()).with_token("other");
    let nowhere = CallerRequest::new("POST", "/nowhere").with_token(TOKEN);

    call(host, &stranger).await.unwrap();
    call(host, &nowhere).await.unwrap();
    let mut raw = RawCaller::open(host).await;
    raw.send(b"nonsense\r\n\r\n").await;
    raw.read_answer().await.unwrap();

    let text = metrics(&fleet).await;
    for kind in ["malformed-message", "unknown-account", "unknown-class"] {
        let line = format!("cardamomgw_errors_total{{kind=\"{kind}\",tier=\"none\"}} 1");
        assert!(text.contains(&line), "{line}\n{text}");
    }
}

/// Guards against prompt tokens being counted for bookings, which no engine processes.
#[async_std::test]
async fn prefill_is_counted_for_engines_only() {
    let fleet = start(1).await;
    let host = fleet.caller_address(0);

    call(host, &booking(&new_request_id())).await.unwrap();
    call(host, &generate(&new_request_id(), "verdict", 2))
        .await
        .unwrap();

    let text = metrics(&fleet).await;
    let tokens = |class: &str| {
        let line = text.lines().find(|line| {
            line.starts_with("cardamomgw_prefill_tokens_total") && line.contains(class)
        });
        line.and_then(|line| line.split(' ').next_back()?.parse::<f64>().ok())
    };
    assert_eq!(tokens("class=\"slot\"").unwrap_or(0.0), 0.0);
    assert!(tokens("class=\"verdict\"").unwrap_or(0.0) > 0.0, "{text}");
}

/// Guards against a load balancer that keeps sending requests to a host removed from the
/// roster: the host still reaches its peers, and would report itself ready.
#[async_std::test]
async fn host_without_a_seat_is_not_ready() {
    let mut fleet = start(3).await;
    let removed = fleet.hosts.remove(2);
    fleet.publish_roster();

    wait_until("the removed host to say so", || async {
        let reason = removed.process.status().await["unready_reason"].clone();
        reason == "not a seat of the active roster"
    })
    .await;

    fleet.wait_ready().await;
}

/// Guards against a host that applies the default limit of waiting requests instead of the
/// one in the document.
#[async_std::test]
async fn limit_of_waiting_requests_follows_the_document() {
    let plan = FleetPlan {
        hosts: 1,
        engines: 1,
        slots: 1,
        engine: EngineSettings {
            tokens_per_second: 10.0,
            ..EngineSettings::default()
        },
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    fleet.edit(|document| document.limits.max_waiting = 1);
    fleet.wait_for_version(0, 2).await;
    let host = fleet.caller_address(0);
    let _running = spawn_call(host, &generate(&new_request_id(), "digest", 1000));
    wait_until("the first to run", || async {
        !fleet.executions().is_empty()
    })
    .await;
    let _waiting = spawn_call(host, &generate(&new_request_id(), "digest", 1000));
    wait_until("the second to wait", || async {
        fleet.hosts[0].process.status().await["waiting"]["2"] == 1
    })
    .await;

    let third = call(host, &generate(&new_request_id(), "digest", 1000)).await;

    let third = third.unwrap();
    assert_eq!((third.status, third.outcome()), (503, "not-run"));
    assert!(third.text().contains("overloaded"), "{}", third.text());
}
